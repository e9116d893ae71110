package loomcore

import (
	"time"

	"currantloom.example/currantloom"
)

const (
	// roundTripWeight is the part of a new round trip in the moving average: one in roundTripWeight.
	roundTripWeight = 8
	// maxSlotFactor bounds the short work that runs at a time to this many times the slots.
	maxSlotFactor = 4
)

// commitWait estimates how long a primary waits for a replica before it reports a commit. A statement that waits uses
// no capacity of the server. With only the replica behind a link of 30 ms left, statements that keep their slots for
// the wait would leave most of the capacity unused.
type commitWait struct {
	roundTrips map[currantloom.UpstreamName]time.Duration
}

// observe adds the round trip of a poll to the moving average of the server.
func (c *commitWait) observe(server currantloom.UpstreamName, roundTrip time.Duration) {
	if c.roundTrips == nil {
		c.roundTrips = make(map[currantloom.UpstreamName]time.Duration)
	}
	average, ok := c.roundTrips[server]
	if !ok {
		average = roundTrip
	}
	c.roundTrips[server] = average + (roundTrip-average)/roundTripWeight
}

// commitWaitOf returns the round trip to the nearest replica that answers. The carrier is near its server, so the round
// trips of its polls stand for those of the server.
func (s *State) commitWaitOf(g *group) time.Duration {
	if g.view == nil {
		return 0
	}
	least := time.Duration(0)
	for _, server := range g.database.Upstreams() {
		name := server.Name()
		if name == g.primary || !g.view.members[name].reachable(s.now) {
			continue
		}
		if t := s.carrier.commitWait.roundTrips[name]; least == 0 || t < least {
			least = t
		}
	}
	return least
}

// waitingSlots returns how much more short work than slots may run at a time, because some of it waits for a replica.
func (s *State) waitingSlots(q *queue) int {
	if q.server != q.group.primary || q.confirmedRun == 0 {
		return 0
	}
	slots := time.Duration(q.group.database.Slots())
	busy := max(q.confirmedRun-s.commitWaitOf(q.group), q.confirmedRun/maxSlotFactor, 1)
	return int(slots*q.confirmedRun/busy - slots)
}

// observeConfirmed adds the run time of short work that the primary reported after a replica held its mark.
func (q *queue) observeConfirmed(took time.Duration) {
	if q.confirmedRun == 0 {
		q.confirmedRun = took
	}
	q.confirmedRun += (took - q.confirmedRun) / historyWeight
}
