package loomfleet

import (
	"testing"
	"time"

	"currantloom.example/currantloom"
)

// TestCommitsOfMovedRoute guards against reads that are refused for as long as the session lasts because its route got
// another service, whose log never reaches the position of a commit at the first one; and against reads that miss the
// session's own commit once the route is back.
func TestCommitsOfMovedRoute(t *testing.T) {
	first, second := &group{name: "first"}, &group{name: "second"}
	at := func(index currantloom.LogIndex) sample {
		return sample{position: currantloom.NewLogPosition(1, index), takenAt: time.Second}
	}
	r := &request{session: &session{}, route: currantloom.Route{ReadPolicy: currantloom.ReadYourWrites}}
	assertOwn := func(g *group, want sample) {
		t.Helper()
		if r.group = g; r.ownCommit() != want {
			t.Errorf("reads of the %s service must see %v, want %v", g.name, r.ownCommit(), want)
		}
	}
	r.session.recordCommit(first, at(90))
	assertOwn(second, sample{})
	r.session.recordCommit(second, at(7))
	assertOwn(second, at(7))
	assertOwn(first, at(90))
	r.session.recordCommit(first, at(80))
	assertOwn(first, at(90))
}
