package loomcore

import "currantloom.example/currantloom"

// load counts the work at a server. Requests between the statements of a transaction are not known to it.
type load struct {
	running int
	// lasting counts the running work that a planned change waits for before it holds writes: long work and
	// interactive transactions.
	lasting int
}

// loadOf counts the running work at the server.
func (s *State) loadOf(server currantloom.ServerName) load {
	var l load
	for _, w := range s.carrier.works {
		if !w.running || w.header.Server != server {
			continue
		}
		l.running++
		if w.pinned || w.header.Begins || w.header.Class == currantloom.Long {
			l.lasting++
		}
	}
	return l
}
