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
