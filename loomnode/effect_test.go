package loomnode

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomcore"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakePostgres is a PostgresClient that records its calls. Status never returns before its context ends.
type fakePostgres struct {
	mu    sync.Mutex
	calls []string
}

func (s *fakePostgres) record(format string, args ...any) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, fmt.Sprintf(format, args...))
	return nil
}

func (s *fakePostgres) recordedCalls() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Join(s.calls, "; ")
}

func (s *fakePostgres) Status(ctx context.Context) (currantloom.PostgresStatus, error) {
	<-ctx.Done()
	_ = s.record("status %v", ctx.Err())
	return currantloom.PostgresStatus{}, ctx.Err()
}

func (s *fakePostgres) RaiseTerm(
	_ context.Context, term currantloom.Term, proposer currantloom.VMName,
) (currantloom.TermGrant, error) {
	return currantloom.TermGrant{Granted: true}, s.record("raise %d %s", term, proposer)
}

func (s *fakePostgres) Promote(_ context.Context, term currantloom.Term) error {
	return s.record("promote %d", term)
}

func (s *fakePostgres) Follow(_ context.Context, term currantloom.Term, primary currantloom.PostgresUpstream) error {
	return s.record("follow %d %s", term, primary.Address())
}

func (s *fakePostgres) PurgeRequestIDs(_ context.Context, age time.Duration) (int, error) {
	return 0, s.record("purge %s", age)
}

func (s *fakePostgres) Acquire(context.Context) (currantloom.PostgresConn, error) {
	return nil, currantloom.NewRequestError(currantloom.NotRun, currantloom.SQLStateTooManyConnections, 0, "no connection")
}

func (s *fakePostgres) Close() error { return nil }

// fakeControl is a ControlExecutor that records its calls.
type fakeControl struct{ fakePostgres }

func (c *fakeControl) SendRules(e loomcore.PushRules) {
	_ = c.record("send %d", e.Document.Revision())
}
func (c *fakeControl) RequestRules(e loomcore.PullRules) { _ = c.record("request %s", e.VM) }
func (c *fakeControl) WatchStore(on bool)                { _ = c.record("watch %v", on) }

// noVMs is a VMList that never returns a list.
type noVMs struct{}

