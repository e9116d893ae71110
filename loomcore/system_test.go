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
	worldDatabase    = currantloom.DatabaseName("wheel-core-1")
	replicateEvery   = 10 * time.Millisecond
	callTimeout      = 400 * time.Millisecond
	confirmWait      = time.Second
	linkGrace        = 500 * time.Millisecond
	nodeCount        = 4
	slotsPerServer   = 2
	connectionsLimit = 16
)

// world runs several States against modelled servers in virtual time. Every delay comes from one random source, so
// that a seed gives the same run.
type world struct {
	now      time.Duration
	sequence int
	queue    timeline
	random   *rand.Rand
	nodes    []*modelNode
	servers  []*modelServer
	list     currantloom.VMSet
	oracle   oracle
	fail     func(format string, args ...any)
	counts   map[string]int
	// trace is a hash of all effects, to compare two runs.
	trace   hash.Hash64
	configs map[currantloom.VMName]loomcore.Config
}

// modelNode is one State with its pending events.
type modelNode struct {
	world   *world
	name    currantloom.VMName
	state   *loomcore.State
	started time.Duration
	paused  bool
	dead    bool
	life    int
	side    int
	backlog []func()
	works   map[currantloom.RequestKey]*modelWork
	numbers uint64
}

// modelWork is a request at its carrier.
type modelWork struct {
	header   currantloom.RequestHeader
	answer   func(currantloom.ResponseTrailer)
	withheld func(accepted bool, t currantloom.ResponseTrailer)
	seen     []int
}

type scheduled struct {
	at       time.Duration
	sequence int
	run      func()
}

type timeline []scheduled

func (t timeline) Len() int { return len(t) }
func (t timeline) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(t[i].at, t[j].at), cmp.Compare(t[i].sequence, t[j].sequence)) < 0
}
func (t timeline) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timeline) Push(x any)   { *t = append(*t, x.(scheduled)) }
func (t *timeline) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

func newWorld(seed uint64, fail func(string, ...any)) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 1)), fail: fail, counts: make(map[string]int), oracle: newOracle(),
		configs: make(map[currantloom.VMName]loomcore.Config), trace: fnv.New64a(),
	}
	domains := []currantloom.Location{
		currantloom.NewLocation("ost", "ost-linz"), currantloom.NewLocation("ost", "ost-steyr"),
		currantloom.NewLocation("west", "west-ibk"),
	}
	var described []currantloom.PostgresUpstream
	for i, domain := range domains {
		name := currantloom.UpstreamName(fmt.Sprintf("%s-%c", worldDatabase, 'a'+i))
		described = append(described, currantloom.NewPostgresUpstream(name, worldDatabase, "", domain))
		m := &modelServer{name: name, term: 1, granted: 1, primary: described[0].Name(), log: []logEntry{{term: 1}},
			running: make(map[currantloom.RequestKey]bool)}
		if i == 0 {
			m.role = currantloom.RolePrimary
		}
		w.servers = append(w.servers, m)
	}
	databases := []currantloom.Database{
		currantloom.NewDatabase(worldDatabase, slotsPerServer, connectionsLimit, described),
	}
	for i := range nodeCount {
		name := currantloom.VMName(fmt.Sprintf("vm-%d", i+1))
		vm := currantloom.NewVM(name, domains[i%len(domains)], "", "", currantloom.VMLive)
		w.list.VMs = append(w.list.VMs, vm)
	}
	w.list.Index = 1
	for i, vm := range w.list.VMs {
		n := &modelNode{world: w, name: vm.Name()}
		w.nodes = append(w.nodes, n)
		w.configs[vm.Name()] = loomcore.Config{Self: vm.Name(), Location: domains[i%len(domains)], Databases: databases}
		n.boot(w.nodeConfig(n))
	}
	w.after(replicateEvery, w.replicate)
	return w
}

// after schedules a function.
func (w *world) after(d time.Duration, run func()) {
	w.sequence++
	heap.Push(&w.queue, scheduled{at: w.now + d, sequence: w.sequence, run: run})
}

// run lets virtual time pass.
func (w *world) run(d time.Duration) {
	end := w.now + d
	for len(w.queue) > 0 && w.queue[0].at <= end {
		next := heap.Pop(&w.queue).(scheduled)
		w.now = next.at
		next.run()
	}
	w.now = end
}

// delay returns a network delay, at times a long one.
func (w *world) delay() time.Duration {
	if w.random.IntN(20) == 0 {
		return time.Duration(w.random.IntN(60)) * time.Millisecond
	}
	return time.Duration(300+w.random.IntN(700)) * time.Microsecond
}

func (w *world) server(name currantloom.UpstreamName) *modelServer {
	i := slices.IndexFunc(w.servers, func(m *modelServer) bool { return m.name == name })
	return w.servers[i]
}

func (w *world) node(name currantloom.VMName) *modelNode {
	i := slices.IndexFunc(w.nodes, func(n *modelNode) bool { return n.name == name })
	return w.nodes[i]
}

func (w *world) replicate() {
	for _, r := range w.servers {
		p := w.server(r.primary)
		up := !r.dead && !r.paused && !p.dead && !p.paused && r.side == p.side
		current := r.role == currantloom.RoleReplica && p.role == currantloom.RolePrimary && p.term == r.term
		if up && current {
			r.replicate(p, w.now)
		}
	}
	w.after(replicateEvery, w.replicate)
}

