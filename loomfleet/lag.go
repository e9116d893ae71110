package loomfleet

import (
	"time"

	"currantloom.example/currantloom"
)

// lagLogInterval is the least time between two lines on the lag of a service.
const lagLogInterval = time.Second

// lagStats counts the reads of a service that a replica could not serve, because its log lacks what they have to see. It
// explains a primary that has to serve all reads.
type lagStats struct {
	count    int
	upstream *upstream
	// required is the mark that the last read had to see.
	required sample
	loggedAt time.Duration
}

// recordRejectedRead notes a read that the replica refused or was passed over for.
func (l *lagStats) recordRejectedRead(u *upstream, needed sample) {
	l.count++
	l.upstream, l.required = u, needed
}

// logDue logs what was counted.
func (l *lagStats) logDue(s *State, service currantloom.ServiceName) {
	if l.count == 0 || l.loggedAt > 0 && s.now-l.loggedAt < lagLogInterval {
		return
	}
	d := Decision{
		Event: "lag", Service: service, Upstream: l.upstream.Name, Position: l.required.position, Count: l.count,
		Reason: "stands at " + l.upstream.position.String(), Outcome: "reads turned away",
	}
	if l.required.takenAt > 0 {
		d.PositionAge = s.now - l.required.takenAt
	}
	s.log(d)
	*l = lagStats{loggedAt: max(s.now, 1)}
}
