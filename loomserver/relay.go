package loomserver

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"

	"currantloom.example/currantloom"
)

const (
	// lengthSize is the size of the length of an encoded message, which counts itself.
	lengthSize = 4
	// headerSize is the size of the type and the length.
	headerSize = 1 + lengthSize
)

// relayBody passes the response of the caller's messages on, without its ReadyForQuery.
func (r *run) relayBody() error {
	reader := r.conn.reader
	for {
		kind, length, err := reader.Next()
		if err != nil {
			return err
		}
		if kind != 'Z' {
			if err := r.relay(kind, length); err != nil {
				return err
			}
			continue
		}
		body, err := reader.Body()
		if err == nil {
			err = r.conn.ready(body)
		}
		if err != nil {
			return err
		}
		return r.endBody()
	}
}

// endBody passes on what was held back for a refusal, unless the refusal proves that nothing ran.
func (r *run) endBody() error {
	if r.refusal != nil {
		if r.conn.status == currantloom.TransactionIdle {
			r.end(currantloom.NotRun, currantloom.SQLStateReadOnly, "server %s refuses writes", r.conn.pool.server.Name())
			return nil
		}
		return r.pass('E', r.refusal)
	}
	if r.withheld == nil {
		return r.flushHeld()
	}
	return nil
}

// relay passes one message on. The last CommandComplete is kept back if the work asks for it.
func (r *run) relay(kind byte, length int) error {
	reader := r.conn.reader
	switch kind {
	case 'S', 'C', 'E':
		body, err := reader.Body()
		if err != nil {
			return err
		}
		return r.relayDecoded(kind, body)
	case 'A':
		// No session listens, so a notification belongs to nobody.
		return nil
	case 'G', 'W':
		return currantloom.ErrInput.New("server %s started a COPY", r.conn.pool.server.Name())
	case '1', '2', '3', 't', 'n', 'T', 'I', 's', 'N':
		// A read-only refusal may follow, and a withheld completion stays withheld when, for example, the portal is
		// closed after it.
		keep := &r.held
		if r.withheld != nil {
			keep = &r.withheld
		}
		if (r.withheld != nil && kind != 'T' || !r.result.ResponseStarted) && len(*keep)+length < maxHeld {
			body, err := reader.Body()
			*keep = appendMessage(*keep, kind, body)
			return err
		}
	}
	if err := r.flush(); err != nil {
		return err
	}
	return r.writeOut(kind, length, reader)
}

func (r *run) relayDecoded(kind byte, body []byte) error {
	switch kind {
	case 'S':
		if name, value := parseStatusParameter(body); name == positionParameter {
			r.parsePosition(value, !r.work.ReadOnly)
		}
		return nil
	case 'E':
		return r.relayError(body)
	}
	tag, err := commandTag(body)
	if err != nil {
		return err
	}
	r.tags = append(r.tags, tag)
	if err := r.flushWithheld(); err != nil {
		return err
	}
	if r.work.WithholdCompletion || r.records {
		r.withheld = appendMessage(nil, 'C', body)
		return nil
	}
	return r.pass('C', body)
}

func (r *run) relayError(body []byte) error {
	failure, err := parseError(body)
	if err != nil {
		return err
	}
	r.result.Code = currantloom.SQLState(failure.Code)
	if r.result.Code == currantloom.SQLStateReadOnly && r.wasIdle && !r.result.ResponseStarted && r.withheld == nil {
		r.held, r.refusal = nil, body
		return nil
	}
	return r.pass('E', body)
}

// pass writes one message after those that were kept back.
func (r *run) pass(kind byte, body []byte) error {
	if err := r.flush(); err != nil {
		return err
	}
	return r.writeOut(kind, len(body), bytes.NewReader(body))
}

// flush writes the messages that were kept back.
func (r *run) flush() error {
	if err := r.flushWithheld(); err != nil {
		return err
	}
	return r.flushHeld()
}

func (r *run) flushHeld() error {
	held := r.held
	r.held = nil
	return r.passEncoded(held)
}

func (r *run) flushWithheld() error {
	if r.withheld == nil {
		return nil
	}
	if err := r.flushHeld(); err != nil {
		return err
	}
	withheld := r.withheld
	r.withheld = nil
	return r.passEncoded(withheld)
}

// passEncoded writes messages that are in memory. They were encoded here, so their lengths are right.
func (r *run) passEncoded(messages []byte) error {
	for len(messages) > 0 {
		length := int(binary.BigEndian.Uint32(messages[1:]))
		if err := r.writeOut(messages[0], length-lengthSize, bytes.NewReader(messages[headerSize:1+length])); err != nil {
			return err
		}
		messages = messages[1+length:]
	}
	return nil
}

// source remembers an error of the body that is passed on, to tell it from an error of the response writer.
type source struct {
	io.Reader
	err error
}

// Read reads from the body.
func (s *source) Read(p []byte) (int, error) {
	n, err := s.Reader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		s.err = err
	}
	return n, err
}

func (r *run) writeOut(kind byte, length int, body io.Reader) error {
	r.result.ResponseStarted = true
	s := &source{Reader: body}
	err := r.out.WriteMessage(kind, length, s)
	if err != nil && s.err == nil {
		return callerError{err}
	}
	return err
}
