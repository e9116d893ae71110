package loomentry

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"currantloom.example/currantloom/loomwire"
)

// sessionEndTimeout is far above the time that a session takes to notice that its client has disconnected.
const sessionEndTimeout = 5 * time.Second

// encodeMessages returns the encoded messages of a seed.
func encodeMessages(messages ...loomwire.Encoder) []byte {
	var b []byte
	for _, m := range messages {
		b, _ = m.Encode(b)
	}
	return b
}

// FuzzSession guards against client input that makes a session panic or hang, or that affects another connection. The
// input replaces the startup message, or follows the authentication.
func FuzzSession(f *testing.F) {
	f.Add(false, []byte("GET / HTTP/1.1\r\n\r\n"))
	f.Add(false, encodeMessages(&pgproto3.StartupMessage{
		ProtocolVersion: 196610, Parameters: map[string]string{"user": "steyr", "_pq_.x": "1"},
	}))
	f.Add(true, encodeMessages(&pgproto3.Query{String: "begin; select 'x' -- y\n; commit"}, &pgproto3.Terminate{}))
	f.Add(true, encodeMessages(&pgproto3.Query{String: "begin"}, &pgproto3.Query{String: "listen x"},
		&pgproto3.Query{String: "rollback"}, &pgproto3.Query{String: "set currantloom.max_age = '5s'"}))
	f.Add(true, encodeMessages(&pgproto3.Parse{Name: "a", Query: "select $1", ParameterOIDs: []uint32{25}},
		&pgproto3.Describe{ObjectType: 'S', Name: "a"}, &pgproto3.Sync{},
		&pgproto3.Bind{PreparedStatement: "a", Parameters: [][]byte{[]byte("x")}},
		&pgproto3.Describe{ObjectType: 'P'}, &pgproto3.Execute{}, &pgproto3.Close{ObjectType: 'S', Name: "a"},
		&pgproto3.Sync{}, &pgproto3.Flush{}, &pgproto3.Sync{}))
	f.Add(true, encodeMessages(&pgproto3.Parse{Query: "show currantloom.token"}, &pgproto3.Bind{},
		&pgproto3.Describe{ObjectType: 'P'}, &pgproto3.Execute{}, &pgproto3.Sync{}, &pgproto3.Query{String: "select slow"}))
	server, _, address := startServer(f)
	other := connect(f, address, "rival", nil)
	f.Fuzz(func(t *testing.T, authenticated bool, input []byte) {
		client, conn := net.Pipe()
		s := newSession(server, conn)
		if !server.add(s) {
			t.Fatal("session was not accepted")
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			defer server.remove(s)
			if !authenticated {
				s.serve(context.Background())
				return
			}
			s.organisation, s.database = "steyr", "wheel-core-1"
			for s.serveRequest(context.Background()) == nil {
				continue
			}
			s.releaseLink()
			_ = conn.Close()
		}()
		go func() { _, _ = io.Copy(io.Discard, client) }()
		_ = client.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
		_, _ = client.Write(input)
		_ = client.Close()
		select {
		case <-done:
		case <-time.After(sessionEndTimeout):
			t.Fatal("session did not end after its client")
		}
		wantValue(t, other, "select 1", "select 1")
	})
}
