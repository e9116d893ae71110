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
	// bufferSize is small because an idle client connection keeps its buffers.
	bufferSize = 2 << 10
	// maxAtOnce is the largest body for which memory is allocated before its bytes have arrived.
	maxAtOnce  = 64 << 10
	headerSize = 5
	lengthSize = 4
)

// Reader reads messages with a type byte.
type Reader struct {
	r         *bufio.Reader
	remaining int
	err       error
}

// NewReader returns a reader of the messages in r, with a small buffer for connections that are mostly idle.
func NewReader(r io.Reader) *Reader { return NewReaderSize(r, bufferSize) }

// NewReaderSize returns a reader of the messages in r with a buffer of the given size.
func NewReaderSize(r io.Reader, size int) *Reader { return &Reader{r: bufio.NewReaderSize(r, size)} }

// WaitBuffered waits until at least n bytes are buffered, or the buffer is full, without consuming them. It must not
// run concurrently with another method.
func (r *Reader) WaitBuffered(n int) error {
	_, err := r.r.Peek(min(n, r.r.Size()))
	return err
}

// Buffered returns the number of bytes that were received but not read.
func (r *Reader) Buffered() int { return r.r.Buffered() }

// Next returns the type of the next message and the length of its body. The rest of the previous body is skipped.
func (r *Reader) Next() (kind byte, length int, err error) {
	if r.err != nil {
		return 0, 0, r.err
	}
	if r.remaining > 0 {
		if _, err := r.r.Discard(r.remaining); err != nil {
			return 0, 0, r.fail(err)
		}
		r.remaining = 0
	}
	var header [headerSize]byte
	if _, err := io.ReadFull(r.r, header[:]); err != nil {
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

// Body reads the body of the current message. The slice is the caller's own.
func (r *Reader) Body() ([]byte, error) {
	if r.remaining > MaxBodySize {
		return nil, r.fail(currantloom.NewRequestError(currantloom.NotRun, currantloom.SQLStateProtocolViolation, 0,
			"message of %d bytes exceeds the limit of %d", r.remaining, MaxBodySize))
	}
	if r.remaining > maxAtOnce {
		return r.largeBody()
	}
	body := make([]byte, r.remaining)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, r.fail(err)
	}
	return body, nil
}

// largeBody allocates memory as the bytes arrive, so that a sender cannot claim memory with a length alone.
func (r *Reader) largeBody() ([]byte, error) {
	var body bytes.Buffer
	if _, err := io.CopyN(&body, r, int64(r.remaining)); err != nil {
		return nil, r.fail(err)
	}
	return body.Bytes(), nil
}

// Read reads a part of the body of the current message; io.EOF marks the end of the body.
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
	n, err := r.r.Read(p)
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
