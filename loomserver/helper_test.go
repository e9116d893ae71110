package loomserver

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"go.uber.org/goleak"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomstandin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

func startGroup(t *testing.T, o loomstandin.Options) []*loomstandin.Server {
	t.Helper()
	g, err := loomstandin.StartGroup(o, listen(t), listen(t), listen(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = g.Close() })
	return g.Servers()
}

func startRelay(t *testing.T, target string) *loomstandin.Relay {
	t.Helper()
	r := loomstandin.StartRelay(listen(t), target)
	t.Cleanup(func() { _ = r.Close() })
	return r
}

func newPool(t *testing.T, address string, options ...Option) *Pool {
	t.Helper()
	p := NewPool(upstreamAt(address), "currantloom", "", options...)
	t.Cleanup(func() { _ = p.Close() })
	return p
}

func upstreamAt(address string) currantloom.PostgresUpstream {
	return currantloom.NewPostgresUpstream("wheel-core-1-a", "wheel-core-1", address, currantloom.Location{})
}

// responseRecorder records a response as text, one word for each message.
type responseRecorder struct {
	words      []string
	readFailed bool
}

func (r *responseRecorder) WriteMessage(kind byte, _ int, body io.Reader) error {
	content, err := io.ReadAll(body)
	if err != nil {
		r.readFailed = true
		return err
	}
	word := string(kind)
	switch kind {
	case 'C':
		word = strings.TrimRight(string(content), "\x00")
	case 'D':
		var m pgproto3.DataRow
		_ = m.Decode(content)
		word = fmt.Sprintf("%s", m.Values)
	case 'E':
		var m pgproto3.ErrorResponse
		_ = m.Decode(content)
		word = m.Code
	}
	r.words = append(r.words, word)
	return nil
}

func (r *responseRecorder) Flush() error { return nil }

func simpleQuery(sql string) currantloom.PostgresRequest {
	return currantloom.PostgresRequest{Body: encodeQuery(sql), WithholdCompletion: true}
}

func readQuery(sql string) currantloom.PostgresRequest {
	return currantloom.PostgresRequest{Body: encodeQuery(sql), ReadOnly: true}
}

func extendedQuery(t *testing.T, sql string, parameters ...string) currantloom.PostgresRequest {
	t.Helper()
	body, err := encodeExtendedQuery(sql, parameters...)
	if err != nil {
		t.Fatal(err)
	}
	return currantloom.PostgresRequest{Body: body, WithholdCompletion: true}
}

func withRequestID(request currantloom.PostgresRequest, id string) currantloom.PostgresRequest {
	request.Organisation, request.RequestID = "steyr", id
	return request
}

func acquire(t *testing.T, p *Pool) *acquiredConn {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	c, err := p.Acquire(ctx)
	if err != nil {
		t.Fatal(err)
	}
	return c.(*acquiredConn)
}

// runOnConn runs a request on a connection and returns the response as words.
func runOnConn(
	t *testing.T, c *acquiredConn, request currantloom.PostgresRequest,
) (currantloom.PostgresResult, string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	var out responseRecorder
	result := c.Run(ctx, request, &out)
	return result, strings.Join(out.words, " ")
}

// runOnPool runs a request on a connection of the pool.
func runOnPool(t *testing.T, p *Pool, request currantloom.PostgresRequest) (currantloom.PostgresResult, string) {
	t.Helper()
	c := acquire(t, p)
	defer c.Release()
	return runOnConn(t, c, request)
}

func wantResponse(t *testing.T, p *Pool, request currantloom.PostgresRequest, want string) currantloom.PostgresResult {
	t.Helper()
	result, got := runOnPool(t, p, request)
	if result.Err != nil || result.Verdict != currantloom.Ran || got != want {
		t.Errorf("got %q, verdict %s, error %v, want %q", got, result.Verdict, result.Err, want)
	}
	return result
}

// wantFailure checks that the request ended without an answer of the upstream.
func wantFailure(t *testing.T, r currantloom.PostgresResult, v currantloom.Verdict, code currantloom.SQLState) {
	t.Helper()
	if r.Err == nil || r.Verdict != v || currantloom.VerdictOf(r.Err) != v || r.Code != code {
		t.Errorf("got verdict %s, code %s, error %v, want %s, %s and an error", r.Verdict, r.Code, r.Err, v, code)
	}
}

func idleConnections(p *Pool) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle)
}

// promote makes the server with the latest log position the primary of the term, and the others its replicas.
func promote(t *testing.T, term currantloom.Term, servers ...*loomstandin.Server) *Pool {
	t.Helper()
	var primary *Pool
	var latest currantloom.LogPosition
	for _, s := range servers {
		p := newPool(t, s.Address())
		grant, err := p.RaiseTerm(t.Context(), term, "vm-1")
		if err != nil || !grant.Granted {
			t.Fatalf("got %+v, %v, want a grant", grant, err)
		}
		if primary == nil || !latest.Covers(grant.Position) {
			primary, latest = p, grant.Position
		}
	}
	if err := primary.Promote(t.Context(), term); err != nil {
		t.Fatal(err)
	}
	for _, s := range servers {
		if s.Address() != primary.upstream.Address() {
			if err := newPool(t, s.Address()).Follow(t.Context(), term, primary.upstream); err != nil {
				t.Fatal(err)
			}
		}
	}
	return primary
}
