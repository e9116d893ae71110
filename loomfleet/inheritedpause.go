package loomfleet

import (
	"slices"
	"time"

	"currantloom.example/currantloom"
)

// This file finds changes of primary of an earlier holder of the failover lease that no record names.
//
// A request that leaves while the store is down for all is not recorded, and no node remembers it if all processes end
// before the store is back. What outlasts them is the pause of the replicas that the change was judged by, the
// candidate among them. A process that has just started and is or may become the holder therefore asks each replica for
// its status, and takes a pause that is not its own for a change that may still take effect.

const (
	// pauseQuestionTime is how long commits wait for the answers of the replicas: a round trip between regions and
	// opening a connection. Replicas that answer later are taken into account all the same.
	pauseQuestionTime = 300 * time.Millisecond
	// pauseQuestionInterval is the time between two questions to a replica that does not answer.
	pauseQuestionInterval = 300 * time.Millisecond
	// maxPauseQuestions bounds the questions that are sent in a tick.
	maxPauseQuestions = 64
)

// pauseQuestions are the questions to the replicas of all services whether they are paused. The zero value is ready to
// use.
type pauseQuestions struct {
	// answered holds the replicas whose pauses are known, askedAt when each of the others was last asked.
	answered map[currantloom.UpstreamName]bool
	askedAt  map[currantloom.UpstreamName]time.Duration
	// paused holds the services with a paused replica that are not settled.
	paused map[currantloom.ServiceName]bool
}

func (q *pauseQuestions) recordAnswer(name currantloom.UpstreamName) {
	if q.answered == nil {
		q.answered = make(map[currantloom.UpstreamName]bool)
	}
	q.answered[name] = true
}

// ask reports whether a replica has to be asked now, and records that it is.
func (q *pauseQuestions) ask(name currantloom.UpstreamName, now time.Duration) bool {
	at, asked := q.askedAt[name]
	if q.answered[name] || asked && now-at < pauseQuestionInterval {
		return false
	}
	if q.askedAt == nil {
		q.askedAt = make(map[currantloom.UpstreamName]time.Duration)
	}
	q.askedAt[name] = now
	return true
}

func (q *pauseQuestions) recordPaused(name currantloom.ServiceName) {
	if q.paused == nil {
		q.paused = make(map[currantloom.ServiceName]bool)
	}
	q.paused[name] = true
}

// mayHaveForgottenChanges reports whether a request that this process has never heard of may still take effect.
func (s *State) mayHaveForgottenChanges() bool {
	at := s.catalog.storeFirstReachedAt
	return at > 0 && s.now-at < lateRequestTime
}

// mayAct reports whether this node acts as the holder of the failover lease, or is the first to claim it because the
// last holder does not answer.
func (c *coordinator) mayAct(s *State) bool {
	if c.acting {
		return true
	}
	if holder, ok := s.members.byName[c.holder.name]; ok && holder.alive {
		return false
	}
	return s.catalog.hasSnapshot && c.campaignRank(s) == 0
}

// tickPauseQuestions asks the replicas whether they are paused while this node may act as the holder of the failover
// lease and may have forgotten a change. What a failover of this process has paused is not asked for.
func (s *State) tickPauseQuestions() {
	c := &s.coordinator
	if s.shutdown.requested || !s.mayHaveForgottenChanges() || !c.mayAct(s) {
		return
	}
	sent := 0
	for _, g := range s.catalog.sortedGroups {
		for _, u := range g.upstreams {
			switch {
			case c.hasTouchedUpstreams(g.name):
				c.pauseQuestions.recordAnswer(u.Name)
			case sent < maxPauseQuestions && g.hasReplica(u) && c.pauseQuestions.ask(u.Name, s.now):
				s.askForPause(g, u)
				sent++
			}
		}
	}
}

// hasTouchedUpstreams reports whether a failover of this node may have paused replicas of the service.
func (c *coordinator) hasTouchedUpstreams(name currantloom.ServiceName) bool {
	f := c.failovers[name]
	return f != nil && f.hasTouchedUpstreams()
}

// hasReplica reports whether the upstream is registered and not the primary.
func (g *group) hasReplica(u *upstream) bool { return u.Name != g.primary && u.deletedAt == 0 }

func (s *State) askForPause(g *group, u *upstream) {
	c := &s.coordinator
	vm, ok := s.ownerOf(u)
	if !ok {
		return
	}
	command := currantloom.Command{Kind: currantloom.CommandReplicationStatus}
	s.sendFailoverCall(u, vm, currantloom.CallFailover, command, func(result currantloom.CallResult) {
		status := result.Reply.ReplicationStatus
		if result.Verdict != currantloom.Ran || status == nil || c.pauseQuestions.answered[u.Name] {
			return
		}
		c.pauseQuestions.recordAnswer(u.Name)
		if status.Held > 0 && !status.Primary {
			c.pauseQuestions.recordPaused(g.name)
			c.inheritPaused(s)
			s.log(Decision{
				Event: "duty", Service: g.name, Upstream: u.Name, Version: uint64(status.Held), Reason: reasonUnsettled,
				Outcome: "paused",
			})
		}
	})
}

// inheritPaused takes over the changes that paused replicas show, if this node is the holder of the failover lease.
func (c *coordinator) inheritPaused(s *State) {
	if !c.isHolder(s) {
		return
	}
	for name := range c.pauseQuestions.paused {
		c.record.inheritService(name)
	}
}

// settle records that no request of an earlier holder can take effect any more.
func (c *coordinator) settle(name currantloom.ServiceName) {
	c.record.settle(name)
	delete(c.pauseQuestions.paused, name)
}

// delaysCommits reports whether commits wait for the answers of replicas.
func (s *State) delaysCommits() bool {
	c := &s.coordinator
	return c.acting && s.now-c.actingSince < pauseQuestionTime && s.mayHaveForgottenChanges()
}

// awaitsPauseAnswers reports whether commits of the service wait until its replicas have said whether they are paused.
func (s *State) awaitsPauseAnswers(g *group) bool {
	return s.delaysCommits() && slices.ContainsFunc(g.upstreams, func(u *upstream) bool {
		return g.hasReplica(u) && !s.coordinator.pauseQuestions.answered[u.Name]
	})
}
