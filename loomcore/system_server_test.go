package loomcore_test

import (
	"slices"
	"time"

	"currantloom.example/currantloom"
)

// logEntry is one committed write in the log of a modelled server.
type logEntry struct {
	term      currantloom.Term
	write     int
	requestID string
	at        time.Duration
}

// modelServer follows the assumptions D1 to D8 of the design page.
type modelServer struct {
	name     currantloom.UpstreamName
	role     currantloom.Role
	term     currantloom.Term
	granted  currantloom.Term
	proposer currantloom.VMName
	primary  currantloom.UpstreamName
	log      []logEntry
	heard    time.Duration
	lag      time.Duration
	dead     bool
	paused   bool
	side     int
	running  map[currantloom.RequestKey]bool
}

func (m *modelServer) mark() currantloom.LogPosition {
	if len(m.log) == 0 {
		return currantloom.LogPosition{}
	}
	return currantloom.NewLogPosition(m.log[len(m.log)-1].term, currantloom.LogIndex(len(m.log)))
}

func (m *modelServer) status(now time.Duration) currantloom.PostgresStatus {
	silence := now - m.heard
	if m.role == currantloom.RolePrimary {
		silence = 0
	}
	return currantloom.PostgresStatus{
		Role: m.role, Term: m.term, GrantedTerm: m.granted, Position: m.mark(), PrimarySilence: silence,
	}
}

func (m *modelServer) raise(term currantloom.Term, proposer currantloom.VMName) currantloom.TermGrant {
	repeated := term == m.granted && proposer == m.proposer
	if term > m.granted {
		m.granted, m.proposer, m.role = term, proposer, currantloom.RoleFenced
		repeated = true
	}
	return currantloom.TermGrant{Granted: repeated, HighestTerm: m.granted, Position: m.mark()}
}

// lead makes the server primary of a term it granted to the proposer. Its first entry in the term makes the entries of
// older terms final once a majority holds it.
func (m *modelServer) lead(term currantloom.Term, now time.Duration) bool {
	if m.role == currantloom.RolePrimary && m.term == term {
		return m.granted == term
	}
	if m.granted != term || m.term == term {
		return false
	}
	m.role, m.term = currantloom.RolePrimary, term
	m.log = append(slices.Clone(m.log), logEntry{term: term, at: now})
	return true
}

func (m *modelServer) follow(term currantloom.Term, primary currantloom.UpstreamName, now time.Duration) bool {
	if term < m.granted || primary == m.name || m.role == currantloom.RolePrimary && m.term == term {
		return false
	}
	m.role, m.term, m.granted, m.primary, m.heard = currantloom.RoleReplica, term, term, primary, now
	return true
}

// replicate copies the primary's log up to the replica's lag and drops entries that conflict with it.
func (m *modelServer) replicate(p *modelServer, now time.Duration) {
	m.heard = now
	same := 0
	for same < len(m.log) && same < len(p.log) && m.log[same] == p.log[same] {
		same++
	}
	if same < len(m.log) {
		m.log = slices.Clone(m.log[:same])
	}
	for _, e := range p.log[same:] {
		if e.at+m.lag > now {
			return
		}
		m.log = append(m.log, e)
	}
}

// holds reports whether the log has the entry at the position.
func (m *modelServer) holds(position int, e logEntry) bool {
	return len(m.log) >= position && m.log[position-1] == e
}

// find returns the position of the write with the request id, zero if there is none.
func (m *modelServer) find(requestID string) int {
	for i, e := range m.log {
		if requestID != "" && e.requestID == requestID {
			return i + 1
		}
	}
	return 0
}
