package loomquota

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"currantloom.example/currantloom"
)

// limiterStep is the step between the VMs that are chosen as limiters one after the other, so that those which are cut
// off together are not neighbours.
const limiterStep = 37

// The simulation runs entries and limiters of many nodes in virtual time.

const (
	simulationTick = 20 * time.Millisecond
	// simulatedLease is how long a VM that was killed stays registered.
	simulatedLease = 12 * time.Second
)

// scenario describes the load of a simulation.
type scenario struct {
	nodes, organisations int
	seed                 uint64
	// rate is the number of operations per second of all organisations together, skew the exponent of their sizes.
	rate, skew float64
	// use is the demand in parts of the limit, swing the amplitude of its oscillation.
	use, swing float64
	// loss is the probability that a message is lost, late that it arrives up to a second late.
	loss, late float64
	duration   time.Duration
	window     currantloom.QuotaWindow
}

// simulation is the state of a run.
type simulation struct {
	scenario
	testing.TB
	random *rand.Rand
	now    time.Duration
	queue  simulatedEvents
	serial int
	nodes  []*simulatedNode
	// indices holds the index of each node, registered the names of those that are registered.
	indices    map[currantloom.VMName]int
	registered []currantloom.VMName
	limits     map[currantloom.OrganisationName]currantloom.RateLimit
	orgs       []*simulatedOrganisation
	byName     map[currantloom.OrganisationName]*simulatedOrganisation
	// lost reports whether a message from one node to another is lost.
	cut func(from, to int) bool
	// arrivals holds the time at which the last message of each link arrives.
	arrivals map[[2]int]time.Duration
	// requests, answers, demands and grants count what was sent between nodes.
	requests, answers, demands, grants int
}

type simulatedOrganisation struct {
	name    currantloom.OrganisationName
	demand  float64
	factor  func(time.Duration) float64
	weights []float64
	// allowed is the highest limit of the last window at each time.
	limit   currantloom.RateLimit
	runs    []time.Duration
	asked   []time.Duration
	refused []time.Duration
	alone   int
	waits   []wait
}

// wait is how long an operation that was granted has waited for its token.
type wait struct{ at, duration time.Duration }

type simulatedNode struct {
	sim   *simulation
	index int
	name  currantloom.VMName
	entry *Entry
	// limiters are those of the shards; they are nil until a node asks.
	limiters map[int]*Limiter
	alive    bool
	paused   bool
	// incarnation counts the starts of the process; epoch those of its limiter.
	incarnation, epoch uint64
	registered         bool
	suspected          map[currantloom.VMName]time.Duration
	seenAt, updatedAt  time.Duration
	waiting            map[Operation]time.Duration
	deferred           []func()
}

type simulatedEvent struct {
	at     time.Duration
	serial int
	run    func()
}

type simulatedEvents []simulatedEvent

func (q simulatedEvents) Len() int { return len(q) }
func (q simulatedEvents) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].serial, q[j].serial)) < 0
}
func (q simulatedEvents) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simulatedEvents) Push(e any)   { *q = append(*q, e.(simulatedEvent)) }
func (q *simulatedEvents) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newSimulation(t testing.TB, c scenario) *simulation {
	sim := &simulation{
		scenario: c, TB: t, random: rand.New(rand.NewPCG(c.seed, 1)),
		limits:  make(map[currantloom.OrganisationName]currantloom.RateLimit),
		byName:  make(map[currantloom.OrganisationName]*simulatedOrganisation),
		indices: make(map[currantloom.VMName]int),
		cut:     func(int, int) bool { return false }, arrivals: make(map[[2]int]time.Duration),
	}
	if sim.window == (currantloom.QuotaWindow{}) {
		sim.window = currantloom.QuotaWindow{Length: DefaultWindow, Overage: DefaultOverage, Slack: DefaultSlack}
	}
	sum := 0.0
	for i := range c.organisations {
		sum += math.Pow(float64(i+1), -c.skew)
	}
	for i := range c.organisations {
		o := &simulatedOrganisation{
			name:   currantloom.OrganisationName(fmt.Sprintf("org-%02d", i)),
			demand: c.rate * math.Pow(float64(i+1), -c.skew) / sum,
		}
		for range c.nodes {
			o.weights = append(o.weights, math.Pow(sim.random.Float64()*2, 2))
		}
		o.limit = currantloom.RateLimit{PerSecond: o.demand / c.use, Burst: o.demand / c.use}
		sim.limits[o.name] = o.limit
		sim.orgs, sim.byName[o.name] = append(sim.orgs, o), o
		phase := sim.random.Float64() * 2 * math.Pi
		o.factor = func(at time.Duration) float64 {
			return 1 + c.swing*math.Sin(2*math.Pi*at.Seconds()/13+phase)
		}
	}
	for i := range c.nodes {
		n := &simulatedNode{sim: sim, index: i, name: currantloom.VMName(fmt.Sprintf("vm-%d", i))}
		sim.nodes = append(sim.nodes, n)
		sim.indices[n.name] = i
		n.setRegistered(true)
	}
	for _, n := range sim.nodes {
		n.start()
	}
	for _, o := range sim.orgs {
		sim.scheduleArrival(o)
	}
	return sim
}

func (sim *simulation) after(d time.Duration, f func()) {
	sim.serial++
	heap.Push(&sim.queue, simulatedEvent{at: sim.now + d, serial: sim.serial, run: f})
}

// run runs the simulation until its end.
func (sim *simulation) run() *simulation {
	for len(sim.queue) > 0 {
		e := heap.Pop(&sim.queue).(simulatedEvent)
		if e.at > sim.duration {
			break
		}
		sim.now = e.at
		e.run()
	}
	return sim
}

