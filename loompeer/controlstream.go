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
	// maxControlObject bounds one object of the control protocol. A rules file has at most 1 MB, and JSON takes up to 6
	// bytes for a character.
	maxControlObject = 8 << 20
	// controlIdle is how long a control connection stays open without an object.
	controlIdle = 30 * time.Second
	// controlWrite bounds the time of one write; 1 MB takes 0.3 s on the link between regions.
	controlWrite = 5 * time.Second
)

// boundedCodec writes each object with a length of 4 bytes before it and refuses objects that are too long before it
// reads them. The codecs of the library have no bound.
type boundedCodec struct{}

// WriteObject writes one object.
func (boundedCodec) WriteObject(stream io.Writer, obj any) error {
	data, err := json.Marshal(obj)
	if err != nil {
		return err
	}
	if len(data) > maxControlObject {
		return currantloom.ErrInput.New("control object has %d bytes, at most %d are allowed", len(data), maxControlObject)
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
	if length > maxControlObject {
		return currantloom.ErrInput.New("control object of %d bytes, at most %d are allowed", length, maxControlObject)
	}
	// The buffer grows as data arrives, so a length alone claims no memory.
	var data bytes.Buffer
	if _, err := io.CopyN(&data, stream, int64(length)); err != nil {
		return err
	}
	return json.Unmarshal(data.Bytes(), v)
}

// newControlConn starts a JSON-RPC connection. Each read and write has a deadline, so a silent connection is closed.
func newControlConn(conn net.Conn, h jsonrpc2.Handler) *jsonrpc2.Conn {
	limited := &progressConn{Conn: conn, readLimit: controlIdle, writeLimit: controlWrite}
	return jsonrpc2.NewConn(background, jsonrpc2.NewBufferedStream(limited, boundedCodec{}), h,
		jsonrpc2.SetLogger(log.New(io.Discard, "", 0)))
}
