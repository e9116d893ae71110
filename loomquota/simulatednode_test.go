package loomquota

import (
	"time"

	"currantloom.example/currantloom"
)

func (n *simulatedNode) start() {
	n.alive, n.paused, n.deferred = true, false, nil
	n.setRegistered(true)
	n.incarnation++
	n.seenAt, n.limiters = n.sim.now, make(map[int]*Limiter)
	n.suspected, n.waiting = make(map[currantloom.VMName]time.Duration), make(map[Operation]time.Duration)
	n.entry = NewEntry(n.sim.window, n.incarnation)
	n.entry.SetLimits(n.sim.limits)
	incarnation := n.incarnation
	var tick func()
	tick = func() {
		if n.incarnation != incarnation || !n.alive {
			return
		}
		if !n.paused {
			n.wake()
			n.tick()
		}
		n.sim.after(simulationTick, tick)
	}
	n.sim.after(time.Duration(n.sim.random.Int64N(int64(simulationTick))), tick)
}

// do runs an event of the process, after the end of a pause.
func (n *simulatedNode) do(f func()) {
	switch {
	case !n.alive:
	case n.paused:
		n.deferred = append(n.deferred, f)
	default:
		n.wake()
		f()
	}
}

// wake drops the state of the limiter after a pause, as the node does.
func (n *simulatedNode) wake() {
	if n.sim.now-n.seenAt > 400*time.Millisecond {
		clear(n.limiters)
	}
	n.seenAt = n.sim.now
	n.entry.Advance(n.sim.now, n.sim.random.Uint64())
}

func (n *simulatedNode) tick() {
	n.entry.SetRegistered(len(n.sim.registered))
	for i := range n.entry.Shards() {
		n.chooseLimiter(i)
	}
	n.entry.Tick()
	n.settle()
	for i := range n.entry.Shards() {
		l := n.limiters[i]
		if l == nil {
			continue
		}
		if n.sim.now-n.updatedAt >= sweepInterval {
			n.updatedAt = n.sim.now
			l.SetRegistered(n.sim.now, n.sim.registered)
		}
		for _, a := range l.Tick(n.sim.now) {
			n.answer(n.sim.index(a.VM), a.Message)
		}
	}
}

func (sim *simulation) index(vm currantloom.VMName) int { return sim.indices[vm] }

// isCut reports whether a ping between two nodes gets no answer.
func (sim *simulation) isCut(a, b int) bool { return a != b && (sim.cut(a, b) || sim.cut(b, a)) }

// chooseLimiter chooses the first VM that the node does not suspect. A suspected VM is chosen again after a ping.
func (n *simulatedNode) chooseLimiter(shard int) {
	sim, current := n.sim, n.entry.Limiter(shard)
	if silent := n.entry.Unanswered(shard); silent >= UnansweredTime {
		vm := sim.nodes[sim.index(current)]
		if !vm.alive || vm.paused || sim.isCut(n.index, vm.index) || silent >= LossyTime {
			n.suspected[current] = sim.now
		}
	}
	for k := range min(simulatedCandidates, len(sim.nodes)) {
		i := (k + shard) * limiterStep % len(sim.nodes)
		vm := sim.nodes[i]
		if at, ok := n.suspected[vm.name]; ok {
			if sim.now-at < 2*time.Second || !vm.alive || vm.paused || sim.isCut(i, n.index) {
				continue
			}
			delete(n.suspected, vm.name)
		}
		if vm.registered {
			n.entry.SetLimiter(shard, vm.name)
			return
		}
	}
	n.entry.SetLimiter(shard, "")
}

// settle sends the requests that are due, and applies decisions.
func (n *simulatedNode) settle() {
	for _, d := range n.entry.Decisions() {
		if since, ok := n.waiting[d.Operation]; ok {
			delete(n.waiting, d.Operation)
			n.finish(n.sim.byName[d.Organisation], d, n.sim.now-since)
		}
	}
	for _, r := range n.entry.Requests() {
		to := n.sim.index(r.VM)
		if to != n.index {
			n.sim.requests++
			n.sim.demands += len(r.Message.Demands)
		}
		n.sim.send(n.index, to, func(peer *simulatedNode) { peer.request(n, r.Message) })
	}
}

func (n *simulatedNode) request(from *simulatedNode, m currantloom.TokenRequest) {
	l := n.limiters[m.Shard]
	if l == nil {
		n.epoch++
		l = NewLimiter(n.sim.window, m.Shard, m.Shards, n.incarnation<<32|n.epoch)
		n.limiters[m.Shard] = l
		l.SetLimits(n.sim.now, n.sim.limits)
		l.SetRegistered(n.sim.now, n.sim.registered)
	}
	if a, ok := l.Request(n.sim.now, from.name, m); ok {
		n.answer(from.index, a)
	}
}

func (n *simulatedNode) answer(to int, a currantloom.TokenAnswer) {
	if to != n.index {
		n.sim.answers++
		n.sim.grants += len(a.Grants)
	}
	n.sim.send(n.index, to, func(peer *simulatedNode) {
		peer.entry.HandleAnswer(n.name, a)
		peer.settle()
	})
}

func (n *simulatedNode) operate(o *simulatedOrganisation) {
	n.wake()
	n.sim.serial++
	op := Operation(n.sim.serial)
	o.asked = append(o.asked, n.sim.now)
	d := n.entry.Take(o.name, op, op%7 == 0)
	if d.Outcome == Waiting {
		n.waiting[op] = n.sim.now
	} else {
		n.finish(o, d, 0)
	}
	n.settle()
}

// finish runs an operation that was granted.
func (n *simulatedNode) finish(o *simulatedOrganisation, d Decision, waited time.Duration) {
	sim := n.sim
	if d.Outcome == Refused {
		o.refused = append(o.refused, sim.now)
		return
	}
	if d.Outcome == GrantedAlone {
		o.alone++
	}
	o.waits = append(o.waits, wait{at: sim.now, duration: waited})
	incarnation := n.incarnation
	queued := time.Duration(sim.random.ExpFloat64() * float64(8*time.Millisecond))
	sim.after(queued, func() { o.runs = append(o.runs, sim.now) })
	sim.after(queued+10*time.Millisecond, func() {
		n.do(func() {
			if n.incarnation == incarnation {
				n.entry.Done(o.name)
			}
		})
	})
}