func (noVMs) VMs(ctx context.Context, _ uint64) (currantloom.VMSet, error) {
	<-ctx.Done()
	return currantloom.VMSet{}, ctx.Err()
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

func newNode(t *testing.T, logOutput io.Writer, control ControlExecutor) (*Node, *fakePostgres) {
	t.Helper()
	upstream := currantloom.NewPostgresUpstream("a", "db", "192.0.2.1:1", currantloom.Location{})
	n := New(Config{
		Reducer: loomcore.Config{Self: "vm-1", Databases: []currantloom.Database{
			currantloom.NewDatabase("db", 2, 16, []currantloom.PostgresUpstream{upstream}),
		}},
		ClientListener: listen(t), LinkListener: listen(t), VMs: noVMs{}, Control: control,
		ShutdownDelay: time.Millisecond, LogOutput: logOutput,
	})
	postgres := &fakePostgres{}
	n.pools["a"] = postgres
	return n, postgres
}

// decisionCount is more than the log's queue holds.
const decisionCount = 20_000

// TestEffects guards against effects that are lost, that wait forever, or that block the reducer, with an upstream that
// does not respond to polls and more decisions than the log can queue.
func TestEffects(t *testing.T) {
	var logOutput bytes.Buffer
	control := &fakeControl{}
	n, postgres := newNode(t, &logOutput, control)
	go func() { _ = n.Run(context.Background()) }()
	start := time.Now()
	n.mu.Lock()
	for _, e := range []loomcore.Effect{
		loomcore.RaiseTerm{Upstream: "a", Term: 3}, loomcore.PushRules{}, loomcore.PullRules{VM: "vm-2"},
		loomcore.WatchRules{Enabled: true}, loomcore.SetReady{Ready: false}, loomcore.ConfirmPosition{Upstream: "a"},
		loomcore.Decision{Event: "promote", Term: 3, Reason: "test"}, loomcore.Promote{Upstream: "absent"},
		loomcore.PurgeRequestIDs{Upstream: "a", OlderThan: time.Hour}, loomcore.PurgeRequestIDs{Upstream: "absent"},
		loomcore.Forward{}, loomcore.CancelForward{}, loomcore.CancelRun{}, loomcore.Complete{},
	} {
		n.executeEffect(e)
	}
	for range decisionCount {
		n.executeEffect(loomcore.Decision{Event: "many"})
	}
	n.executeEffect(loomcore.Promote{Upstream: "a", Term: 3})
	n.executeEffect(loomcore.Follow{Upstream: "a", Term: 3, Primary: "a"})
	n.mu.Unlock()
	if elapsed := time.Since(start); elapsed > controlCallTimeout {
		t.Errorf("effects blocked the reducer for %s", elapsed)
	}
	time.Sleep(controlCallTimeout + 100*time.Millisecond)
	if err := n.Close(); err != nil {
		t.Error(err)
	}
	for _, want := range []string{
		"purge 1h0m0s", "raise 3 vm-1", "promote 3", "follow 3 192.0.2.1:1", "status context deadline exceeded",
	} {
		if got := postgres.recordedCalls(); !strings.Contains(got, want) {
			t.Errorf("got calls %q, want %q among them", got, want)
		}
	}
	if got, want := control.recordedCalls(), "send 0; request vm-2; watch true"; got != want {
		t.Errorf("got control effects %q, want %q", got, want)
	}
	if n.Ready() {
		t.Error("the node is ready, want not ready")
	}
	if !strings.Contains(logOutput.String(), "msg=promote term=3 reason=test\n") {
		t.Error("the log has no line with the fields of the decision that are not empty")
	}
}

// TestCancelledBeforeSending guards against losing a cancel that comes before the request has a link, or before the
// attempt has a connection.
func TestCancelledBeforeSending(t *testing.T) {
	n, _ := newNode(t, io.Discard, nil)
	defer func() {
		_ = n.config.ClientListener.Close()
		_ = n.config.LinkListener.Close()
	}()
	request := &entryRequest{mailbox: newMailbox()}
	key := n.NextRequestKey()
	n.mu.Lock()
	n.requests[key] = request
	n.cancelForward(key)
	n.mu.Unlock()
	if n.setLink(request, &localLink{node: n}) {
		t.Error("a cancelled request was given a link")
	}
	attempt := &localAttempt{mailbox: newMailbox(), abort: func() {}}
	attempt.cancel()
	link := &localLink{node: n}
	got := link.runOnUpstream(t.Context(), attempt, loomcore.Run{Upstream: "a"}, currantloom.RequestHeader{}, nil, nil)
	if got.Verdict != currantloom.NotRun || got.Code != currantloom.SQLStateQueryCanceled {
		t.Errorf("got %+v, want verdict not_run with SQLSTATE 57014", got)
	}
}

// fakeConn counts its releases.
type fakeConn struct{ released int }

func (c *fakeConn) Run(
	context.Context, currantloom.PostgresRequest, currantloom.ResponseWriter,
) currantloom.PostgresResult {
	return currantloom.PostgresResult{}
}
func (c *fakeConn) Cancel(context.Context) error { return nil }
func (c *fakeConn) Release()                     { c.released++ }

// TestCloseConnection guards against a request that runs outside its transaction after the reducer has closed the idle
// transaction's connection, both for an idle link and for one whose request is about to run.
func TestCloseConnection(t *testing.T) {
	n, _ := newNode(t, io.Discard, nil)
	defer func() {
		_ = n.config.ClientListener.Close()
		_ = n.config.LinkListener.Close()
	}()
	for name, busy := range map[string]bool{"idle": false, "about to run": true} {
		t.Run(name, func(t *testing.T) {
			conn := &fakeConn{}
			key := n.NextRequestKey()
			link := &localLink{node: n, conn: conn, transaction: key}
			if busy {
				link.begin()
			}
			link.closeConnection(loomcore.CloseConnection{Transaction: n.NextRequestKey()})
			link.closeConnection(loomcore.CloseConnection{Transaction: key, SQLState: currantloom.SQLStateIdleInTransaction})
			if busy {
				if conn.released != 0 {
					t.Error("the connection was closed while a request held it")
				}
				link.end()
			}
			got := link.Run(t.Context(), currantloom.RequestHeader{Key: n.NextRequestKey()}, nil, nil)
			if got.Verdict != currantloom.NotRun || got.SQLState != currantloom.SQLStateIdleInTransaction || conn.released != 1 {
				t.Errorf("got %+v and %d releases, want not run, 25P03 and one release", got, conn.released)
			}
		})
	}
}
