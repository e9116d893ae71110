package loomfleet

import (
	"slices"

	"currantloom.example/currantloom"
)

// idleConn returns the most recently used idle connection.
func (p *pool) idleConn() *conn {
	var best *conn
	for _, cn := range p.conns {
		if cn.isIdle() && (best == nil || cn.idleSince > best.idleSince) {
			best = cn
		}
	}
	return best
}

// idleConnOf returns the most recently used idle connection of an organisation.
func (p *pool) idleConnOf(organisation currantloom.OrganisationName) *conn {
	var best *conn
	for _, cn := range p.conns {
		if cn.isIdle() && cn.organisation == organisation && (best == nil || cn.idleSince > best.idleSince) {
			best = cn
		}
	}
	return best
}

// takeConn returns an idle connection of the job's organisation, if possible one that already has the settings of its
// session. Commands of failovers run on any connection.
func (p *pool) takeConn(j *job) *conn {
	if j.call.Mode >= currantloom.CallVerifyPrimary {
		return p.idleConn()
	}
	for _, cn := range p.conns {
		if cn.isIdle() && cn.organisation == j.call.Organisation && cn.matches(j.call) {
			return cn
		}
	}
	return p.idleConnOf(j.call.Organisation)
}

// openConnsForQueue opens connections for queued jobs.
//
// The number is limited because after an outage hundreds of statements wait at once. Opening a connection takes a slot
// of the upstream, so one connection for each of them would occupy the slots for seconds, and most connections could
// not be used.
func (p *pool) openConnsForQueue(s *State) {
	if s.hasOrganisations() {
		p.openConnsForOrganisations(s)
	}
	opening, idle, unpinned := 0, 0, 0
	for _, cn := range p.conns {
		switch {
		case cn.state == connOpening:
			opening++
		case cn.isIdle():
			idle++
		}
		if cn.transaction == (currantloom.RequestKey{}) {
			unpinned++
		}
	}
	usable := p.maxRunning() + probeConnections
	wanted := min(p.queue.countUnpinned()-opening-idle, usable-unpinned, max(1, p.slots()/2)-opening)
	if s.hasOrganisations() {
		wanted = 0
	}
	if s.isPreferredOwner(p.upstream) && len(p.conns) < warmConnections {
		wanted = max(wanted, 1)
	}
	for ; wanted > 0 && p.mayOpenConn(s); wanted-- {
		if p.unreachable && (opening > 0 || s.now-p.failedAt < reconnectPause) {
			return
		}
		p.openConn(s, "")
		opening++
	}
}

func (p *pool) openConn(s *State, organisation currantloom.OrganisationName) {
	cn := &conn{
		id: ConnID(s.nextNumber()), pool: p, organisation: organisation, state: connOpening, openedAt: s.now,
		settings: make(map[string]string),
	}
	p.conns = append(p.conns, cn)
	s.owner.conns[cn.id] = cn
	s.emit(OpenConn{Conn: cn.id, Upstream: p.upstream.Upstream, Organisation: organisation})
}

// closeSurplusConn closes the connection that has been idle for longest, if more than warmConnections are idle.
func (p *pool) closeSurplusConn(s *State) {
	var oldest *conn
	idle := 0
	for _, cn := range p.conns {
		if !cn.isIdle() {
			continue
		}
		idle++
		if oldest == nil || cn.idleSince < oldest.idleSince {
			oldest = cn
		}
	}
	limit, timeout := warmConnections, surplusIdleTimeout
	if s.hasOrganisations() {
		timeout = idleConnRetention
	}
	if idle > limit && s.now-oldest.idleSince > timeout {
		s.closeConn(oldest, currantloom.ReasonConnectionLost)
	}
}

// closeIdleConns closes the idle connections to an upstream that another node owns, and removes the pool once the
// upstream counts no connection of this node any more.
func (p *pool) closeIdleConns(s *State) {
	for _, cn := range slices.Clone(p.conns) {
		if cn.isIdle() {
			s.closeConn(cn, currantloom.ReasonConnectionLost)
		}
	}
	if len(p.conns) == 0 && p.queue.len() == 0 && p.heldConns(s) == 0 {
		delete(s.owner.pools, p.upstream.Name)
	}
}
