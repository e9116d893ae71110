package loomwire

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
	"sync"
)

const (
	// writeBufferSize is large enough that a response of many short rows needs few system calls.
	writeBufferSize = 16 << 10
	// maxBufferedBody is the largest body, in bytes, that is read completely before its header is written, so that a
	// read error in the middle of such a body leaves the output at a message boundary.
	maxBufferedBody = 8 << 10
)

// writeBuffers pools the buffers of writers that have nothing to send, because most connections are idle.
var writeBuffers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBufferSize) }}

// Writer writes PostgreSQL messages that start with a type byte. It implements currantloom.ResponseWriter. It holds a
// buffer only between the first write and Flush.
type Writer struct {
	dst io.Writer
	buf *bufio.Writer
	// truncationErr is the first error after which the output may end in the middle of a message; nothing may follow.
	truncationErr error
}

// NewWriter returns a writer of messages to w.
func NewWriter(w io.Writer) *Writer { return &Writer{dst: w} }

func (w *Writer) buffer() *bufio.Writer {
	if w.buf == nil {
		w.buf = writeBuffers.Get().(*bufio.Writer)
		w.buf.Reset(w.dst)
	}
	return w.buf
}

// Truncated reports whether the output may end in the middle of a message, so that nothing may follow.
func (w *Writer) Truncated() bool { return w.truncationErr != nil }

// WriteMessage writes one message. A large body is streamed.
func (w *Writer) WriteMessage(kind byte, length int, body io.Reader) error {
	if w.truncationErr != nil {
		return w.truncationErr
	}
	b := w.buffer()
	if headerSize+length > b.Available() && b.Buffered() > 0 {
		if err := b.Flush(); err != nil {
			return w.fail(err)
		}
	}
	if length <= maxBufferedBody {
		return writeBuffered(b, kind, length, body)
	}
	if _, err := b.Write(appendHeader(nil, kind, length)); err != nil {
		return w.fail(err)
	}
	_, err := io.CopyN(b, body, int64(length))
	return w.fail(err)
}

// fail records the first error after which the output may end in the middle of a message.
func (w *Writer) fail(err error) error {
	if w.truncationErr == nil {
		w.truncationErr = err
	}
	return err
}

// writeBuffered writes a message after it has read the whole body into the free part of the buffer.
func writeBuffered(b *bufio.Writer, kind byte, length int, body io.Reader) error {
	message := appendHeader(b.AvailableBuffer(), kind, length)
	message = message[:headerSize+length]
	if length > 0 {
		if _, err := io.ReadFull(body, message[headerSize:]); err != nil {
			return err
		}
	}
	_, err := b.Write(message)
	return err
}

func appendHeader(dst []byte, kind byte, length int) []byte {
	return binary.BigEndian.AppendUint32(append(dst, kind), uint32(length)+lengthSize)
}

// AppendMessage appends an encoded message.
func AppendMessage(dst []byte, kind byte, body []byte) []byte {
	return append(appendHeader(dst, kind, len(body)), body...)
}

// WriteBody writes one message whose body is in memory.
func (w *Writer) WriteBody(kind byte, body []byte) error {
	return w.WriteMessage(kind, len(body), bytes.NewReader(body))
}

// Encoder is implemented by the messages of pgproto3.
type Encoder interface {
	Encode(dst []byte) ([]byte, error)
}

// Send encodes and writes a message of pgproto3.
func (w *Writer) Send(m Encoder) error {
	encoded, err := m.Encode(nil)
	if err != nil {
		return err
	}
	_, err = w.Write(encoded)
	return err
}

// Write writes encoded messages.
func (w *Writer) Write(p []byte) (int, error) {
	if w.truncationErr != nil {
		return 0, w.truncationErr
	}
	n, err := w.buffer().Write(p)
	return n, w.fail(err)
}

// Flush sends the buffered bytes, including the start of a truncated message.
func (w *Writer) Flush() error {
	if w.buf == nil {
		return w.truncationErr
	}
	err := w.fail(w.buf.Flush())
	if err == nil {
		err = w.truncationErr
	}
	w.buf.Reset(nil)
	writeBuffers.Put(w.buf)
	w.buf = nil
	return err
}
