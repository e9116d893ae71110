package loomentry

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"strings"
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/joomcode/errorx"
	"github.com/xdg-go/scram"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomwire"
)

const (
	scramMechanism  = "SCRAM-SHA-256"
	scramIterations = 4096
	saltSize        = 16
)

// Credentials holds the SCRAM verifiers of the organisations. The zero value accepts no client.
type Credentials struct {
	verifiers   map[currantloom.OrganisationName]scram.StoredCredentials
	mockKeyOnce sync.Once
	// mockKey derives the verifiers of unknown organisations, which no password matches.
	mockKey [sha256.Size]byte
}

// verifier returns the verifier of an organisation. An unknown organisation gets one with a stable salt, so that
// neither the messages nor the duration of a failed authentication reveal whether the organisation exists.
func (c *Credentials) verifier(organisation currantloom.OrganisationName) scram.StoredCredentials {
	c.mockKeyOnce.Do(func() { _, _ = rand.Read(c.mockKey[:]) })
	mac := hmac.New(sha256.New, c.mockKey[:])
	_, _ = mac.Write([]byte(organisation))
	sum := mac.Sum(nil)
	if stored, ok := c.verifiers[organisation]; ok {
		return stored
	}
	key := sha256.Sum256(sum)
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(sum[:saltSize]), Iters: scramIterations},
		StoredKey:  key[:], ServerKey: key[:],
	}
}

// Add sets the password of an organisation.
func (c *Credentials) Add(organisation currantloom.OrganisationName, password string) error {
	client, err := scram.SHA256.NewClient(string(organisation), password, "")
	if err != nil {
		return currantloom.ErrInput.Wrap(err, "password of caller %s", organisation)
	}
	salt := make([]byte, saltSize)
	if _, err := rand.Read(salt); err != nil {
		return currantloom.ErrUnavailable.Wrap(err, "random salt")
	}
	stored, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: string(salt), Iters: scramIterations})
	if err != nil {
		return currantloom.ErrInput.Wrap(err, "password of caller %s", organisation)
	}
	if c.verifiers == nil {
		c.verifiers = make(map[currantloom.OrganisationName]scram.StoredCredentials)
	}
	c.verifiers[organisation] = stored
	return nil
}

// organisationOf returns the organisation that a user name belongs to: the part before the first dot.
func organisationOf(user string) currantloom.OrganisationName {
	name, _, _ := strings.Cut(user, ".")
	return currantloom.OrganisationName(name)
}

// authenticate runs the SCRAM exchange for the user.
func (s *Session) authenticate(user string) error {
	organisation := organisationOf(user)
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) {
		return s.server.Credentials.verifier(organisation), nil
	})
	if err != nil {
		return err
	}
	conversation := server.NewConversation()
	if err := s.sendAndFlush(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{scramMechanism}}); err != nil {
		return err
	}
	var initial pgproto3.SASLInitialResponse
	if err := s.receivePassword(&initial); err != nil {
		return err
	}
	challenge, err := conversation.Step(string(initial.Data))
	if err != nil {
		return passwordError(user)
	}
	if err := s.sendAndFlush(&pgproto3.AuthenticationSASLContinue{Data: []byte(challenge)}); err != nil {
		return err
	}
	var response pgproto3.SASLResponse
	if err := s.receivePassword(&response); err != nil {
		return err
	}
	final, err := conversation.Step(string(response.Data))
	if err != nil || !conversation.Valid() {
		return passwordError(user)
	}
	s.organisation = organisation
	return s.writer.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(final)})
}

// sendAndFlush sends a message without delay, because the session waits for the answer to it.
func (s *Session) sendAndFlush(m loomwire.Encoder) error {
	if err := s.writer.Send(m); err != nil {
		return err
	}
	return s.writer.Flush()
}

func passwordError(user string) error {
	return currantloom.NewRequestError(currantloom.NotRun, currantloom.SQLStateInvalidPassword, 0,
		"password authentication failed for user %q", user)
}

// receivePassword reads the client's next authentication message into m.
func (s *Session) receivePassword(m interface{ Decode([]byte) error }) error {
	kind, _, err := s.reader.Next()
	if err != nil {
		return err
	}
	if kind != 'p' {
		return protocolError("message %q during authentication", kind)
	}
	body, err := s.reader.Body()
	if err != nil {
		return err
	}
	if err := m.Decode(body); err != nil {
		return protocolError("authentication message: %v", err)
	}
	return nil
}

// errorMessage returns the text of an error without the errorx type name.
func errorMessage(err error) string {
	if e := errorx.Cast(err); e != nil {
		return e.Message()
	}
	return err.Error()
}

// protocolError is the error of a malformed or misplaced message; it ends the connection.
func protocolError(format string, args ...any) error {
	return currantloom.NewRequestError(currantloom.NotRun, currantloom.SQLStateProtocolViolation, 0, format, args...)
}
