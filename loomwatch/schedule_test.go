package loomwatch_test

import (
	"testing"
	"time"

	"currantloom.example/currantloom/loomwatch"
)

// The times within which a platform promises that a configuration is in force: in small fleets, in which each node
// watches the store, and in large ones.
const (
	smallFleetTime = 4 * time.Second
	largeFleetTime = 6 * time.Second
)

// TestWorstAge guards against a constant that is made longer, so that a node that the store answers may miss a change
// for longer than the platform promises.
func TestWorstAge(t *testing.T) {
	for name, c := range map[string]struct {
		role loomwatch.Role
		want time.Duration
	}{
		"direct":   {loomwatch.Direct, smallFleetTime},
		"watcher":  {loomwatch.Watcher, smallFleetTime},
		"follower": {loomwatch.Follower, largeFleetTime},
	} {
		t.Run(name, func(t *testing.T) {
			if got := loomwatch.WorstAge(c.role); got > c.want {
				t.Errorf("a change is missed for up to %s, want at most %s", got, c.want)
			}
		})
	}
}

// start is when the follower of these tests has called the store.
const start = 10 * time.Second

// newFollower returns the schedule of a follower with a proof of its own.
func newFollower() *loomwatch.Schedule {
	s := loomwatch.New(100, 0)
	s.SetRole(loomwatch.Follower, 9)
	s.StartCall(start)
	s.CallSucceeded(start, start, false)
	return s
}

// assertNextCall checks when the next call is due.
func assertNextCall(t *testing.T, s *loomwatch.Schedule, earliest, latest time.Duration) {
	t.Helper()
	if got, ok := s.NextCall(); !ok || got < earliest || got > latest {
		t.Errorf("next call at %s (%t), want from %s to %s", got, ok, earliest, latest)
	}
}

// TestFollowerCalls guards against a follower that waits for its watchers although it has no recent proof, or that
// calls the store although it has one.
func TestFollowerCalls(t *testing.T) {
	t.Run("proofs of a watcher", func(t *testing.T) {
		s := newFollower()
		for at := start + time.Second; at < start+time.Minute; at += time.Second {
			number := s.StartRequest(at)
			if _, ok := s.ProofReceived(number, 1500*time.Millisecond); !ok && at > start+2*time.Second {
				t.Fatalf("no proof at %s", at)
			}
			if next, _ := s.NextCall(); at > start+2*time.Second && next < at+time.Second {
				t.Fatalf("a call is due at %s although there is a proof at %s", next, at)
			}
		}
	})
	t.Run("a watcher whose call hangs", func(t *testing.T) {
		s := newFollower()
		for at := start + time.Second; at < start+time.Minute; at += time.Second {
			s.ProofReceived(s.StartRequest(at), at-start)
		}
		assertNextCall(t, s, start, start+largeFleetTime)
	})
	t.Run("answers that are late", func(t *testing.T) {
		s := newFollower()
		number := s.StartRequest(start + time.Second)
		for at := start + 2*time.Second; at < start+largeFleetTime; at += time.Second {
			s.StartRequest(at)
		}
		s.ProofReceived(number, 0)
		assertNextCall(t, s, start, start+time.Second+loomwatch.WorstAge(loomwatch.Follower)-loomwatch.CallTimeout)
	})
	t.Run("missing changes", func(t *testing.T) {
		s := newFollower()
		s.ChangesMissing(start)
		assertNextCall(t, s, 0, start)
	})
	t.Run("strict revocation", func(t *testing.T) {
		s := loomwatch.New(1, 3*time.Second)
		s.SetRole(loomwatch.Follower, 9)
		s.ProofReceived(s.StartRequest(start), 0)
		assertNextCall(t, s, start, start+3*time.Second)
	})
}

// TestUnknownRequests guards against proofs that answer no request of this process, or one that is long past.
func TestUnknownRequests(t *testing.T) {
	s := loomwatch.New(100, 0)
	first := s.StartRequest(time.Second)
	for range 20 {
		s.StartRequest(time.Minute)
	}
	for _, number := range []uint64{0, 99, first, 100 + 21, 1 << 40} {
		if at, ok := s.ProofReceived(number, 0); ok {
			t.Errorf("request %d: proof at %s", number, at)
		}
	}
	if _, ok := s.ProofReceived(first+20, 0); !ok {
		t.Error("the answer to the last request is no proof")
	}
}
