package loomfleet

import (
	"time"

	"currantloom.example/currantloom"
)

const (
	// drainMargin is subtracted from the drain timeout.
	drainMargin = time.Second
	// drainAgeWait is how long a primary that was found draining gets no new work while no node has told since when it
	// drains: within that time every node that answers has done so.
	drainAgeWait = suspectAfter
)

// drain says since when an upstream drains. A store that accepts the report of the upstream doesn't say when it did so,
// thus the earliest time at which a node knew counts.
type drain struct {
	// since is the earliest known time; zero if the upstream does not drain. It may be before the start of the process.
	since time.Duration
	// seenAt is when this node saw the upstream begin to drain; zero if it only found it draining. Only this time is told
	// to other nodes: one that is passed on would grow by the time of each message.
	seenAt time.Duration
	// foundAt is when this node found the upstream draining without knowing since when; zero if it knows.
	foundAt time.Duration
}

// begin records that the upstream drains. found says that the node did not know the upstream before.
func (d *drain) begin(now time.Duration, found bool) {
	now = max(now, 1)
	*d = drain{since: now}
	if found {
		d.foundAt = now
	} else {
		d.seenAt = now
	}
}

// recordReport records that a node has known of the drain since then.
func (d *drain) recordReport(since time.Duration) {
	if !d.isOn() {
		return
	}
	d.foundAt = 0
	d.since = min(d.since, since)
	if d.since == 0 {
		d.since = -1
	}
}

// isOn reports whether the upstream drains.
func (d *drain) isOn() bool { return d.since != 0 }

// isDrained reports whether the upstream drains and may not get new work any more. A process that finds an upstream
// draining gives it no new work until a node has told since when, because others can serve; only the primary, which
// nobody replaces without a successor, then gets work as if the drain had been found at its beginning.
func (u *upstream) isDrained(s *State) bool {
	d := &u.drain
	switch {
	case !d.isOn():
		return false
	case d.foundAt > 0 && (!u.leads() || s.now-d.foundAt < drainAgeWait):
		return true
	default:
		return s.now-d.since >= s.config.DrainTimeout-drainMargin
	}
}

// leads reports whether the upstream is the believed primary or reports itself as one.
func (u *upstream) leads() bool { return u.Primary || u.Name == u.group.primary }

// drainsSeen returns the drains that this node has seen begin.
func (s *State) drainsSeen() []currantloom.UpstreamDrain {
	var drains []currantloom.UpstreamDrain
	for _, g := range s.catalog.sortedGroups {
		for _, u := range g.upstreams {
			if u.drain.seenAt > 0 && u.deletedAt == 0 {
				drains = append(drains, currantloom.UpstreamDrain{
					Upstream: u.Name, Incarnation: u.Incarnation, Age: s.now - u.drain.seenAt,
				})
			}
		}
	}
	return drains
}

// recordDrain records since when another node has known of a drain. Its age is subtracted from the time at which the
// question was sent, so the drain counts from no later than that.
func (s *State) recordDrain(told currantloom.UpstreamDrain, askedAt time.Duration) {
	u, ok := s.catalog.upstreams[told.Upstream]
	if ok && u.Incarnation == told.Incarnation {
		u.drain.recordReport(askedAt - told.Age)
	}
}

// opensWork reports whether the call is new work for the upstream: not a statement of an open transaction, and not a
// verification or a command of a failover.
func opensWork(mode currantloom.CallMode) bool {
	return mode < currantloom.CallVerifyPrimary && mode != currantloom.CallInTransaction
}

// opensWork reports whether the queued job is new work for its upstream.
func (j *job) opensWork() bool { return j.conn == nil && opensWork(j.call.Mode) }
