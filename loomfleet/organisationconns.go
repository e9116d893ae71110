package loomfleet

import "currantloom.example/currantloom"

// openConnsForOrganisations opens connections for the queued jobs of organisations that have no idle connection, in the
// order of the queue. If the node may open no more connections, it first closes the idle connection that was unused for
// longest.
//
// The number of connections being opened is limited, because each occupies a slot of the upstream.
func (p *pool) openConnsForOrganisations(s *State) {
	available, usable := make(map[currantloom.OrganisationName]int), make(map[currantloom.OrganisationName]int)
	opening := 0
	for _, cn := range p.conns {
		if cn.transaction == (currantloom.RequestKey{}) {
			usable[cn.organisation]++
		}
		switch {
		case cn.state == connOpening:
			opening++
			available[cn.organisation]++
		case cn.isIdle():
			available[cn.organisation]++
		}
	}
	if opening >= max(1, p.slots()/2) {
		return
	}
	for _, j := range p.queue.inOrder(s.now, p.averageRunTime) {
		if j.conn != nil || j.call.Mode >= currantloom.CallVerifyPrimary {
			continue
		}
		organisation := j.call.Organisation
		if available[organisation]--; available[organisation] >= 0 || usable[organisation] >= p.slots()+extraJobs {
			continue
		}
		if opening >= max(1, p.slots()/2) || !p.makeRoomForConn(s) {
			return
		}
		p.openConn(s, organisation)
		usable[organisation]++
		opening++
	}
}

// makeRoomForConn reports whether a connection may be opened now. If this node has reached its limit, it closes the
// idle connection that was unused for longest.
func (p *pool) makeRoomForConn(s *State) bool {
	if s.now < p.connLimitUntil || p.unreachable && s.now-p.failedAt < reconnectPause {
		return false
	}
	if len(p.conns) < p.maxConnections(s) {
		return true
	}
	var oldest *conn
	for _, cn := range p.conns {
		if cn.isIdle() && (oldest == nil || cn.idleSince < oldest.idleSince) {
			oldest = cn
		}
	}
	if oldest == nil {
		return false
	}
	s.closeConn(oldest, currantloom.ReasonConnectionLost)
	return true
}

// maxIdleConnections is the number of idle connections that this node keeps, so that a node that takes over finds room
// while the upstream still counts the connections of a VM that lost power.
func (p *pool) maxIdleConnections(s *State) int { return p.maxConnections(s) * 2 / 3 }
