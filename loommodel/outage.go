package loommodel

import (
	"time"

	"currantloom.example/currantloom/loomfleet"
)

// Crash ends a server's process, or with dark leaves it without any answer. It comes back with its log.
func (w *World) Crash(name string, dark bool, down time.Duration) {
	s := w.server(name)
	if s == nil || !s.serves() {
		return
	}
	s.run++
	s.running, s.waiting = 0, nil
	if dark {
		s.dark = true
	} else {
		s.alive = false
		s.resetConns()
	}
	run := s.run
	w.after(entryLapse, func() {
		if s.run == run && !s.serves() {
			w.store.remove(s)
		}
	})
	w.after(down, func() { s.restart() })
}

func (s *server) resetConns() {
	for _, n := range s.world.nodes {
		for key := range s.conns {
			if key.node != n.name || key.run != n.run {
				continue
			}
			n.post(linkLoss, func() loomfleet.Event {
				return loomfleet.ConnLost{Stamp: n.stamp(), Conn: key.id}
			})
		}
	}
	clear(s.conns)
}

func (s *server) restart() {
	s.run++
	s.alive, s.dark, s.paused = true, false, false
	s.running, s.waiting = 0, nil
	s.resetConns()
	if s.primary && s.term < s.group.term {
		s.primary = false
	}
	s.world.store.report(s)
	if s.primary {
		s.push()
		return
	}
	for _, other := range s.group.servers {
		if other.primary {
			other.push()
		}
	}
}

// SlowReplication makes a replica apply slower by the factor, and deaf lets it receive nothing, both for a time.
func (w *World) SlowReplication(name string, factor int, deaf bool, d time.Duration) {
	s := w.server(name)
	s.lagFactor, s.deaf = factor, deaf
	w.after(d, func() { s.lagFactor, s.deaf = 0, false })
}

// LoseReplies lets a share of a server's answers get lost, and a share of its writes run late, in percent, for a time.
func (w *World) LoseReplies(name string, lost, late int, d time.Duration) {
	s := w.server(name)
	s.loseAnswers, s.late = lost, late
	w.after(d, func() { s.loseAnswers, s.late = 0, 0 })
}

// Drain announces that a server is about to end. Once it is no longer the primary it ends, and a new one takes its
// place with its log.
func (w *World) Drain(name string, after time.Duration) {
	s := w.server(name)
	if !s.serves() || s.draining {
		return
	}
	s.draining = true
	w.store.report(s)
	w.after(after, func() {
		s.draining = false
		s.born++
		w.Crash(name, false, time.Second)
	})
}
