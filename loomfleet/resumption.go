package loomfleet

import (
	"time"

	"currantloom.example/currantloom"
)

const (
	// lateCommandTime is how long a replication command without an answer may take to be carried out.
	lateCommandTime = lateRequestTime
	// maxDoubtWait bounds how long a failover waits for replicas that may still resume; haltConfirmTime is how long the
	// log of such a replica has to stay as it is after that.
	maxDoubtWait    = 2500 * time.Millisecond
	haltConfirmTime = 400 * time.Millisecond
)

// resumptions records which upstreams may still carry out a resumption. It has no term, so it also ends a pause that
// was carried out before it. The zero value holds none.
type resumptions struct {
	sent map[currantloom.UpstreamName]resumption
}

// resumption is what is known of the resumptions that were sent to the process of an upstream.
type resumption struct {
	incarnation int64
	pending     int
	// doubtfulUntil is when those without an answer have been carried out or never will be.
	doubtfulUntil time.Duration
}

func (r *resumptions) recordSent(u currantloom.Upstream) {
	if r.sent == nil {
		r.sent = make(map[currantloom.UpstreamName]resumption)
	}
	known := r.sent[u.Name]
	if known.incarnation != u.Incarnation {
		known = resumption{incarnation: u.Incarnation}
	}
	known.pending++
	r.sent[u.Name] = known
}

// recordResult records the result of a resumption that was sent to a process of the upstream.
func (r *resumptions) recordResult(u currantloom.Upstream, verdict currantloom.Verdict, now time.Duration) {
	known, ok := r.sent[u.Name]
	if !ok || known.incarnation != u.Incarnation {
		return
	}
	known.pending--
	if verdict == currantloom.MayHaveRun {
		known.doubtfulUntil = now + lateCommandTime
	}
	r.sent[u.Name] = known
	if !r.isDoubtful(u, now) {
		delete(r.sent, u.Name)
	}
}

// isDoubtful reports whether the upstream's process may still carry out a resumption.
func (r *resumptions) isDoubtful(u currantloom.Upstream, now time.Duration) bool {
	known, ok := r.sent[u.Name]
	return ok && known.incarnation == u.Incarnation && (known.pending > 0 || now < known.doubtfulUntil)
}

// judgedCase returns what the promotion of a candidate is judged against, with the upstreams that may still resume.
func (s *State) judgedCase(f *failover) promotionCase {
	c := s.promotionCase(f)
	c.acceptsDoubt = s.now-f.startedAt > maxDoubtWait
	for _, u := range f.group.upstreams {
		if f.group.resumptions.isDoubtful(u.Upstream, s.now) {
			c.doubtful = append(c.doubtful, u.Name)
		}
	}
	return c
}