// delay returns the one-way delay between two nodes: within a failure domain, between them, or between regions.
func (sim *simulation) delay(from, to int) time.Duration {
	d := time.Duration(sim.random.Int64N(int64(4*time.Millisecond))) + time.Millisecond
	switch {
	case from == to:
		return 0
	case from%6 == to%6:
		d = 200 * time.Microsecond
	case from%2 != to%2:
		d += 28 * time.Millisecond
	}
	if sim.random.Float64() < sim.late {
		d += time.Duration(sim.random.Int64N(int64(time.Second)))
	}
	return d
}

// send delivers a message after the delay of the network, after the messages that were sent to the node before. Only if
// messages are late may they overtake each other.
func (sim *simulation) send(from, to int, deliver func(*simulatedNode)) {
	if from != to {
		if sim.random.Float64() < sim.loss {
			return
		}
	}
	peer := sim.nodes[to]
	link, d := [2]int{from, to}, sim.delay(from, to)
	if sim.late == 0 {
		d = max(d, sim.arrivals[link]-sim.now)
		sim.arrivals[link] = sim.now + d
	}
	sim.after(d, func() {
		if from != to && sim.cut(from, to) {
			return
		}
		peer.do(func() { deliver(peer) })
	})
}

// setRegistered changes whether a node is registered.
func (n *simulatedNode) setRegistered(registered bool) {
	n.registered = registered
	n.sim.registered = slices.DeleteFunc(n.sim.registered, func(vm currantloom.VMName) bool { return vm == n.name })
	if registered {
		n.sim.registered = append(n.sim.registered, n.name)
	}
}

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
	for k := range sim.nodes {
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

// scheduleArrival draws the next operation of an organisation.
func (sim *simulation) scheduleArrival(o *simulatedOrganisation) {
	most := 8 * o.demand
	sim.after(time.Duration(sim.random.ExpFloat64()/most*float64(time.Second)), func() {
		if sim.random.Float64()*most < o.demand*o.factor(sim.now) {
			sim.arrive(o)
		}
		sim.scheduleArrival(o)
	})
}

func (sim *simulation) arrive(o *simulatedOrganisation) {
	sum := 0.0
	for i, n := range sim.nodes {
		if n.alive && !n.paused {
			sum += o.weights[i]
		}
	}
	pick := sim.random.Float64() * sum
	for i, n := range sim.nodes {
		if !n.alive || n.paused {
			continue
		}
		if pick -= o.weights[i]; pick <= 0 {
			n.operate(o)
			return
		}
	}
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

// kill ends a process and starts it again after a time.
func (sim *simulation) kill(i int, down time.Duration) {
	n := sim.nodes[i]
	n.alive = false
	incarnation := n.incarnation
	for _, other := range sim.nodes {
		if other != n && !sim.cut(i, other.index) {
			other.suspected[n.name] = sim.now
		}
	}
	sim.after(min(down, simulatedLease), func() {
		if n.incarnation == incarnation {
			n.setRegistered(false)
		}
	})
	sim.after(down, func() {
		if n.incarnation == incarnation {
			n.start()
		}
	})
}

// pause suspends a process for a time.
func (sim *simulation) pause(i int, d time.Duration) {
	n := sim.nodes[i]
	n.paused = true
	incarnation := n.incarnation
	sim.after(d, func() {
		if n.incarnation != incarnation {
			return
		}
		n.paused = false
		deferred := n.deferred
		n.deferred = nil
		for _, f := range deferred {
			n.do(f)
		}
	})
}

// checkBound fails the test if more operations ran in any window than the limit allows. It returns the highest part of
// the allowed number that was reached.
func (sim *simulation) checkBound(allowed func(o *simulatedOrganisation, from, to time.Duration) float64) float64 {
	highest := 0.0
	for _, o := range sim.orgs {
		slices.Sort(o.runs)
		first := 0
		for last, at := range o.runs {
			for o.runs[first] <= at-sim.window.Length {
				first++
			}
			count := float64(last - first + 1)
			most := allowed(o, at-sim.window.Length, at)
			highest = max(highest, count/most)
			if count > most {
				sim.Errorf("%s: %.0f operations in the window before %v, at most %.1f are allowed", o.name, count, at, most)
				break
			}
		}
	}
	return highest
}

// constantBound is the bound of limits that do not change.
func (sim *simulation) constantBound(o *simulatedOrganisation, _, _ time.Duration) float64 {
	return (o.limit.PerSecond*sim.window.Length.Seconds()+o.limit.Burst)*(1+sim.window.Overage) + sim.window.Slack
}

// refusedShare returns the share of the operations that were refused within a time, of all organisations.
func (sim *simulation) refusedShare(from, to time.Duration) float64 {
	refused, asked := 0, 0
	within := func(times []time.Duration) int {
		n := 0
		for _, at := range times {
			if at >= from && at < to {
				n++
			}
		}
		return n
	}
	for _, o := range sim.orgs {
		refused, asked = refused+within(o.refused), asked+within(o.asked)
	}
	return float64(refused) / float64(max(1, asked))
}

// waits returns the median, the 99th percentile and the longest wait for a token from a time on.
func (sim *simulation) waits(from time.Duration) (median, high, longest time.Duration) {
	var all []time.Duration
	for _, o := range sim.orgs {
		for _, w := range o.waits {
			if w.at >= from {
				all = append(all, w.duration)
			}
		}
	}
	slices.Sort(all)
	return all[len(all)/2], all[len(all)*99/100], all[len(all)-1]
}
