package loomfleet

import (
	"slices"
	"testing"
	"time"

	"currantloom.example/currantloom"
)

// stopWith stops a node that has a session with a statement under way, and waits.
func stopWith(t *testing.T, kind currantloom.StatementKind, wait time.Duration) *fixture {
	t.Helper()
	f := newFixture(t)
	f.configure(currantloom.ReadLatest)
	f.state.config.GracePeriod = 6 * time.Second
	f.reduce(ShutdownRequested{Stamp: f.stamp()})
	f.wait(loadBalancerDelay - 2*TickInterval)
	f.openSession(1)
	f.reduce(StatementReceived{Stamp: f.stamp(), Session: 1, Statement: currantloom.Statement{
		ID: "s1", Kind: kind, Text: "1",
	}})
	r := f.state.sessions[1].request
	r.route.Timeout = time.Minute
	r.arrivedAt = f.now + time.Minute // it is never given up for its age
	f.wait(wait)
	return f
}

func (f *fixture) indexOf(match func(Effect) bool) int { return slices.IndexFunc(f.effects, match) }

func isAnswer(e Effect) bool  { _, ok := e.(ReplyToSession); return ok }
func isClose(e Effect) bool   { _, ok := e.(CloseSession); return ok }
func isStopped(e Effect) bool { _, ok := e.(ShutdownFinished); return ok }

// TestStopAnswers guards against a connection that ends without an answer, because the statement took longer than the
// process may live.
func TestStopAnswers(t *testing.T) {
	f := stopWith(t, currantloom.StatementWrite, 6*time.Second)
	answered, stopped := f.indexOf(isAnswer), f.indexOf(isStopped)
	if answered < 0 || stopped < 0 || answered > stopped {
		t.Errorf("answer at effect %d, stop at %d; want the answer before the stop", answered, stopped)
	}
}

// TestStopClosesAnswered guards against a client that goes on using its session until the process is gone, because it
// sends its next statement right after each answer.
func TestStopClosesAnswered(t *testing.T) {
	f := stopWith(t, currantloom.StatementWrite, 4*TickInterval)
	f.state.deferCall(func() { f.state.finish(f.state.sessions[1].request, currantloom.Reply{}, nil) })
	f.reduce(Tick{Stamp: f.stamp()})
	answered, closed := f.indexOf(isAnswer), f.indexOf(isClose)
	if answered < 0 || closed < answered {
		t.Errorf("answer at effect %d, close at %d; want the close right behind the answer", answered, closed)
	}
}

// TestReplyAtEnd guards against a statement that is said not to have run although it may have.
func TestReplyAtEnd(t *testing.T) {
	under := []*call{{}}
	for _, c := range []struct {
		name    string
		request request
		want    currantloom.ReplyCode
	}{
		{"read under way", request{purpose: purposeRead, calls: under}, currantloom.ReplyBusy},
		{"write that waits", request{purpose: purposeWrite}, currantloom.ReplyBusy},
		{"write under way", request{purpose: purposeWrite, calls: under}, currantloom.ReplyInDoubt},
		{"commit under way", request{purpose: purposeCommit, calls: under}, currantloom.ReplyInDoubt},
		{"statement of a transaction", request{purpose: purposeInTransaction, calls: under}, currantloom.ReplyAborted},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.request.shutdownReply().Code; got != c.want {
				t.Errorf("%s, want %s", got, c.want)
			}
		})
	}
}
