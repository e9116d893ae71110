package loomfleet

import (
	"time"

	"currantloom.example/currantloom"
)

// This file checks, before a failover for unanswered commits does anything, whether the replicas still receive the log
// of the primary. If they do, the statements themselves are the cause, and the primary stays. The check writes nothing.

// replicationCheckTimeout bounds the check: the primary reports the end of its log, and then the replicas have to reach
// it, each a round trip between regions.
const replicationCheckTimeout = 200 * time.Millisecond

// reasonReplicates is the reason for ending a failover because a replica receives the log of the primary.
const reasonReplicates = "a replica receives the log"

// replicationCheck is a check in progress.
type replicationCheck struct {
	// position is the end of the primary's log when the check began; zero until it is known.
	position currantloom.LogPosition
	// asked holds the replicas whose answer is awaited, confirmed says that one has reached the position.
	asked     map[currantloom.UpstreamName]bool
	confirmed bool
}

// canCheckReplication reports whether the primary can be asked. One that no node reaches would only delay the failover.
func (s *State) canCheckReplication(f *failover) bool {
	u := f.group.find(f.oldPrimary)
	return u != nil && s.isReportedReachable(u)
}

// startReplicationCheck asks the primary for the end of its log.
func (s *State) startReplicationCheck(f *failover) {
	f.check = replicationCheck{asked: make(map[currantloom.UpstreamName]bool)}
	u := f.group.find(f.oldPrimary)
	if u == nil {
		return
	}
	s.askStatus(f, u, func(status currantloom.ReplicationStatus) {
		if status.Primary {
			f.check.position = status.Received
			s.askReplicas(f)
		}
	})
}

// askReplicas asks the replicas how far they have come, except those that have not answered yet.
func (s *State) askReplicas(f *failover) {
	for _, u := range f.group.upstreams {
		if u.Name == f.oldPrimary || u.isRemoved(s) || f.check.asked[u.Name] {
			continue
		}
		f.check.asked[u.Name] = true
		s.askStatus(f, u, func(status currantloom.ReplicationStatus) {
			f.check.asked[u.Name] = false
			f.check.confirmed = f.check.confirmed || !status.Primary && status.Received.Covers(f.check.position)
		})
	}
}

// askStatus asks an upstream for its status, and passes it on if it arrives within the step.
func (s *State) askStatus(f *failover, u *upstream, record func(currantloom.ReplicationStatus)) {
	vm, ok := s.ownerOf(u)
	if !ok {
		vm = s.config.Self
	}
	epoch, command := f.epoch, currantloom.Command{Kind: currantloom.CommandReplicationStatus}
	s.sendFailoverCall(u, vm, currantloom.CallFailover, command, func(result currantloom.CallResult) {
		if f.epoch == epoch && result.Reply.ReplicationStatus != nil {
			record(*result.Reply.ReplicationStatus)
		}
	})
}

// tickReplicationCheck ends the failover if a replica has reached the primary's log, and goes on with it otherwise.
func (s *State) tickReplicationCheck(f *failover) {
	switch {
	case f.check.confirmed:
		f.group.ignoreStallUntil = s.now + stallRetryPause
		s.endFailover(f, reasonReplicates)
	case s.now-f.stepStartedAt > replicationCheckTimeout:
		s.enterStep(f, stepFence)
	case !f.check.position.IsZero():
		s.askReplicas(f)
	}
}
