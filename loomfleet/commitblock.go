package loomfleet

import (
	"slices"
	"time"

	"currantloom.example/currantloom"
)

// commitBlock is the holder's side of a change of primary: which nodes may still acknowledge commits of the service.
// Its zero value has not begun.
type commitBlock struct {
	// number identifies the change in messages; zero before the change has begun.
	number uint64
	// leases holds the nodes that have not confirmed that they acknowledge no commit, each with the end of its lease.
	leases map[currantloom.VMName]time.Duration
}

// newCommitBlock returns the block of a change that begins now. The leases are those that nodes may hold.
func newCommitBlock(number uint64, leases map[currantloom.VMName]time.Duration) commitBlock {
	return commitBlock{number: number, leases: leases}
}

func (b *commitBlock) hasBegun() bool { return b.number != 0 }

// confirm records that a node acknowledges no commit any more, or that its process has ended.
func (b *commitBlock) confirm(vm currantloom.VMName) { delete(b.leases, vm) }

// awaits reports whether a node has not confirmed yet. Once its lease has run out, only its newest commit is awaited.
func (b *commitBlock) awaits(vm currantloom.VMName) bool {
	_, ok := b.leases[vm]
	return ok
}

// isComplete reports whether no node acknowledges commits any more.
func (b *commitBlock) isComplete(now time.Duration) bool {
	if !b.hasBegun() {
		return false
	}
	for _, until := range b.leases {
		if now < until {
			return false
		}
	}
	return true
}

// blockAnswer is an answer to BlockWrites that waits until this node acknowledges no commit.
type blockAnswer struct {
	link   LinkID
	number uint64
}

// answerBlock ends the commit lease of a group whose commits are blocked once none runs or the time for that is over,
// and confirms that to the holder of the failover lease.
func (s *State) answerBlock(g *group) {
	if len(g.blockAnswers) == 0 || s.now < g.commitsEndAt && g.lease.isHeld(s.now) && s.hasRunningCommits(g) {
		return
	}
	g.lease.revoke()
	for _, a := range g.blockAnswers {
		m := currantloom.CommitsBlocked{Service: g.name, Number: a.number, Acked: g.ackedPosition}
		if a.link == 0 {
			s.handleCommitsBlocked(s.config.Self, m)
		} else {
			s.emit(Respond{Link: a.link, Message: m})
		}
	}
	g.blockAnswers = nil
}

// hasRunningCommits reports whether commits of the group run that may be acknowledged under the lease.
func (s *State) hasRunningCommits(g *group) bool {
	return slices.ContainsFunc(g.upstreams, func(u *upstream) bool {
		p, ok := s.owner.pools[u.Name]
		return ok && slices.ContainsFunc(p.conns, func(cn *conn) bool {
			j := cn.job
			return j != nil && j.sent && j.provesPrimary() && g.lease.covers(s.now, j.startedAt)
		})
	})
}

// handleCommitsBlocked records that a node acknowledges no commit of a service any more.
func (s *State) handleCommitsBlocked(from currantloom.VMName, m currantloom.CommitsBlocked) {
	if g, ok := s.catalog.groups[m.Service]; ok {
		g.recordAcked(m.Acked)
	}
	if f := s.coordinator.failovers[m.Service]; f != nil && f.commits.number == m.Number {
		f.commits.confirm(from)
	}
}
