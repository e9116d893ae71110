package loomcore_test

import (
	"slices"
	"time"

	"currantloom.example/currantloom"
)

// logEntry is one committed write in the log of a simulated upstream.
type logEntry struct {
	term      currantloom.Term
	write     int
	requestID string
	at        time.Duration
}

// simulatedUpstream models an upstream by assumptions D1 to D8 of docs/design.md, section 3: it grants each term to one
// proposer, is fenced from the grant until it gets a role in the term, starts its term as primary with an entry of its
// own, copies the log of its primary, and finds a recorded request id in its log.
type simulatedUpstream struct {
	name           currantloom.UpstreamName
	role           currantloom.Role
	term           currantloom.Term
	grantedTerm    currantloom.Term
	proposer       currantloom.VMName
	primary        currantloom.UpstreamName
	log            []logEntry
	primaryHeardAt time.Duration
	replicationLag time.Duration
	dead           bool
	paused         bool
	partitionSide  int
	running        map[currantloom.RequestKey]bool
}

func (u *simulatedUpstream) position() currantloom.LogPosition {
	if len(u.log) == 0 {
		return currantloom.LogPosition{}
	}
	return currantloom.NewLogPosition(u.log[len(u.log)-1].term, currantloom.LogIndex(len(u.log)))
}

func (u *simulatedUpstream) status(now time.Duration) currantloom.PostgresStatus {
	silence := now - u.primaryHeardAt
	if u.role == currantloom.RolePrimary {
		silence = 0
	}
	return currantloom.PostgresStatus{
		Role: u.role, Term: u.term, GrantedTerm: u.grantedTerm, Position: u.position(), PrimarySilence: silence,
	}
}

func (u *simulatedUpstream) raiseTerm(term currantloom.Term, proposer currantloom.VMName) currantloom.TermGrant {
	repeated := term == u.grantedTerm && proposer == u.proposer
	if term > u.grantedTerm {
		u.grantedTerm, u.proposer, u.role = term, proposer, currantloom.RoleFenced
		repeated = true
	}
	return currantloom.TermGrant{Granted: repeated, HighestTerm: u.grantedTerm, Position: u.position()}
}

// promote makes the upstream the primary of a term that it granted. Its first entry in the term makes the entries of
// older terms final once a majority holds it.
func (u *simulatedUpstream) promote(term currantloom.Term, now time.Duration) bool {
	if u.role == currantloom.RolePrimary && u.term == term {
		return u.grantedTerm == term
	}
	if u.grantedTerm != term || u.term == term {
		return false
	}
	u.role, u.term = currantloom.RolePrimary, term
	u.log = append(slices.Clone(u.log), logEntry{term: term, at: now})
	return true
}

func (u *simulatedUpstream) follow(term currantloom.Term, primary currantloom.UpstreamName, now time.Duration) bool {
	if term < u.grantedTerm || primary == u.name || u.role == currantloom.RolePrimary && u.term == term {
		return false
	}
	u.role, u.term, u.grantedTerm, u.primary, u.primaryHeardAt = currantloom.RoleReplica, term, term, primary, now
	return true
}

// replicate copies the primary's log up to the replica's lag and drops entries that conflict with it.
func (u *simulatedUpstream) replicate(p *simulatedUpstream, now time.Duration) {
	u.primaryHeardAt = now
	same := 0
	for same < len(u.log) && same < len(p.log) && u.log[same] == p.log[same] {
		same++
	}
	if same < len(u.log) {
		u.log = slices.Clone(u.log[:same])
	}
	for _, e := range p.log[same:] {
		if e.at+u.replicationLag > now {
			return
		}
		u.log = append(u.log, e)
	}
}

// hasEntry reports whether the log has the entry at the index.
func (u *simulatedUpstream) hasEntry(index int, e logEntry) bool {
	return len(u.log) >= index && u.log[index-1] == e
}

// indexOfRequestID returns the index of the write with the request id, zero if there is none.
func (u *simulatedUpstream) indexOfRequestID(requestID string) int {
	for i, e := range u.log {
		if requestID != "" && e.requestID == requestID {
			return i + 1
		}
	}
	return 0
}
