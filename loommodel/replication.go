package loommodel

import "time"

// pushInterval is how often a primary sends its log again.
const pushInterval = 100 * time.Millisecond

// append adds an entry to the primary's log and sends it to the replicas.
func (s *server) append(e *entry) {
	e.term, e.number = s.term, s.log[len(s.log)-1].number+1
	s.world.oracle.appended(s, e)
	s.log = append(s.log, e)
	s.applied = len(s.log)
	s.push()
	s.pushLater(s.run, len(s.log))
}

// pushLater repeats the log until a replica has it.
func (s *server) pushLater(run, length int) {
	s.world.after(pushInterval, func() {
		if s.run != run || !s.primary || !s.alive || len(s.log) < length || s.log[length-1].waiting == nil {
			return
		}
		s.push()
		s.pushLater(run, length)
	})
}

// push sends the log to every replica that it reaches.
func (s *server) push() {
	length := len(s.log)
	for _, r := range s.group.servers {
		if r == s || !s.world.reaches(s.name, r.name) || !s.serves() {
			continue
		}
		term := s.term
		s.world.after(s.world.delay(s.name, r.name), func() {
			if !r.receive(s, term, length) || !s.world.reaches(r.name, s.name) {
				return
			}
			s.world.after(s.world.delay(r.name, s.name), func() { s.confirmed(term, length) })
		})
	}
}

// receive takes over the primary's log up to the length, as far as this replica receives.
func (s *server) receive(from *server, term uint64, length int) bool {
	if !s.serves() || s.paused || s.deaf || s.primary {
		return false
	}
	if term < s.group.term || from.term != term || length > len(from.log) {
		return false
	}
	s.term = term
	common := 0
	for common < min(len(s.log), length) && s.log[common] == from.log[common] {
		common++
	}
	if common < len(s.log) && len(s.log) > length && common == length {
		return true
	}
	s.log = append(s.log[:common:common], from.log[common:length]...)
	s.applied = min(s.applied, max(common, 1))
	s.applyLater(length)
	return true
}

func (s *server) applyLater(length int) {
	lag := s.world.options.ReplicationLag
	if s.lagFactor > 0 {
		lag *= time.Duration(s.lagFactor)
	}
	d := lag/2 + time.Duration(s.world.random.Int64N(int64(lag)))
	s.world.after(d, func() {
		if !s.primary {
			s.applied = max(s.applied, min(length, len(s.log)))
		}
	})
}

// confirmed acknowledges the entries up to the length.
func (s *server) confirmed(term uint64, length int) {
	if !s.primary || s.term != term || !s.alive {
		return
	}
	for _, e := range s.log[:min(length, len(s.log))] {
		if e.waiting != nil {
			answer := e.waiting
			e.waiting = nil
			answer()
		}
	}
}

// lead makes the server the primary of the next term, with what it has received and nothing more.
func (s *server) lead() {
	if !s.alive || s.primary {
		return
	}
	for _, other := range s.group.servers {
		if other.primary {
			other.primary = false
			s.world.store.report(other)
		}
	}
	s.group.term++
	s.world.oracle.promoted(s)
	s.term, s.primary, s.paused, s.applied = s.group.term, true, false, len(s.log)
	for _, e := range s.log {
		e.waiting = nil
	}
	s.world.store.report(s)
	s.push()
}
