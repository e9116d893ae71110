package loomfleet

import (
	"fmt"
	"slices"
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomquota"
)

const (
	// idleLimiterTime is how long after the last request a limiter drops its state, if this node itself asks another one.
	idleLimiterTime = 3 * time.Second
	// registeredInterval is how often a limiter is told which VMs are registered.
	registeredInterval = 250 * time.Millisecond
	// unregisteredTime is how long after its last request a VM that is not registered keeps its shares.
	unregisteredTime = 3 * time.Second
	// maxShards bounds the shards for which a node can be asked.
	maxShards = 1000
)

// limiterShard is this node's part as the limiter of a shard.
type limiterShard struct {
	shard, shards int
	limiter       *loomquota.Limiter
	// clients are the nodes that have asked.
	clients                map[currantloom.VMName]limiterClient
	requestedAt, updatedAt time.Duration
}

// limiterClient is a node that asks this one for tokens.
type limiterClient struct {
	// link is the link of its last request; zero for this node itself.
	link LinkID
	at   time.Duration
}

// handleTokenRequest answers a request for tokens. A node that shuts down no longer answers, so that the others ask the
// next one.
func (s *State) handleTokenRequest(from currantloom.VMName, link LinkID, m currantloom.TokenRequest) {
	if s.shutdown.requested || s.limits.entry == nil || m.Shard < 0 || m.Shard >= m.Shards || m.Shards > maxShards {
		return
	}
	l := s.limiterShardOf(m.Shard, m.Shards)
	_, known := l.clients[from]
	l.clients[from], l.requestedAt = limiterClient{link: link, at: s.now}, s.now
	if !known {
		s.updateRegistered(l)
	}
	if a, ok := l.limiter.Request(s.now, from, m); ok {
		s.sendTokenAnswer(l, from, a)
	}
}

// limiterShardOf returns this node's part as the limiter of a shard, and creates it if a node asks for the first time.
func (s *State) limiterShardOf(shard, shards int) *limiterShard {
	i := slices.IndexFunc(s.limits.limiters, func(l *limiterShard) bool { return l.shard == shard && l.shards == shards })
	if i >= 0 {
		return s.limits.limiters[i]
	}
	l := &limiterShard{
		shard: shard, shards: shards, clients: make(map[currantloom.VMName]limiterClient),
		limiter: loomquota.NewLimiter(s.config.Quota, shard, shards, s.limiterEpoch()),
	}
	l.limiter.SetLimits(s.now, s.limits.byName)
	s.limits.limiters = append(s.limits.limiters, l)
	s.log(Decision{Event: "limiter", VM: s.config.Self, Reason: shardName(shard), Outcome: "holder"})
	return l
}

// limiterEpoch returns a number that differs from those of earlier states and runs of the process as limiter. It has 32
// bits because every message for limits carries one.
func (s *State) limiterEpoch() uint64 {
	const odd = 2_654_435_761
	return max(1, (s.config.Incarnation*odd+s.nextNumber())&(1<<32-1))
}

func shardName(shard int) string { return fmt.Sprintf("shard %d", shard) }

// sendTokenAnswer sends an answer on the link on which the node asks, if it has asked.
func (s *State) sendTokenAnswer(l *limiterShard, vm currantloom.VMName, a currantloom.TokenAnswer) {
	client, known := l.clients[vm]
	m, member := s.members.byName[vm]
	switch {
	case vm == s.config.Self:
		s.deferCall(func() { s.handleTokenAnswer(vm, a) })
	case known && client.link > 0:
		s.emit(Respond{Link: client.link, Message: a})
	case member && !m.suspected:
		s.emit(Send{VM: m.vm, Message: a})
	}
}

// tickLimiters sends the answers that have become due, and drops the limiters that are not asked any more.
func (s *State) tickLimiters() {
	if s.shutdown.requested {
		s.dropLimiters(reasonShutdown)
		return
	}
	for _, l := range slices.Clone(s.limits.limiters) {
		own := l.shards == s.limits.entry.Shards() && s.limits.entry.Limiter(l.shard) == s.config.Self
		switch {
		case !own && s.now-l.requestedAt > idleLimiterTime:
			s.dropLimiter(l, "not asked")
			continue
		case s.now-l.updatedAt >= registeredInterval:
			s.updateRegistered(l)
		}
		for _, a := range l.limiter.Tick(s.now) {
			s.sendTokenAnswer(l, a.VM, a.Message)
		}
	}
}

// updateRegistered tells a limiter which VMs may hold shares: those that are registered and those that have asked
// lately.
func (s *State) updateRegistered(l *limiterShard) {
	l.updatedAt = s.now
	vms := []currantloom.VMName{s.config.Self}
	for _, m := range s.members.sorted {
		name := m.vm.Name()
		if client, ok := l.clients[name]; m.deletedAt == 0 || ok && s.now-client.at < unregisteredTime {
			vms = append(vms, name)
		}
	}
	for name, client := range l.clients {
		_, member := s.members.byName[name]
		switch {
		case member || name == s.config.Self:
		case s.now-client.at < unregisteredTime:
			vms = append(vms, name)
		default:
			delete(l.clients, name)
		}
	}
	l.limiter.SetRegistered(s.now, vms)
}

// dropLimiter drops the state of this node as limiter of a shard.
func (s *State) dropLimiter(l *limiterShard, reason string) {
	s.limits.limiters = slices.DeleteFunc(s.limits.limiters, func(other *limiterShard) bool { return other == l })
	s.log(Decision{
		Event: "limiter", VM: s.config.Self, Reason: shardName(l.shard) + ": " + reason, Outcome: "lost",
	})
}

func (s *State) dropLimiters(reason string) {
	for _, l := range slices.Clone(s.limits.limiters) {
		s.dropLimiter(l, reason)
	}
}

// resumeLimits drops what may be out of date after a pause of the process: the buckets of the limiter, and the age of
// unanswered requests for tokens.
func (s *State) resumeLimits() {
	s.dropLimiters("paused")
	if s.limits.entry != nil {
		s.limits.entry.Resume()
	}
}

// forgetLimiterLink forgets a link on which a node asked.
func (s *State) forgetLimiterLink(link LinkID) {
	for _, l := range s.limits.limiters {
		for vm, client := range l.clients {
			if client.link == link {
				l.clients[vm] = limiterClient{at: client.at}
			}
		}
	}
}
