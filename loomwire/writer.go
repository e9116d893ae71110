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
	// maxWhole is the largest body that is read completely before its header is written, so that a source that fails
	// in the middle of such a message leaves the output at a message boundary.
	maxWhole = 8 << 10
)

// writeBuffers holds the buffers of writers that have nothing to send, because most connections are idle.
var writeBuffers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBufferSize) }}

// Writer writes messages with a type byte. It implements currantloom.ResponseWriter. It holds a buffer only between
// the first write and Flush.
type Writer struct {
	dst io.Writer
	w   *bufio.Writer
	// err is the error that cut a message off in its middle; nothing may follow it.
	err error
}

// NewWriter returns a writer of messages to w.
func NewWriter(w io.Writer) *Writer { return &Writer{dst: w} }

func (w *Writer) buffer() *bufio.Writer {
	if w.w == nil {
		w.w = writeBuffers.Get().(*bufio.Writer)
		w.w.Reset(w.dst)
	}
	return w.w
}

// Truncated reports whether a message was cut off in its middle, so that nothing may follow it.
func (w *Writer) Truncated() bool { return w.err != nil }

// WriteMessage writes one message; a large body is copied in pieces.
func (w *Writer) WriteMessage(kind byte, length int, body io.Reader) error {
	if w.err != nil {
		return w.err
	}
	b := w.buffer()
	if headerSize+length > b.Available() && b.Buffered() > 0 {
		if err := b.Flush(); err != nil {
			return w.fail(err)
		}
	}
	if length <= maxWhole {
		return writeWhole(b, kind, length, body)
	}
	if _, err := b.Write(appendHeader(nil, kind, length)); err != nil {
		return w.fail(err)
	}
	_, err := io.CopyN(b, body, int64(length))
	return w.fail(err)
}

// fail keeps the first error after which the output may end in the middle of a message.
func (w *Writer) fail(err error) error {
	if w.err == nil {
		w.err = err
	}
	return err
}

// writeWhole reads the body into the free part of the buffer, behind its header.
func writeWhole(b *bufio.Writer, kind byte, length int, body io.Reader) error {
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

// WriteBody writes one message with a body in memory.
func (w *Writer) WriteBody(kind byte, body []byte) error {
	return w.WriteMessage(kind, len(body), bytes.NewReader(body))
}

// Encoder is a message of pgproto3.
type Encoder interface {
	Encode(dst []byte) ([]byte, error)
}

// Send writes an encoded message of pgproto3.
func (w *Writer) Send(m Encoder) error {
	encoded, err := m.Encode(nil)
	if err != nil {
		return err
	}
	_, err = w.Write(encoded)
	return err
}

// Write writes bytes that already hold encoded messages.
func (w *Writer) Write(p []byte) (int, error) {
	if w.err != nil {
		return 0, w.err
	}
	n, err := w.buffer().Write(p)
	return n, w.fail(err)
}

// Flush sends what is buffered, also the start of a message that was cut off.
func (w *Writer) Flush() error {
	if w.w == nil {
		return w.err
	}
	err := w.fail(w.w.Flush())
	if err == nil {
		err = w.err
	}
	w.w.Reset(nil)
	writeBuffers.Put(w.w)
	w.w = nil
	return err
}
