package loomfleet

import (
	"time"

	"currantloom.example/currantloom"
)

// lagLogInterval is the minimum time between two log lines on the lag of a service.
const lagLogInterval = time.Second

// lagStats counts the reads of a service that a replica could not serve because its log was too far behind. The log
// line explains why the primary has to serve all reads.
type lagStats struct {
	count    int
	upstream *upstream
	// required is the position that the last of these reads had to see.
	required sample
	loggedAt time.Duration
}

// recordRejectedRead counts a read that the replica refused, or that was not sent to the replica because of its lag.
func (l *lagStats) recordRejectedRead(u *upstream, required sample) {
	l.count++
	l.upstream, l.required = u, required
}

// logDue logs and resets the count if lagLogInterval has passed.
func (l *lagStats) logDue(s *State, service currantloom.ServiceName) {
	if l.count == 0 || l.loggedAt > 0 && s.now-l.loggedAt < lagLogInterval {
		return
	}
	d := Decision{
		Event: "lag", Service: service, Upstream: l.upstream.Name, Position: l.required.position, Count: l.count,
		Reason: "replica log ends at " + l.upstream.position.String(), Outcome: "reads turned away",
	}
	if l.required.takenAt > 0 {
		d.PositionAge = s.now - l.required.takenAt
	}
	s.log(d)
	*l = lagStats{loggedAt: max(s.now, 1)}
}
