package loomcore_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"hash"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomcore"
)

const (
	simulatedDatabase      = currantloom.DatabaseName("wheel-core-1")
	replicationInterval    = 10 * time.Millisecond
	callTimeout            = 400 * time.Millisecond
	confirmWait            = time.Second
	linkGrace              = 500 * time.Millisecond
	nodeCount              = 4
	slotsPerUpstream       = 2
	connectionsPerUpstream = 16
)

// simulation runs several States against simulated upstreams in virtual time. Every delay comes from one random source,
// so that a seed always gives the same run.
type simulation struct {
	now       time.Duration
	sequence  int
	queue     callQueue
	random    *rand.Rand
	nodes     []*simulatedNode
	upstreams []*simulatedUpstream
	vmSet     currantloom.VMSet
	oracle    oracle
	fail      func(format string, args ...any)
	counts    map[string]int
	// trace is a hash of all effects, to compare two runs.
	trace   hash.Hash64
	configs map[currantloom.VMName]loomcore.Config
}

// simulatedNode is one State with its pending events.
type simulatedNode struct {
	sim           *simulation
	name          currantloom.VMName
	state         *loomcore.State
	started       time.Duration
	paused        bool
	dead          bool
	incarnation   int
	partitionSide int
	deferred      []func()
	attempts      map[currantloom.RequestKey]*simulatedAttempt
	lastNumber    uint64
}

// simulatedAttempt is an attempt of a request at the owner.
type simulatedAttempt struct {
	header           currantloom.RequestHeader
	respond          func(currantloom.ResponseTrailer)
	decideCompletion func(accepted bool, t currantloom.ResponseTrailer)
	visibleWrites    []int
}

type scheduledCall struct {
	at       time.Duration
	sequence int
	run      func()
}

type callQueue []scheduledCall

func (q callQueue) Len() int { return len(q) }
func (q callQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].sequence, q[j].sequence)) < 0
}
func (q callQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *callQueue) Push(x any)   { *q = append(*q, x.(scheduledCall)) }
func (q *callQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newSimulation(seed uint64, fail func(string, ...any)) *simulation {
	sim := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), fail: fail, counts: make(map[string]int), oracle: newOracle(),
		configs: make(map[currantloom.VMName]loomcore.Config), trace: fnv.New64a(),
	}
	domains := []currantloom.Location{
		currantloom.NewLocation("ost", "ost-linz"), currantloom.NewLocation("ost", "ost-steyr"),
		currantloom.NewLocation("west", "west-ibk"),
	}
	var described []currantloom.PostgresUpstream
	for i, domain := range domains {
		name := currantloom.UpstreamName(fmt.Sprintf("%s-%c", simulatedDatabase, 'a'+i))
		described = append(described, currantloom.NewPostgresUpstream(name, simulatedDatabase, "", domain))
		u := &simulatedUpstream{name: name, term: 1, grantedTerm: 1, primary: described[0].Name(), log: []logEntry{{term: 1}},
			running: make(map[currantloom.RequestKey]bool)}
		if i == 0 {
			u.role = currantloom.RolePrimary
		}
		sim.upstreams = append(sim.upstreams, u)
	}
	databases := []currantloom.Database{
		currantloom.NewDatabase(simulatedDatabase, slotsPerUpstream, connectionsPerUpstream, described),
	}
	for i := range nodeCount {
		name := currantloom.VMName(fmt.Sprintf("vm-%d", i+1))
		vm := currantloom.NewVM(name, domains[i%len(domains)], "", "", currantloom.VMLive)
		sim.vmSet.VMs = append(sim.vmSet.VMs, vm)
	}
	sim.vmSet.Index = 1
	for i, vm := range sim.vmSet.VMs {
		n := &simulatedNode{sim: sim, name: vm.Name()}
		sim.nodes = append(sim.nodes, n)
		sim.configs[vm.Name()] = loomcore.Config{Self: vm.Name(), Location: domains[i%len(domains)], Databases: databases}
		n.start(sim.nodeConfig(n))
	}
	sim.after(replicationInterval, sim.replicate)
	return sim
}

// after schedules a function.
func (sim *simulation) after(d time.Duration, run func()) {
	sim.sequence++
	heap.Push(&sim.queue, scheduledCall{at: sim.now + d, sequence: sim.sequence, run: run})
}

