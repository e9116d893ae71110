package loomfleet

import (
	"testing"

	"currantloom.example/currantloom"
)

// upstreamPreferring returns an upstream whose preferred owner is the VM.
func (f *fixture) upstreamPreferring(vm currantloom.VMName) *upstream {
	f.Helper()
	for _, u := range f.state.groupOf(testService).upstreams {
		if f.state.ownerCandidates(u)[0] == vm {
			return u
		}
	}
	f.Fatalf("%s is the preferred owner of no upstream", vm)
	return nil
}

func (f *fixture) assertOwner(u *upstream, want currantloom.VMName) {
	f.Helper()
	if got, _ := f.state.ownerOf(u); got != want {
		f.Errorf("owner of %s is %q, want %q", u.Name, got, want)
	}
}

// TestFirstPong guards against a node that owns every upstream itself because no other node has answered yet. After a
// power loss of the fleet, every node would do so.
func TestFirstPong(t *testing.T) {
	newFleet := func(t *testing.T) (*fixture, *upstream) {
		f := newFixture(t)
		f.configure(currantloom.ReadLatest)
		f.addMember("vm-2")
		u := f.upstreamPreferring("vm-2")
		f.wait(pingInterval)
		f.assertOwner(u, "")
		return f, u
	}
	t.Run("answer", func(t *testing.T) {
		f, u := newFleet(t)
		f.answerPings()
		f.assertOwner(u, "vm-2")
	})
	t.Run("no answer", func(t *testing.T) {
		f, u := newFleet(t)
		f.wait(firstPongTimeout)
		f.assertOwner(u, testSelf)
	})
}
