package loomwire

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"io"

	"currantloom.example/currantloom"
)

const (
	// MaxBodySize is the largest message body, in bytes, that Body reads into memory.
	MaxBodySize = 16 << 20
	// readBufferSize is small because an idle connection keeps its read buffer.
	readBufferSize = 2 << 10
	// maxPreallocated is the largest body, in bytes, for which memory is allocated before the bytes have arrived.
	maxPreallocated = 64 << 10
	headerSize      = 5
	lengthSize      = 4
)

// Reader reads PostgreSQL messages that start with a type byte.
type Reader struct {
	buf       *bufio.Reader
	remaining int
	err       error
}

// NewReader returns a reader of the messages in r with a small buffer, for connections that are mostly idle.
func NewReader(r io.Reader) *Reader { return NewReaderSize(r, readBufferSize) }

// NewReaderSize returns a reader of the messages in r with a buffer of the given size.
func NewReaderSize(r io.Reader, size int) *Reader { return &Reader{buf: bufio.NewReaderSize(r, size)} }

// WaitBuffered waits until at least n bytes are buffered, or the buffer is full, without consuming them. It must not
// run concurrently with another method.
func (r *Reader) WaitBuffered(n int) error {
	_, err := r.buf.Peek(min(n, r.buf.Size()))
	return err
}

// Buffered returns the number of bytes that were received but not read.
func (r *Reader) Buffered() int { return r.buf.Buffered() }

// Next returns the type of the next message and the length of its body. The rest of the previous body is skipped.
func (r *Reader) Next() (kind byte, length int, err error) {
	if r.err != nil {
		return 0, 0, r.err
	}
	if r.remaining > 0 {
		if _, err := r.buf.Discard(r.remaining); err != nil {
			return 0, 0, r.fail(err)
		}
		r.remaining = 0
	}
	var header [headerSize]byte
	if _, err := io.ReadFull(r.buf, header[:]); err != nil {
		return 0, 0, r.fail(err)
	}
	size := binary.BigEndian.Uint32(header[1:])
	if size < lengthSize || size > 1<<30 {
		return 0, 0, r.fail(currantloom.NewRequestError(currantloom.NotRun, currantloom.SQLStateProtocolViolation, 0,
			"message of type %q has invalid length %d", header[0], size))
	}
	r.remaining = int(size) - lengthSize
	return header[0], r.remaining, nil
}

// Body reads the body of the current message into a new slice.
func (r *Reader) Body() ([]byte, error) {
	if r.remaining > MaxBodySize {
		return nil, r.fail(currantloom.NewRequestError(currantloom.NotRun, currantloom.SQLStateProtocolViolation, 0,
			"message of %d bytes exceeds the limit of %d", r.remaining, MaxBodySize))
	}
	if r.remaining > maxPreallocated {
		return r.growingBody()
	}
	body := make([]byte, r.remaining)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, r.fail(err)
	}
	return body, nil
}

// growingBody reads the body and allocates memory as the bytes arrive, so that a length field alone does not make the
// receiver allocate memory.
func (r *Reader) growingBody() ([]byte, error) {
	var body bytes.Buffer
	if _, err := io.CopyN(&body, r, int64(r.remaining)); err != nil {
		return nil, r.fail(err)
	}
	return body.Bytes(), nil
}

// Read reads a part of the body of the current message. It returns io.EOF at the end of the body.
func (r *Reader) Read(p []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	if r.remaining == 0 {
		return 0, io.EOF
	}
	if len(p) > r.remaining {
		p = p[:r.remaining]
	}
	n, err := r.buf.Read(p)
	r.remaining -= n
	if err != nil {
		return n, r.fail(err)
	}
	return n, nil
}

func (r *Reader) fail(err error) error {
	if errors.Is(err, io.EOF) && r.remaining > 0 {
		err = io.ErrUnexpectedEOF
	}
	r.err = err
	return err
}