// run advances the virtual time.
func (sim *simulation) run(d time.Duration) {
	end := sim.now + d
	for len(sim.queue) > 0 && sim.queue[0].at <= end {
		next := heap.Pop(&sim.queue).(scheduledCall)
		sim.now = next.at
		next.run()
	}
	sim.now = end
}

// delay returns a network delay, which is sometimes a long one.
func (sim *simulation) delay() time.Duration {
	if sim.random.IntN(20) == 0 {
		return time.Duration(sim.random.IntN(60)) * time.Millisecond
	}
	return time.Duration(300+sim.random.IntN(700)) * time.Microsecond
}

func (sim *simulation) upstream(name currantloom.UpstreamName) *simulatedUpstream {
	i := slices.IndexFunc(sim.upstreams, func(u *simulatedUpstream) bool { return u.name == name })
	return sim.upstreams[i]
}

func (sim *simulation) node(name currantloom.VMName) *simulatedNode {
	i := slices.IndexFunc(sim.nodes, func(n *simulatedNode) bool { return n.name == name })
	return sim.nodes[i]
}

func (sim *simulation) replicate() {
	for _, r := range sim.upstreams {
		p := sim.upstream(r.primary)
		up := !r.dead && !r.paused && !p.dead && !p.paused && r.partitionSide == p.partitionSide
		current := r.role == currantloom.RoleReplica && p.role == currantloom.RolePrimary && p.term == r.term
		if up && current {
			r.replicate(p, sim.now)
		}
	}
	sim.after(replicationInterval, sim.replicate)
}

// start starts the node with an empty state.
func (n *simulatedNode) start(c loomcore.Config) {
	n.incarnation++
	n.state = loomcore.New(c)
	n.started = n.sim.now
	n.attempts = make(map[currantloom.RequestKey]*simulatedAttempt)
	n.deferred = nil
	n.dead, n.paused = false, false
	n.submit(func(s loomcore.Stamp) loomcore.Event { return loomcore.VMsReceived{Stamp: s, Set: n.sim.vmSet} })
	incarnation := n.incarnation
	var tick func()
	tick = func() {
		if n.incarnation != incarnation || n.dead {
			return
		}
		if !n.paused {
			n.submit(func(s loomcore.Stamp) loomcore.Event { return loomcore.Tick{Stamp: s} })
		}
		n.sim.after(loomcore.TickInterval, tick)
	}
	n.sim.after(loomcore.TickInterval, tick)
}

// submit applies an event now, or when the node resumes.
func (n *simulatedNode) submit(event func(loomcore.Stamp) loomcore.Event) {
	incarnation := n.incarnation
	n.deliver(func() {
		if n.incarnation != incarnation {
			return
		}
		stamp := loomcore.Stamp{Now: n.sim.now - n.started, Random: n.sim.random.Uint64()}
		for _, e := range slices.Clone(n.state.Reduce(event(stamp))) {
			n.execute(e)
		}
	})
}

// deliver runs the function now, or when the node resumes; never on a dead node.
func (n *simulatedNode) deliver(run func()) {
	switch {
	case n.dead:
	case n.paused:
		n.deferred = append(n.deferred, run)
	default:
		run()
	}
}

func (n *simulatedNode) resume() {
	n.paused = false
	pending := n.deferred
	n.deferred = nil
	for _, run := range pending {
		n.deliver(run)
	}
}

// execute applies an effect.
func (n *simulatedNode) execute(e loomcore.Effect) {
	_, _ = fmt.Fprintf(n.sim.trace, "%v %s %T %+v\n", n.sim.now, n.name, e, e)
	switch e := e.(type) {
	case loomcore.Decision:
		n.sim.counts["decision "+e.Event]++
	case loomcore.PollStatus:
		n.poll(e)
	case loomcore.RaiseTerm:
		n.raiseTerm(e)
	case loomcore.Promote:
		n.promote(e)
	case loomcore.Follow:
		n.follow(e)
	case loomcore.Forward:
		n.forward(e)
	case loomcore.Respond:
		n.sim.oracle.checkAnswer(n.sim, e.Key, e.Trailer)
	case loomcore.CancelForward:
		n.cancelForward(e)
	case loomcore.Run:
		n.runAttempt(e)
	case loomcore.Acknowledge:
		n.applyDecision(e.Key, true, currantloom.ResponseTrailer{})
	case loomcore.Reject:
		n.applyDecision(e.Key, false, e.Trailer)
	case loomcore.Complete:
		n.finishAttempt(e.Key, e.Trailer)
	case loomcore.ConfirmPosition:
		n.confirmPosition(e)
	}
}

