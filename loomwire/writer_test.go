package loomwire

import (
	"bytes"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
)

// TestWriterAfterTruncatedMessage guards against messages that are written after a truncated message: the receiver
// would read them as the rest of that message.
func TestWriterAfterTruncatedMessage(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out)
	if err := w.WriteMessage('D', 4, strings.NewReader("row")); err == nil || w.Truncated() {
		t.Errorf("got error %v and truncated %t for a short message, want an error at a message boundary", err, w.Truncated())
	}
	if err := w.WriteMessage('D', maxBufferedBody+1, strings.NewReader("start of a row")); err == nil || !w.Truncated() {
		t.Errorf("got error %v and truncated %t for a long message, want an error", err, w.Truncated())
	}
	if err := w.WriteBody('C', nil); err == nil {
		t.Error("WriteBody after a truncated message succeeded")
	}
	if err := w.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'}); err == nil {
		t.Error("Send after a truncated message succeeded")
	}
	if _, err := w.Write([]byte{'Z', 0, 0, 0, 5, 'I'}); err == nil {
		t.Error("Write after a truncated message succeeded")
	}
	if err := w.Flush(); err == nil {
		t.Error("Flush after a truncated message succeeded")
	}
	if want := "start of a row"; !strings.HasSuffix(out.String(), want) {
		t.Errorf("got output that ends in %q, want %q", out.String()[max(0, out.Len()-20):], want)
	}
}
