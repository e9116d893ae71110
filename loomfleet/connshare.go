package loomfleet

import (
	"slices"
	"time"

	"currantloom.example/currantloom"
)

const (
	// darkConnTime is how long a connection is counted whose end the upstream may not have learnt of: 3 s, and a margin
	// for delays.
	darkConnTime = 3500 * time.Millisecond
	// closeNoticeTime is how long after the end of an idle connection a reply shows that the upstream has learnt of it.
	closeNoticeTime = 20 * time.Millisecond
	// lostReadSettleTime is the same for a connection whose read got no answer while the upstream answered others. By
	// then the upstream has ended the read, because its timeout has passed.
	lostReadSettleTime = 250 * time.Millisecond
	// limitLogInterval is the shortest time between two log lines about a share that is used up.
	limitLogInterval = time.Second
)

// connShares are the numbers of connections that nodes may hold of an upstream's limit.
type connShares struct {
	// owner is the share of the preferred owner, successor that of the next VM in the order, other that of any other.
	owner, successor, other int
}

// newConnShares divides a limit. One node of each kind fits into it: a suspended VM can give nothing back, so a
// successor must find its share free without an answer of the owner.
func newConnShares(limit int) connShares {
	other := max(1, limit/6)
	owner := max(1, (limit-other)*5/8)
	return connShares{owner: owner, successor: max(1, limit-other-owner), other: other}
}

// connShare tracks how many connections of one upstream this node may still be holding, beyond those that it knows.
type connShare struct {
	closed []closedConn
	// reduced is the share after the upstream refused a connection because of its limit; it applies until reducedUntil.
	reduced      int
	reducedUntil time.Duration
	// denied counts the connections that were not opened since the last log line, at loggedAt.
	denied   int
	loggedAt time.Duration
}

// closedConn is a connection that this node has closed and that the upstream may still count, because it is busy with a
// command or with the opening, or because it has not heard of the end.
type closedConn struct{ at, settle time.Duration }

// recordClosed records that this node closed a connection. Settle is how long after that the upstream has to reply to
// show that it no longer counts it; zero if no reply shows that.
func (c *connShare) recordClosed(now, settle time.Duration) {
	c.closed = append(c.closed, closedConn{at: now, settle: settle})
}

// recordGone records that the upstream's process has ended, and its connections with it.
func (c *connShare) recordGone() { c.closed = nil }

// uncertain returns the number of closed connections that the upstream may still count. It last replied at heardAt.
func (c *connShare) uncertain(now, heardAt time.Duration) int {
	c.closed = slices.DeleteFunc(c.closed, func(closed closedConn) bool {
		return now-closed.at >= darkConnTime || closed.settle > 0 && heardAt-closed.at >= closed.settle
	})
	return len(c.closed)
}

// recordRefused lowers the share for darkConnTime, because other nodes hold more than their part.
func (c *connShare) recordRefused(now time.Duration, held int) {
	c.reduced, c.reducedUntil = max(1, held*3/4), now+darkConnTime
}

// connShare is the number of connections that this node may hold.
func (p *pool) connShare(s *State) int {
	share := s.connShareOf(p.upstream, newConnShares(s.service(p.upstream.Service).Connections))
	if s.now < p.share.reducedUntil {
		share = min(share, p.share.reduced)
	}
	return share
}

// connShareOf returns this node's share at an upstream. It follows from the order of preference of the registered
// VMs, and not from which VM answers or is believed to be the owner, so that nodes of different opinion stay within the
// limit together. Right after a start, the connections of an earlier process may still count.
func (s *State) connShareOf(u *upstream, shares connShares) int {
	if s.now < s.owner.earlierConnsUntil {
		return shares.other
	}
	registered := 0
	for _, vm := range s.ownerCandidates(u) {
		if vm == s.config.Self {
			break
		}
		if s.mayReturn(vm) {
			registered++
		}
	}
	switch registered {
	case 0:
		return shares.owner
	case 1:
		return shares.successor
	default:
		return shares.other
	}
}

// mayReturn reports whether a VM may hold connections. A VM that does not answer may be suspended, with its connections
// open, as long as it is registered.
func (s *State) mayReturn(vm currantloom.VMName) bool {
	m, ok := s.members.byName[vm]
	return ok && (m.alive || m.deletedAt == 0 || s.now-m.deletedAt < darkConnTime)
}

// heldConns is the number of connections of this node that the upstream may count.
func (p *pool) heldConns(s *State) int { return len(p.conns) + p.share.uncertain(s.now, p.heardAt) }

// mayOpenConn reports whether this node may open a connection now. One is allowed in any case, because only a
// connection shows that an upstream which did not answer has returned.
func (p *pool) mayOpenConn(s *State) bool {
	if s.now < p.connLimitUntil {
		return false
	}
	if len(p.conns) == 0 || p.heldConns(s) < p.connShare(s) {
		return true
	}
	p.logLimit(s)
	return false
}

// logLimit logs that connections were not opened because the share is used up, with their number since the last line.
func (p *pool) logLimit(s *State) {
	p.share.denied++
	if s.now-p.share.loggedAt < limitLogInterval {
		return
	}
	s.log(Decision{
		Event: "connection", Upstream: p.upstream.Name, Service: p.upstream.Service, Count: p.share.denied,
		Outcome: "limit",
	})
	p.share.denied, p.share.loggedAt = 0, s.now
}

// handleConnRefused closes idle connections and waits after the upstream refused one because of its limit.
func (p *pool) handleConnRefused(s *State) {
	p.connLimitUntil = s.now + connLimitPause
	p.share.recordRefused(s.now, len(p.conns))
	s.log(Decision{
		Event: "connection", Upstream: p.upstream.Name, Service: p.upstream.Service, Count: len(p.conns),
		Outcome: "refused",
	})
	p.closeBeyondShare(s)
}

// closeBeyondShare closes idle connections until this node holds no more than its share.
func (p *pool) closeBeyondShare(s *State) {
	for share := p.connShare(s); len(p.conns) > share; {
		cn := p.leastUsefulConn(s, nil)
		if cn == nil {
			return
		}
		s.closeConn(cn, currantloom.ReasonConnectionLost)
	}
}

// hasConnForTransaction reports whether another transaction leaves a connection for statements and probes.
func (p *pool) hasConnForTransaction(s *State) bool {
	used := 0
	for _, cn := range p.conns {
		if cn.transaction != (currantloom.RequestKey{}) || cn.job != nil && opensTransaction(cn.job.call.Mode) {
			used++
		}
	}
	return used < max(1, p.connShare(s)-probeConnections)
}

// recordEarlierProcess records that the store has the registration of an earlier process of this node. If the VM lost
// power, upstreams count the connections of that process for a while.
func (s *State) recordEarlierProcess(e MemberChange) {
	registered := !s.coordinator.memberKey.position.IsZero()
	if !e.Deleted && !registered && e.Incarnation != s.config.Incarnation && s.owner.earlierConnsUntil == 0 {
		s.owner.earlierConnsUntil = s.now + darkConnTime
	}
}
