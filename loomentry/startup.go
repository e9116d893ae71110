package loomentry

import (
	"bytes"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"currantloom.example/currantloom"
)

const (
	maxStartupSize    = 10 << 10
	protocolVersion3  = 3
	sslRequestCode    = 80877103
	gssRequestCode    = 80877104
	cancelRequestCode = 80877102
	secretSize        = 4
)

// serverVersion is the reported server_version, from which drivers derive the features that they use.
const serverVersion = "15.0"

// startupMessage is a decoded startup message.
type startupMessage struct {
	minorVersion uint16
	parameters   map[string]string
	// unknownOptions holds the names of protocol options ("_pq_."), none of which is supported.
	unknownOptions []string
}

// startUp reads the startup message, authenticates the client and reports the session's parameters.
func (s *Session) startUp() error {
	_ = s.conn.SetReadDeadline(time.Now().Add(s.server.startupTimeout()))
	err := s.handleStartup()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return protocolError("no complete startup within %s", s.server.startupTimeout())
	}
	s.setBusy(false)
	return err
}

func (s *Session) handleStartup() error {
	body, err := s.readStartup()
	if err != nil {
		return err
	}
	m, err := decodeStartup(body)
	if err != nil {
		return err
	}
	if m.minorVersion > 0 || len(m.unknownOptions) > 0 {
		if err := s.writer.Send(&pgproto3.NegotiateProtocolVersion{UnrecognizedOptions: m.unknownOptions}); err != nil {
			return err
		}
	}
	user := m.parameters["user"]
	if err := s.authenticate(user); err != nil {
		return err
	}
	s.database = currantloom.DatabaseName(m.parameters["database"])
	if s.database == "" {
		s.database = currantloom.DatabaseName(user)
	}
	if err := s.setStartupParameters(m.parameters); err != nil {
		return err
	}
	return s.finishStartup()
}

// decodeStartup decodes the protocol version and the parameters. It does not use pgproto3, which accepts only the
// versions 3.0 and 3.2.
func decodeStartup(body []byte) (startupMessage, error) {
	version := binary.BigEndian.Uint32(body)
	m := startupMessage{minorVersion: uint16(version), parameters: make(map[string]string)}
	if version>>16 != protocolVersion3 {
		return m, protocolError("protocol version %d.%d is not supported", version>>16, m.minorVersion)
	}
	rest := body[4:]
	for len(rest) > 0 && rest[0] != 0 {
		name, after, ok := bytes.Cut(rest, []byte{0})
		if !ok {
			break
		}
		value, after, ok := bytes.Cut(after, []byte{0})
		if !ok {
			return m, protocolError("startup message is cut off")
		}
		rest = after
		if bytes.HasPrefix(name, []byte("_pq_.")) {
			m.unknownOptions = append(m.unknownOptions, string(name))
			continue
		}
		m.parameters[string(name)] = string(value)
	}
	if len(rest) != 1 {
		return m, protocolError("startup message is not terminated")
	}
	return m, nil
}

func (s *Session) setStartupParameters(values map[string]string) error {
	startup := make(map[string]string)
	for name, value := range values {
		switch name {
		case "user", "database":
		case "options":
			if err := parseOptions(value, startup); err != nil {
				return err
			}
		case "replication":
			if value != "false" && value != "off" && value != "0" {
				return unsupported("replication connections are not supported")
			}
		default:
			startup[strings.ToLower(name)] = value
		}
	}
	for name, value := range startup {
		if err := s.parameters.set(name, value, s.database); err != nil {
			return err
		}
	}
	if len(startup) > 0 {
		s.parameters.startup = startup
	}
	return nil
}

// parseOptions parses options of the forms "-c name=value" and "--name=value". A backslash escapes a space.
func parseOptions(options string, values map[string]string) error {
	const escapedSpace = "\x00"
	fields := strings.Fields(strings.ReplaceAll(options, `\ `, escapedSpace))
	for i := 0; i < len(fields); i++ {
		field := strings.ReplaceAll(fields[i], escapedSpace, " ")
		setting, ok := strings.CutPrefix(field, "--")
		switch {
		case ok:
		case field == "-c" && i+1 < len(fields):
			i++
			setting = strings.ReplaceAll(fields[i], escapedSpace, " ")
		case strings.HasPrefix(field, "-c"):
			setting = field[2:]
		}
		name, value, ok := strings.Cut(setting, "=")
		if !ok {
			return invalidParameter("options: %q is not of the form -c name=value", field)
		}
		values[strings.ToLower(strings.ReplaceAll(name, "-", "_"))] = value
	}
	return nil
}

func (s *Session) finishStartup() error {
	if err := s.writer.Send(&pgproto3.AuthenticationOk{}); err != nil {
		return err
	}
	for _, p := range [][2]string{{"server_version", serverVersion}, {"integer_datetimes", "on"}} {
		if err := s.writer.Send(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]}); err != nil {
			return err
		}
	}
	for _, name := range reportedParameters {
		m := &pgproto3.ParameterStatus{Name: name, Value: s.parameters.show(name)}
		if err := s.writer.Send(m); err != nil {
			return err
		}
	}
	if err := s.generateSecret(); err != nil {
		return err
	}
	if err := s.writer.Send(&pgproto3.BackendKeyData{ProcessID: s.pid, SecretKey: s.secret[:]}); err != nil {
		return err
	}
	return s.sendReady()
}

// generateSecret sets the secret that a CancelRequest for the session must carry. It holds the server's lock, because
// Cancel may look up the session at any time.
func (s *Session) generateSecret() error {
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	_, err := rand.Read(s.secret[:])
	return err
}

// readStartup reads the first message, after declining encryption requests.
func (s *Session) readStartup() ([]byte, error) {
	for {
		body, err := readStartupPacket(s.conn)
		if err != nil {
			return nil, err
		}
		switch binary.BigEndian.Uint32(body) {
		case sslRequestCode, gssRequestCode:
			if _, err := s.conn.Write([]byte{'N'}); err != nil {
				return nil, err
			}
		case cancelRequestCode:
			s.receiveCancel(body)
			return nil, errTerminated
		default:
			return body, nil
		}
	}
}

func readStartupPacket(conn net.Conn) ([]byte, error) {
	var header [4]byte
	if _, err := io.ReadFull(conn, header[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size < 8 || size > maxStartupSize {
		return nil, protocolError("startup message has invalid length %d", size)
	}
	body := make([]byte, size-4)
	_, err := io.ReadFull(conn, body)
	return body, err
}