// boot starts the node with an empty state.
func (n *modelNode) boot(c loomcore.Config) {
	n.life++
	n.state = loomcore.New(c)
	n.started = n.world.now
	n.works = make(map[currantloom.RequestKey]*modelWork)
	n.backlog = nil
	n.dead, n.paused = false, false
	n.submit(func(s loomcore.Stamp) loomcore.Event { return loomcore.VMsReceived{Stamp: s, Set: n.world.list} })
	life := n.life
	var tick func()
	tick = func() {
		if n.life != life || n.dead {
			return
		}
		if !n.paused {
			n.submit(func(s loomcore.Stamp) loomcore.Event { return loomcore.Tick{Stamp: s} })
		}
		n.world.after(loomcore.TickInterval, tick)
	}
	n.world.after(loomcore.TickInterval, tick)
}

// submit applies an event now, or when the node resumes.
func (n *modelNode) submit(event func(loomcore.Stamp) loomcore.Event) {
	life := n.life
	n.deliver(func() {
		if n.life != life {
			return
		}
		stamp := loomcore.Stamp{Now: n.world.now - n.started, Random: n.world.random.Uint64()}
		for _, e := range slices.Clone(n.state.Reduce(event(stamp))) {
			n.execute(e)
		}
	})
}

// deliver runs now, or when the node resumes; never on a dead node.
func (n *modelNode) deliver(run func()) {
	switch {
	case n.dead:
	case n.paused:
		n.backlog = append(n.backlog, run)
	default:
		run()
	}
}

func (n *modelNode) resume() {
	n.paused = false
	pending := n.backlog
	n.backlog = nil
	for _, run := range pending {
		n.deliver(run)
	}
}

// execute carries out an effect.
func (n *modelNode) execute(e loomcore.Effect) {
	_, _ = fmt.Fprintf(n.world.trace, "%v %s %T %+v\n", n.world.now, n.name, e, e)
	switch e := e.(type) {
	case loomcore.Decision:
		n.world.counts["decision "+e.Event]++
	case loomcore.PollStatus:
		n.poll(e)
	case loomcore.RaiseTerm:
		n.raise(e)
	case loomcore.Promote:
		n.lead(e)
	case loomcore.Follow:
		n.follow(e)
	case loomcore.Forward:
		n.forward(e)
	case loomcore.Respond:
		n.world.oracle.answered(n.world, e.Key, e.Trailer)
	case loomcore.CancelForward:
		n.cancel(e)
	case loomcore.Run:
		n.run(e)
	case loomcore.Acknowledge:
		n.decide(e.Key, true, currantloom.ResponseTrailer{})
	case loomcore.Reject:
		n.decide(e.Key, false, e.Trailer)
	case loomcore.Complete:
		n.finishWork(e.Key, e.Trailer)
	case loomcore.ConfirmPosition:
		n.confirm(e)
	}
}

// call sends a request to a server and its answer back; without connection it times out, a dead server refuses. A node
// that has restarted meanwhile gets no answer, since its times would be those of the earlier process.
func (n *modelNode) call(name currantloom.UpstreamName, serve func(*modelServer) func(), failed func(refused bool)) {
	w := n.world
	m := w.server(name)
	done, life := false, n.life
	deliver := func(answer func()) {
		n.deliver(func() {
			if n.life == life {
				answer()
			}
		})
	}
	w.after(w.delay(), func() {
		switch {
		case m.side != n.side || m.paused:
		case m.dead:
			done = true
			deliver(func() { failed(true) })
		default:
			answer := serve(m)
			w.after(w.delay(), func() {
				if m.side == n.side && !done {
					done = true
					deliver(answer)
				}
			})
		}
	})
	w.after(callTimeout, func() {
		if !done {
			done = true
			deliver(func() { failed(false) })
		}
	})
}

func (n *modelNode) poll(e loomcore.PollStatus) {
	sent := n.world.now - n.started
	n.call(e.Upstream, func(m *modelServer) func() {
		status := m.status(n.world.now)
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

func (n *modelNode) raise(e loomcore.RaiseTerm) {
	answer := func(g currantloom.TermGrant, failed bool) {
		n.submit(func(s loomcore.Stamp) loomcore.Event {
			return loomcore.RaiseTermAnswered{Stamp: s, Upstream: e.Upstream, Term: e.Term, Grant: g, Failed: failed}
		})
	}
	n.call(e.Upstream, func(m *modelServer) func() {
		g := m.raise(e.Term, n.name)
		return func() { answer(g, false) }
	}, func(bool) { answer(currantloom.TermGrant{}, true) })
}

func (n *modelNode) lead(e loomcore.Promote) {
	answer := func(failed bool) {
		n.submit(func(s loomcore.Stamp) loomcore.Event {
			return loomcore.PromoteAnswered{Stamp: s, Upstream: e.Upstream, Term: e.Term, Failed: failed}
		})
	}
	n.call(e.Upstream, func(m *modelServer) func() {
		ok := m.lead(e.Term, n.world.now)
		if ok {
			n.world.oracle.led(n.world, m)
		}
		return func() { answer(!ok) }
	}, func(bool) { answer(true) })
}

func (n *modelNode) follow(e loomcore.Follow) {
	n.call(e.Upstream, func(m *modelServer) func() {
		m.follow(e.Term, e.Primary, n.world.now)
		return func() {}
	}, func(bool) {})
}

func (n *modelNode) confirm(e loomcore.ConfirmPosition) {
	answer := func(status currantloom.PostgresStatus, failed bool) {
		n.submit(func(s loomcore.Stamp) loomcore.Event {
			return loomcore.ConfirmPositionAnswered{Stamp: s, Key: e.Key, Upstream: e.Upstream, Status: status, Failed: failed}
		})
	}
	n.call(e.Upstream, func(m *modelServer) func() {
		status := m.status(n.world.now)
		return func() { answer(status, false) }
	}, func(bool) { answer(currantloom.PostgresStatus{}, true) })
}
