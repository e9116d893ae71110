package loomfleet

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomquota"
)

const (
	// avoidLimiterTime is how long a VM that left a request for tokens unanswered is not chosen as limiter, unless its
	// pong shows before that it does not answer at all.
	avoidLimiterTime = time.Second
	// limiterCandidates is how many VMs are kept in order for a shard. If none of them can be the limiter, there is none.
	limiterCandidates = 8
	// candidatesInterval is the shortest time between two computations of that order, which takes time in a large fleet.
	candidatesInterval = 200 * time.Millisecond
)

// limiterChoice is the choice of a shard's limiter.
type limiterChoice struct {
	// candidates are the VMs in the order in which they are preferred, as of an epoch of the members.
	candidates []currantloom.VMName
	epoch      uint64
	computedAt time.Duration
}

// chooseLimiters chooses the limiter of each shard.
func (s *State) chooseLimiters() {
	l := &s.limits
	for len(l.choices) < l.entry.Shards() {
		l.choices = append(l.choices, limiterChoice{})
	}
	for i := range l.entry.Shards() {
		s.checkLimiter(i)
		if vm := s.limiterOf(i); vm != l.entry.Limiter(i) {
			s.log(Decision{
				Event: "limiter", VM: vm, Reason: shardName(i), Outcome: limiterOutcome(vm), Routine: true,
			})
			l.entry.SetLimiter(i, vm)
		}
	}
}

func limiterOutcome(vm currantloom.VMName) string {
	if vm == "" {
		return "lost"
	}
	return "holder"
}

// checkLimiter pings a limiter that leaves requests unanswered, and avoids it for a while unless it has answered
// something else since then.
func (s *State) checkLimiter(shard int) {
	l := &s.limits
	vm := l.entry.Limiter(shard)
	silent := l.entry.Unanswered(shard)
	m, ok := s.members.byName[vm]
	if !ok || silent < loomquota.UnansweredTime/2 {
		return
	}
	s.pingIfDue(vm)
	if silent >= loomquota.LossyTime || silent >= loomquota.UnansweredTime && m.heardAt <= s.now-silent {
		l.avoidUntil[vm] = s.now + avoidLimiterTime
	}
}

// limiterOf returns the first VM in the order of the shard that this node does not suspect; empty if there is none.
func (s *State) limiterOf(shard int) currantloom.VMName {
	for _, vm := range s.limiterCandidates(shard) {
		if vm == s.config.Self {
			if !s.shutdown.requested {
				return vm
			}
			continue
		}
		m, ok := s.members.byName[vm]
		switch {
		case !ok || m.shuttingDown || m.deletedAt > 0 && !m.alive:
		case m.suspected:
			// In a large fleet, only VMs that are needed are pinged.
			m.usedAt = max(s.now, 1)
		case s.limits.avoidUntil[vm] > s.now:
		default:
			return vm
		}
	}
	return ""
}

// limiterCandidates returns the VMs that are preferred as limiter of the shard, by rendezvous hashing.
func (s *State) limiterCandidates(shard int) []currantloom.VMName {
	c := &s.limits.choices[shard]
	if c.epoch == s.members.epoch || c.epoch > 0 && s.now-c.computedAt < candidatesInterval {
		return c.candidates
	}
	name := currantloom.UpstreamName(fmt.Sprintf("limiter %d", shard))
	candidates := []ownerCandidate{{vm: s.config.Self, weight: rendezvousWeight(s.config.Self, name)}}
	for _, m := range s.members.sorted {
		candidates = append(candidates, ownerCandidate{vm: m.vm.Name(), weight: rendezvousWeight(m.vm.Name(), name)})
	}
	slices.SortFunc(candidates, func(a, b ownerCandidate) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.vm, b.vm))
	})
	c.candidates = nil
	for _, candidate := range candidates[:min(limiterCandidates, len(candidates))] {
		c.candidates = append(c.candidates, candidate.vm)
	}
	c.epoch, c.computedAt = s.members.epoch, s.now
	return c.candidates
}
