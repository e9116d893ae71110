package loommodel

import (
	"time"

	"currantloom.example/currantloom"
)

// Bounds of the time after which a delayed replication command is carried out.
const (
	minCommandDelay = 2 * time.Second
	maxCommandDelay = 12 * time.Second
)

// DelayCommands makes the given percentage of an upstream's replication commands take effect 2 to 12 s later and get no
// reply.
func (sim *Simulation) DelayCommands(name string, percent int) {
	sim.upstream(name).delayedCommandPercent = percent
}

// runReplicationCommand carries out a replication command, now or late. A late one is dropped with its process.
func (u *upstream) runReplicationCommand(conn *upstreamConn, c currantloom.Command, done func(currantloom.Reply)) {
	if u.delayedCommandPercent == 0 || u.sim.random.IntN(100) >= u.delayedCommandPercent {
		done(u.replicationCommand(c))
		return
	}
	conn.repliesLost = true
	generation := u.generation
	u.sim.after(minCommandDelay+u.sim.randomDuration(maxCommandDelay-minCommandDelay), func() {
		if u.generation == generation {
			u.replicationCommand(c)
		}
	})
}
