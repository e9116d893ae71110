package loomfleet

import (
	"time"

	"currantloom.example/currantloom"
)

// idleConnRetention is how long an idle connection of an organisation is kept if no other organisation needs it.
const idleConnRetention = time.Minute

// openConnsForOrganisations opens connections for the queued jobs of organisations that have no idle connection. If the
// node may hold no more connections, it closes idle ones of other organisations.
//
// The number of connections being opened is limited, because each occupies a slot of the upstream.
func (p *pool) openConnsForOrganisations(s *State) {
	available, unpinned := make(connCounts), make(connCounts)
	opening := 0
	for _, cn := range p.conns {
		if cn.state == connOpening {
			opening++
		}
		if cn.state == connOpening || cn.isIdle() {
			available[cn.organisation]++
		}
		if cn.transaction == (currantloom.RequestKey{}) {
			unpinned[cn.organisation]++
		}
	}
	limit := p.maxOpening() - opening
	if limit <= 0 || p.queue.len() == 0 || p.unreachable && (opening > 0 || s.now-p.failedAt < reconnectPause) {
		return
	}
	evicted := make(connCounts)
	for _, o := range neededConns(p.connWaiters(s), available, unpinned, p.maxRunning(), limit) {
		for organisation, count := range evicted {
			o.spare[organisation] -= count
		}
		p.evictFor(s, o, evicted)
		if !p.mayOpenConn(s) {
			return
		}
		p.openConn(s, o.organisation)
	}
}

// maxOpening is the number of connections that may be opened at once.
func (p *pool) maxOpening() int { return max(1, p.slots()/2) }

// lateRank is added to the rank of late jobs, which start after all others.
const lateRank = 1 << 16

// connWaiters returns the queued jobs that need a connection, in the order in which they start. Commands of failovers
// run on any connection, so one is opened for them only if there is none.
func (p *pool) connWaiters(s *State) []connWaiter {
	var waiters []connWaiter
	for _, j := range p.queue.inOrder(s.now, p.averageRunTime) {
		w := connWaiter{rank: jobRank(j)}
		switch {
		case j.call.Mode >= currantloom.CallVerifyPrimary:
			if len(p.conns) == 0 {
				waiters = append(waiters, w)
			}
		case j.conn == nil && !p.isBlocked(s, j) && (!opensTransaction(j.call.Mode) || p.hasConnForTransaction(s)):
			w.organisation, w.waited = j.call.Organisation, s.now-j.arrivedAt
			w.patience = time.Duration(float64(j.call.LatencyBudget) * s.owner.policy.lookahead)
			if j.isLate(s.now, p.averageRunTime) {
				w.rank += lateRank
			}
			waiters = append(waiters, w)
		}
	}
	return waiters
}

// evictFor closes an idle connection if the new one would not fit into the share, and counts it. A part of the share is
// kept for closed connections that the upstream may still count, so that the new one need not wait. Once that part is
// used up, nothing is closed, because nothing could be opened instead.
func (p *pool) evictFor(s *State, o neededConn, evicted connCounts) {
	room := p.maxOpening()
	fits := len(p.conns) < max(1, p.connShare(s)-room)
	if fits || s.now < p.connLimitUntil || p.share.uncertain(s.now, p.heardAt) >= room {
		return
	}
	cn := p.leastUsefulConn(s, o.spare)
	if cn == nil {
		return
	}
	evicted[cn.organisation]++
	s.log(Decision{
		Event: "connection", Organisation: cn.organisation, Upstream: p.upstream.Name, Service: p.upstream.Service,
		Age: s.now - cn.idleSince, Reason: "for " + string(o.organisation), Outcome: "evicted", Routine: true,
	})
	s.closeConn(cn, currantloom.ReasonConnectionLost)
}

// leastUsefulConn returns the idle connection that is least worth keeping, or nil if there is none. If spare is given,
// only connections of organisations that it contains may be closed.
func (p *pool) leastUsefulConn(s *State, spare connCounts) *conn {
	var conns []*conn
	var idle []idleConn
	held := make(connCounts)
	for _, cn := range p.conns {
		held[cn.organisation]++
		if cn.isIdle() && (spare == nil || spare[cn.organisation] > 0) {
			conns = append(conns, cn)
			idle = append(idle, idleConn{organisation: cn.organisation, idleSince: cn.idleSince})
		}
	}
	if i := s.owner.policy.victim(idle, held, s.now); i >= 0 {
		return conns[i]
	}
	return nil
}
