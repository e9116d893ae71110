package loomentry

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"go.uber.org/goleak"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomwire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeGateway is a gateway with a fake upstream. It echoes statements, fails those that contain "fail" and delays those
// that contain "slow" until they are cancelled. It keeps no prepared statement between requests.
type fakeGateway struct {
	mu        sync.Mutex
	number    uint64
	requests  []currantloom.Request
	cancelled map[currantloom.RequestKey]chan struct{}
	released  int
}

func (g *fakeGateway) NextRequestKey() currantloom.RequestKey {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.number++
	return currantloom.RequestKey{VM: "vm-1", Number: g.number}
}

func (g *fakeGateway) cancelChannel(key currantloom.RequestKey) chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cancelled == nil {
		g.cancelled = make(map[currantloom.RequestKey]chan struct{})
	}
	if g.cancelled[key] == nil {
		g.cancelled[key] = make(chan struct{})
	}
	return g.cancelled[key]
}

// RequiresRequestID returns true for statements that begin with "insert order".
func (g *fakeGateway) RequiresRequestID(_ currantloom.DatabaseName, statements []string) bool {
	return slices.ContainsFunc(statements, func(s string) bool { return strings.HasPrefix(s, "insert order") })
}

func (g *fakeGateway) Cancel(key currantloom.RequestKey) { close(g.cancelChannel(key)) }

func (g *fakeGateway) received() []currantloom.Request {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]currantloom.Request(nil), g.requests...)
}

func (g *fakeGateway) releaseCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.released
}

func (g *fakeGateway) Execute(
	ctx context.Context, r currantloom.Request, body []byte, out currantloom.ResponseWriter,
) (currantloom.ResponseTrailer, currantloom.Link) {
	g.mu.Lock()
	g.requests = append(g.requests, r)
	g.mu.Unlock()
	l := &fakeLink{gateway: g, status: currantloom.TransactionIdle}
	t := l.Run(ctx, currantloom.RequestHeader{Key: r.Key, Statement: r.Statement}, body, out)
	if l.status == currantloom.TransactionIdle {
		return t, nil
	}
	return t, l
}

type fakeLink struct {
	gateway *fakeGateway
	status  currantloom.TransactionStatus
	unnamed *pgproto3.Parse
	failed  bool
	out     currantloom.ResponseWriter
}

func (l *fakeLink) Release() {
	l.gateway.mu.Lock()
	defer l.gateway.mu.Unlock()
	l.gateway.released++
}

func (l *fakeLink) Run(
	ctx context.Context, h currantloom.RequestHeader, body []byte, out currantloom.ResponseWriter,
) currantloom.ResponseTrailer {
	l.out, l.failed, l.unnamed = out, false, nil
	switch {
	case strings.Contains(h.Statement, "slow"):
		select {
		case <-l.gateway.cancelChannel(h.Key):
		case <-ctx.Done():
		}
		return currantloom.ResponseTrailer{
			Verdict: currantloom.NotRun, SQLState: currantloom.SQLStateQueryCanceled, Reason: "cancelled",
		}
	case strings.Contains(h.Statement, "cut"):
		l.send(&pgproto3.RowDescription{})
		l.send(&pgproto3.DataRow{Values: [][]byte{[]byte("first")}})
		return currantloom.ResponseTrailer{
			SQLState: currantloom.SQLStateOutcomeUnknown, Reason: "server lost", ResponseStarted: true,
		}
	case strings.Contains(h.Statement, "midrow"):
		l.send(&pgproto3.RowDescription{})
		_ = out.WriteMessage('D', 1<<20, strings.NewReader("start of a row"))
		return currantloom.ResponseTrailer{
			SQLState: currantloom.SQLStateOutcomeUnknown, Reason: "server lost", ResponseStarted: true,
		}
	}
	r := loomwire.NewReader(bytes.NewReader(body))
	for {
		kind, _, err := r.Next()
		if err != nil {
			break
		}
		content, _ := r.Body()
		if !l.failed {
			l.message(kind, content)
		}
	}
	return currantloom.ResponseTrailer{Verdict: currantloom.Ran, UpstreamAnswered: true, TransactionStatus: l.status}
}

