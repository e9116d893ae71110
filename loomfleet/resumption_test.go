package loomfleet

import (
	"slices"
	"testing"
	"time"

	"currantloom.example/currantloom"
)

// resuming returns a node that holds the failover lease and has just told a replica to resume, and the key of the call.
func resuming(t *testing.T) (*fixture, *upstream, currantloom.RequestKey) {
	f := newFixture(t)
	f.now = time.Second
	f.configure(currantloom.ReadLatest)
	f.holdLease()
	u := f.state.catalog.upstreams["b"]
	f.state.effects = nil
	f.state.resumeReplica(u, 0)
	for key, c := range f.state.requests.calls {
		if c.mode == currantloom.CallFailover {
			return f, u, key
		}
	}
	t.Fatal("no call")
	return nil, nil, currantloom.RequestKey{}
}

// outcomes returns the outcomes of the last decisions on an event.
func (f *fixture) outcomes(event string) []string {
	var outcomes []string
	for _, e := range f.state.effects {
		if d, ok := e.(Decision); ok && d.Event == event {
			outcomes = append(outcomes, d.Outcome)
		}
	}
	return outcomes
}

// TestResumptionIsLogged guards against logs that do not tell whether a resumption
// let a replica receive during the next change of primary.
func TestResumptionIsLogged(t *testing.T) {
	for _, verdict := range []currantloom.Verdict{currantloom.Ran, currantloom.NotRun, currantloom.MayHaveRun} {
		t.Run(verdict.String(), func(t *testing.T) {
			f, _, key := resuming(t)
			f.state.handleCallResult(currantloom.CallResult{Key: key, Verdict: verdict})
			if got, want := f.outcomes("resume"), []string{"requested", verdict.String()}; !slices.Equal(got, want) {
				t.Errorf("outcomes %v, want %v", got, want)
			}
		})
	}
}

// TestResumptionInDoubt guards against a replica that counts as halted for good although a resumption without an answer
// may still let it receive, and against one that is held to be in doubt for longer than that.
func TestResumptionInDoubt(t *testing.T) {
	for _, c := range []struct {
		name              string
		results           []currantloom.Verdict
		sent              int
		after             time.Duration
		restarted, wanted bool
	}{
		{"no answer yet", nil, 1, time.Hour, false, true},
		{"answered", []currantloom.Verdict{currantloom.Ran}, 1, 0, false, false},
		{"not run", []currantloom.Verdict{currantloom.NotRun}, 1, 0, false, false},
		{"unanswered", []currantloom.Verdict{currantloom.MayHaveRun}, 1, lateCommandTime - 1, false, true},
		{"unanswered long ago", []currantloom.Verdict{currantloom.MayHaveRun}, 1, lateCommandTime, false, false},
		{"a later one answered", []currantloom.Verdict{currantloom.MayHaveRun, currantloom.Ran}, 2, 0, false, true},
		{"one of two answered", []currantloom.Verdict{currantloom.Ran}, 2, 0, false, true},
		{"unanswered, then restarted", []currantloom.Verdict{currantloom.MayHaveRun}, 1, 0, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var r resumptions
			u := currantloom.Upstream{Name: "b", Incarnation: 1}
			for range c.sent {
				r.recordSent(u)
			}
			for _, verdict := range c.results {
				r.recordResult(u, verdict, 0)
			}
			if c.restarted {
				u.Incarnation++
			}
			if got := r.isDoubtful(u, c.after); got != c.wanted {
				t.Errorf("in doubt: %t, want %t", got, c.wanted)
			}
		})
	}
}

// TestHaltInDoubt guards against the promotion of an upstream while another one may resume, and against a failover that
// waits for good for one whose log stays as it is.
func TestHaltInDoubt(t *testing.T) {
	b, other := currantloom.Upstream{Name: "b", Incarnation: 1}, currantloom.Upstream{Name: "c", Incarnation: 1}
	pause := currantloom.Command{Kind: currantloom.CommandPauseReplication, Term: 2}
	judge := func(acceptsDoubt bool, first, second currantloom.LogIndex) promotionBasis {
		var p promotionProof
		p.restart(1)
		answer := func(u currantloom.Upstream, index currantloom.LogIndex, at time.Duration) {
			received := currantloom.NewLogPosition(1, index)
			p.observe(u, pause, currantloom.ReplicationStatus{Term: 1, Held: 2, Received: received}, at)
		}
		answer(b, 9, 0)
		answer(other, first, 0)
		answer(other, second, haltConfirmTime)
		return p.judge(promotionCase{
			others: []currantloom.Upstream{b, other}, doubtful: []currantloom.UpstreamName{"b", "c"},
			acceptsDoubt: acceptsDoubt,
		}, b)
	}
	for _, c := range []struct {
		name          string
		accepts       bool
		first, second currantloom.LogIndex
		want          promotionBasis
	}{
		{"at first", false, 7, 7, basisMayResume},
		{"its log stays as it is", true, 7, 7, basisAllPaused},
		{"its log grows", true, 7, 8, basisMayResume},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := judge(c.accepts, c.first, c.second); got != c.want {
				t.Errorf("%q, want %q", got, c.want)
			}
		})
	}
}
