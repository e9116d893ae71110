package loomfleet

import (
	"time"

	"currantloom.example/currantloom"
)

// lagInterval is the least time between two lines on the lag of a service.
const lagInterval = time.Second

// lag counts the reads of a service that a replica could not serve, because its log lacks what they have to see. It
// explains a primary that has to serve all reads.
type lag struct {
	count    int
	upstream *upstream
	// needed is the mark that the last read had to see.
	needed sample
	toldAt time.Duration
}

// turnedAway notes a read that the replica refused or was passed over for.
func (l *lag) turnedAway(u *upstream, needed sample) {
	l.count++
	l.upstream, l.needed = u, needed
}

// tell logs what was counted.
func (l *lag) tell(s *State, service currantloom.ServiceName) {
	if l.count == 0 || l.toldAt > 0 && s.now-l.toldAt < lagInterval {
		return
	}
	d := Decision{
		Event: "lag", Service: service, Upstream: l.upstream.Name, Position: l.needed.mark, Count: l.count,
		Reason: "stands at " + l.upstream.mark.String(), Outcome: "reads turned away",
	}
	if l.needed.takenAt > 0 {
		d.PositionAge = s.now - l.needed.takenAt
	}
	s.log(d)
	*l = lag{toldAt: max(s.now, 1)}
}