func (l *fakeLink) send(m loomwire.Encoder) {
	b, _ := m.Encode(nil)
	_ = l.out.WriteMessage(b[0], len(b)-5, bytes.NewReader(b[5:]))
}

func (l *fakeLink) message(kind byte, body []byte) {
	switch kind {
	case 'Q':
		for _, q := range strings.Split(strings.Trim(string(body), ";\x00"), ";") {
			if q = strings.TrimSpace(q); strings.HasPrefix(q, "select") && !l.failed {
				l.send(l.row())
			}
			l.run(q)
		}
	case 'P':
		var m pgproto3.Parse
		_ = m.Decode(body)
		l.unnamed = &m
		if strings.Contains(m.Query, "badparse") {
			l.fail()
			return
		}
		l.send(&pgproto3.ParseComplete{})
	case 'B':
		if l.unnamed == nil {
			l.fail()
			return
		}
		l.send(&pgproto3.BindComplete{})
	case 'D':
		if l.unnamed == nil {
			l.fail()
			return
		}
		if body[0] == 'S' {
			l.send(&pgproto3.ParameterDescription{ParameterOIDs: l.oids()})
		}
		l.send(l.row())
	case 'E':
		if l.unnamed == nil {
			l.fail()
			return
		}
		l.run(l.unnamed.Query)
	case 'C':
		l.send(&pgproto3.CloseComplete{})
	}
}

func (l *fakeLink) oids() []uint32 {
	if len(l.unnamed.ParameterOIDs) > 0 {
		return l.unnamed.ParameterOIDs
	}
	oids := []uint32{}
	for range strings.Count(l.unnamed.Query, "$") {
		oids = append(oids, 25)
	}
	return oids
}

func (l *fakeLink) row() *pgproto3.RowDescription {
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("v"), DataTypeOID: 25}}}
}

func (l *fakeLink) fail() {
	l.failed = true
	l.send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: "42601", Message: "failed"})
	if l.status == currantloom.TransactionOpen {
		l.status = currantloom.TransactionFailed
	}
}

func (l *fakeLink) run(q string) {
	switch first, _, _ := strings.Cut(strings.ToLower(q), " "); {
	case l.failed:
		return
	case strings.Contains(q, "fail"):
		l.fail()
		return
	case first == "begin":
		l.status = currantloom.TransactionOpen
	case first == "commit" || first == "rollback":
		l.status = currantloom.TransactionIdle
	case first == "select":
		l.send(&pgproto3.DataRow{Values: [][]byte{[]byte(q)}})
	}
	l.send(&pgproto3.CommandComplete{CommandTag: []byte("DONE")})
}

// startServer starts a server with a fake gateway and returns both and the server's address.
func startServer(t testing.TB, change ...func(*Server)) (*Server, *fakeGateway, string) {
	t.Helper()
	c := &Credentials{}
	for _, organisation := range []currantloom.OrganisationName{"steyr", "rival"} {
		if err := c.Add(organisation, "secret"); err != nil {
			t.Fatal(err)
		}
	}
	g := &fakeGateway{}
	s := &Server{Gateway: g, Credentials: c, VM: "vm-1"}
	for _, c := range change {
		c(s)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(listener)
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-done
		_ = s.Close()
	})
	return s, g, listener.Addr().String()
}

func connect(t testing.TB, address, user string, change func(*pgx.ConnConfig)) *pgx.Conn {
	t.Helper()
	config, err := pgx.ParseConfig(fmt.Sprintf("postgres://%s:secret@%s/wheel-core-1?sslmode=disable", user, address))
	if err != nil {
		t.Fatal(err)
	}
	if change != nil {
		change(config)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	conn, err := pgx.ConnectConfig(ctx, config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}