// call sends a request to an upstream and its answer back. Without a connection it times out; a dead upstream refuses
// it. A node that has restarted meanwhile gets no answer, since its times would be those of the earlier process.
func (n *simulatedNode) call(
	name currantloom.UpstreamName, serve func(*simulatedUpstream) func(), failed func(refused bool),
) {
	sim := n.sim
	u := sim.upstream(name)
	done, incarnation := false, n.incarnation
	deliver := func(answer func()) {
		n.deliver(func() {
			if n.incarnation == incarnation {
				answer()
			}
		})
	}
	sim.after(sim.delay(), func() {
		switch {
		case u.partitionSide != n.partitionSide || u.paused:
		case u.dead:
			done = true
			deliver(func() { failed(true) })
		default:
			answer := serve(u)
			sim.after(sim.delay(), func() {
				if u.partitionSide == n.partitionSide && !done {
					done = true
					deliver(answer)
				}
			})
		}
	})
	sim.after(callTimeout, func() {
		if !done {
			done = true
			deliver(func() { failed(false) })
		}
	})
}

func (n *simulatedNode) poll(e loomcore.PollStatus) {
	sent := n.sim.now - n.started
	n.call(e.Upstream, func(u *simulatedUpstream) func() {
		status := u.status(n.sim.now)
		return func() {
			n.submit(func(s loomcore.Stamp) loomcore.Event {
				return loomcore.StatusReceived{Stamp: s, Upstream: e.Upstream, SentAt: sent, Status: status}
			})
		}
	}, func(refused bool) {
		n.submit(func(s loomcore.Stamp) loomcore.Event {
			return loomcore.StatusFailed{Stamp: s, Upstream: e.Upstream, SentAt: sent, ConnectionRefused: refused}
		})
	})
}

func (n *simulatedNode) raiseTerm(e loomcore.RaiseTerm) {
	answer := func(g currantloom.TermGrant, failed bool) {
		n.submit(func(s loomcore.Stamp) loomcore.Event {
			return loomcore.RaiseTermAnswered{Stamp: s, Upstream: e.Upstream, Term: e.Term, Grant: g, Failed: failed}
		})
	}
	n.call(e.Upstream, func(u *simulatedUpstream) func() {
		g := u.raiseTerm(e.Term, n.name)
		return func() { answer(g, false) }
	}, func(bool) { answer(currantloom.TermGrant{}, true) })
}

func (n *simulatedNode) promote(e loomcore.Promote) {
	answer := func(failed bool) {
		n.submit(func(s loomcore.Stamp) loomcore.Event {
			return loomcore.PromoteAnswered{Stamp: s, Upstream: e.Upstream, Term: e.Term, Failed: failed}
		})
	}
	n.call(e.Upstream, func(u *simulatedUpstream) func() {
		ok := u.promote(e.Term, n.sim.now)
		if ok {
			n.sim.oracle.checkPromotion(n.sim, u)
		}
		return func() { answer(!ok) }
	}, func(bool) { answer(true) })
}

func (n *simulatedNode) follow(e loomcore.Follow) {
	n.call(e.Upstream, func(u *simulatedUpstream) func() {
		u.follow(e.Term, e.Primary, n.sim.now)
		return func() {}
	}, func(bool) {})
}

func (n *simulatedNode) confirmPosition(e loomcore.ConfirmPosition) {
	answer := func(status currantloom.PostgresStatus, failed bool) {
		n.submit(func(s loomcore.Stamp) loomcore.Event {
			return loomcore.ConfirmPositionAnswered{Stamp: s, Key: e.Key, Upstream: e.Upstream, Status: status, Failed: failed}
		})
	}
	n.call(e.Upstream, func(u *simulatedUpstream) func() {
		status := u.status(n.sim.now)
		return func() { answer(status, false) }
	}, func(bool) { answer(currantloom.PostgresStatus{}, true) })
}
