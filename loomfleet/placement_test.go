package loomfleet

import (
	"testing"

	"currantloom.example/currantloom"
)

// firstChoiceOf returns an upstream whose first choice as carrier is the VM.
func (f *fixture) firstChoiceOf(vm currantloom.VMName) *upstream {
	f.Helper()
	for _, u := range f.state.groupOf(testService).upstreams {
		if f.state.ownerCandidates(u)[0] == vm {
			return u
		}
	}
	f.Fatalf("%s is the first choice for no upstream", vm)
	return nil
}

func (f *fixture) assertCarrier(u *upstream, want currantloom.VMName) {
	f.Helper()
	if got, _ := f.state.ownerOf(u); got != want {
		f.Errorf("carrier of %s is %q, want %q", u.Name, got, want)
	}
}

// TestIntroduction guards against a fleet after a power loss in which each node carries every upstream itself, because
// no other one has answered yet.
func TestIntroduction(t *testing.T) {
	newFleet := func(t *testing.T) (*fixture, *upstream) {
		f := newFixture(t)
		f.configure(currantloom.ReadLatest)
		f.join("vm-2")
		u := f.firstChoiceOf("vm-2")
		f.wait(pingInterval)
		f.assertCarrier(u, "")
		return f, u
	}
	t.Run("answer", func(t *testing.T) {
		f, u := newFleet(t)
		f.answerPings()
		f.assertCarrier(u, "vm-2")
	})
	t.Run("no answer", func(t *testing.T) {
		f, u := newFleet(t)
		f.wait(firstPongTimeout)
		f.assertCarrier(u, testSelf)
	})
}
