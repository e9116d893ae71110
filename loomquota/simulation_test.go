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

// simulatedCandidates is how many VMs a node tries as limiter of a shard before it goes on alone.
const simulatedCandidates = 8

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
