package loomfleet

import (
	"testing"
	"time"

	"currantloom.example/currantloom"
)

// TestStartupWithoutConfiguration guards against a node that tells clients that their database does not exist, because
// it has not read the configuration yet.
func TestStartupWithoutConfiguration(t *testing.T) {
	t.Run("answered once the configuration is known", func(t *testing.T) {
		f := newFixture(t)
		f.openSession(1)
		if got := f.repliesTo(1); len(got) != 0 {
			t.Fatalf("answered without a configuration: %+v", got)
		}
		f.configure(currantloom.ReadLatest)
		f.assertReply(1, currantloom.ReplyOK)
	})
	t.Run("refused after the maximum wait", func(t *testing.T) {
		f := newFixture(t)
		f.openSession(1)
		f.wait(maxStartupWait + 2*TickInterval)
		f.assertReply(1, currantloom.ReplyBusy)
	})
	t.Run("unknown database", func(t *testing.T) {
		f := newFixture(t)
		f.configure(currantloom.ReadLatest)
		f.reduce(SessionOpened{Stamp: f.stamp(), Session: 1, Startup: currantloom.Startup{Database: "other"}})
		f.assertReply(1, currantloom.ReplyNoDatabase)
	})
}

// TestStatementOfClosedSession guards against a statement that gets no answer because its session was closed between
// reading the statement and handling it.
func TestStatementOfClosedSession(t *testing.T) {
	f := newFixture(t)
	f.configure(currantloom.ReadLatest)
	f.openSession(1)
	f.reduce(ShutdownRequested{Stamp: f.stamp()})
	f.wait(loadBalancerDelay + 2*time.Second)
	f.reduce(StatementReceived{Stamp: f.stamp(), Session: 1, Statement: currantloom.Statement{
		ID: "s1", Kind: currantloom.StatementRead, Text: "READ 1",
	}})
	f.assertReply(1, currantloom.ReplyBusy)
}

// TestReadOnlyCommit guards against taking a replica for the primary because a read-only transaction was committed
// there: its position, which may be old, would be recorded as a sample of the primary.
func TestReadOnlyCommit(t *testing.T) {
	f := newFixture(t)
	f.configure(currantloom.ReadBoundedStaleness)
	s := f.state
	g := s.catalog.groups[testService]
	for _, c := range []struct {
		name  string
		wrote bool
		want  int
	}{{"read only", false, 0}, {"wrote", true, 1}} {
		t.Run(c.name, func(t *testing.T) {
			p := s.poolOf(s.catalog.upstreams["b"])
			key := s.nextKey()
			cn := &conn{id: 1, pool: p, state: connOpen, transaction: key, hasWritten: c.wrote}
			j := &job{pool: p, conn: cn, sent: true, link: 1, call: currantloom.Call{
				Key: s.nextKey(), Mode: currantloom.CallInTransaction, Command: currantloom.Command{Commits: true},
			}}
			cn.job, s.owner.pinned[key] = j, cn
			s.handleCommandReply(cn, currantloom.Reply{
				TransactionStatus: currantloom.TransactionIdle, Position: currantloom.NewLogPosition(1, 5),
			})
			if len(g.samples) != c.want {
				t.Errorf("%d samples were recorded, want %d", len(g.samples), c.want)
			}
		})
	}
}

// TestRouteChange guards against a session that keeps using a removed route, or loses its route within a transaction.
func TestRouteChange(t *testing.T) {
	f := newFixture(t)
	f.configure(currantloom.ReadLatest)
	f.openSession(1)
	f.openSession(2)
	begin := currantloom.Statement{ID: "b", Kind: currantloom.StatementBegin, Text: "BEGIN"}
	read := currantloom.Statement{ID: "r", Kind: currantloom.StatementRead, Text: "READ 1"}
	f.reduce(StatementReceived{Stamp: f.stamp(), Session: 2, Statement: begin})
	f.assertReply(2, currantloom.ReplyOK)
	next := testConfiguration(2, currantloom.ReadLatest)
	next.Routes = nil
	f.reduce(CatalogChanged{Stamp: f.stamp(), Configuration: next})
	f.reduce(CatalogChanged{Stamp: f.stamp(), Configuration: testConfiguration(1, currantloom.ReadLatest)})
	f.reduce(StatementReceived{Stamp: f.stamp(), Session: 1, Statement: read})
	f.assertReply(1, currantloom.ReplyNoDatabase)
	f.reduce(StatementReceived{Stamp: f.stamp(), Session: 2, Statement: read})
	if got := f.repliesTo(2); len(got) != 0 {
		t.Errorf("the statement was answered %+v, want it sent to an upstream", got)
	}
}
