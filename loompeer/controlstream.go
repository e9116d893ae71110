package loompeer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"io"
	"log"
	"net"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"currantloom.example/currantloom"
)

const (
	// maxControlObjectSize bounds one object of the control protocol, in bytes. A rules file has at most 1 MB, and JSON
	// takes up to 6 bytes for a character.
	maxControlObjectSize = 8 << 20
	// controlIdleTimeout is the time after which a control connection without a received object is closed.
	controlIdleTimeout = 30 * time.Second
	// controlWriteTimeout bounds one write; 1 MB takes 0.3 s on the network link between regions.
	controlWriteTimeout = 5 * time.Second
)

// boundedCodec encodes each object with a length prefix of 4 bytes and refuses objects that are too long before it
// reads them. The codecs of the jsonrpc2 library have no limit.
type boundedCodec struct{}

// WriteObject writes one object.
func (boundedCodec) WriteObject(stream io.Writer, obj any) error {
	data, err := json.Marshal(obj)
	if err != nil {
		return err
	}
	if len(data) > maxControlObjectSize {
		return currantloom.ErrInput.New(
			"control object has %d bytes, at most %d are allowed", len(data), maxControlObjectSize)
	}
	if err := binary.Write(stream, binary.BigEndian, uint32(len(data))); err != nil {
		return err
	}
	_, err = stream.Write(data)
	return err
}

// ReadObject reads one object.
func (boundedCodec) ReadObject(stream *bufio.Reader, v any) error {
	var length uint32
	if err := binary.Read(stream, binary.BigEndian, &length); err != nil {
		return err
	}
	if length > maxControlObjectSize {
		return currantloom.ErrInput.New("control object of %d bytes, at most %d are allowed", length, maxControlObjectSize)
	}
	// The buffer grows as data arrives, so a length prefix alone allocates no memory.
	var data bytes.Buffer
	if _, err := io.CopyN(&data, stream, int64(length)); err != nil {
		return err
	}
	return json.Unmarshal(data.Bytes(), v)
}

// newControlConn starts a JSON-RPC connection. Each read and write has a deadline, so that a silent connection is
// closed.
func newControlConn(conn net.Conn, h jsonrpc2.Handler) *jsonrpc2.Conn {
	limited := &timeoutConn{Conn: conn, readTimeout: controlIdleTimeout, writeTimeout: controlWriteTimeout}
	return jsonrpc2.NewConn(backgroundContext, jsonrpc2.NewBufferedStream(limited, boundedCodec{}), h,
		jsonrpc2.SetLogger(log.New(io.Discard, "", 0)))
}
