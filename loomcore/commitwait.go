package loomcore

import (
	"time"

	"currantloom.example/currantloom"
)

const (
	// A new round trip changes the moving average by 1/roundTripSmoothing of the difference.
	roundTripSmoothing = 8
	// maxSlotFactor bounds the number of short requests that run at a time to this many times the slots.
	maxSlotFactor = 4
)

// commitWaitEstimate estimates how long a primary waits for a replica before it reports a commit. A statement that
// waits uses no capacity of the upstream. If only a replica behind a link of 30 ms is left and statements kept their
// slots during the wait, most of the capacity would stay unused.
type commitWaitEstimate struct {
	roundTrips map[currantloom.UpstreamName]time.Duration
}

// observe adds the round trip of a poll to the moving average of the upstream.
func (c *commitWaitEstimate) observe(upstream currantloom.UpstreamName, roundTrip time.Duration) {
	if c.roundTrips == nil {
		c.roundTrips = make(map[currantloom.UpstreamName]time.Duration)
	}
	average, ok := c.roundTrips[upstream]
	if !ok {
		average = roundTrip
	}
	c.roundTrips[upstream] = average + (roundTrip-average)/roundTripSmoothing
}

// commitWaitOf returns the round trip to the nearest replica that answers. The owner is near the primary, so the round
// trips of its polls approximate those of the primary.
func (s *State) commitWaitOf(g *group) time.Duration {
	if g.view == nil {
		return 0
	}
	least := time.Duration(0)
	for _, upstream := range g.database.Upstreams() {
		name := upstream.Name()
		if name == g.primary || !g.view.upstreams[name].reachable(s.now) {
			continue
		}
		if t := s.owner.commitWait.roundTrips[name]; least == 0 || t < least {
			least = t
		}
	}
	return least
}

// commitWaitSlots returns how many more short requests than slots may run at a time, because some of them wait for a
// replica.
func (s *State) commitWaitSlots(q *queue) int {
	if q.upstream != q.group.primary || q.confirmedRunTime == 0 {
		return 0
	}
	slots := time.Duration(q.group.database.Slots())
	busy := max(q.confirmedRunTime-s.commitWaitOf(q.group), q.confirmedRunTime/maxSlotFactor, 1)
	return int(slots*q.confirmedRunTime/busy - slots)
}

// observeConfirmedRunTime adds the run time of a short request whose result the primary reported after a replica held
// its log position.
func (q *queue) observeConfirmedRunTime(took time.Duration) {
	if q.confirmedRunTime == 0 {
		q.confirmedRunTime = took
	}
	q.confirmedRunTime += (took - q.confirmedRunTime) / runTimeSmoothing
}
