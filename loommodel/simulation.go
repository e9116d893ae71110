package loommodel

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomfleet"
)

// Names of the components that are neither nodes nor upstreams.
const (
	storeName = "store"
	cloudName = "cloud"
)

// Options configures the size of a simulation. Zero values select 3 nodes, 1 service, 12 clients, a replication lag of
// 20 ms, a think time of 60 ms and a promotion time of PromotionTime.
type Options struct {
	Nodes, Services, Clients int
	// ReplicationLag is the mean time from the receipt of an entry at a replica until the replica applies it.
	ReplicationLag time.Duration
	// ThinkTime is the mean pause of a client between two operations.
	ThinkTime time.Duration
	// PromotionTime is the time from an accepted request for promotion until the upstream leads.
	PromotionTime time.Duration
	// Faultless says that no fault is injected, so that every change of primary, every upstream that counts as
	// unreachable, and every refused or late statement of a client that is not hostile is a violation.
	Faultless bool
	// EndingPercent is the percentage of the texts of hostile clients on which upstreams end the connection.
	EndingPercent int
	// BalanceReads is passed to the nodes.
	BalanceReads bool
}

func (o Options) withDefaults() Options {
	set := func(value *int, other int) {
		if *value == 0 {
			*value = other
		}
	}
	set(&o.Nodes, 3)
	set(&o.Services, 1)
	set(&o.Clients, 12)
	if o.ReplicationLag == 0 {
		o.ReplicationLag = 20 * time.Millisecond
	}
	if o.ThinkTime == 0 {
		o.ThinkTime = 60 * time.Millisecond
	}
	if o.PromotionTime == 0 {
		o.PromotionTime = PromotionTime
	}
	return o
}

// Simulation is a simulated deployment in virtual time.
type Simulation struct {
	options Options
	random  *rand.Rand
	// shapeRandom draws what clients send beside the draws of random, if drawsShapes is set.
	shapeRandom *rand.Rand
	drawsShapes bool
	// promotionEndsPauses says that a promotion ends the pauses of all replicas of the service, not only that of the
	// new primary. Nodes must cope with both.
	promotionEndsPauses bool
	virtualTime

	nodes     []*node
	upstreams []*upstream
	store     *store
	cloud     *cloud
	clients   []*client
	oracle    *oracle
	// partitions holds the pairs {from, to} of components between which all messages are dropped.
	partitions map[[2]string]bool
	// abandonedConns holds the connections that a node closed before the upstream had accepted them.
	abandonedConns map[connKey]bool
	// lastArrivals holds the arrival time of the last message of each pair {from, to}.
	lastArrivals map[[2]string]time.Duration
	// Trace is called with every decision of every node, if it is set.
	Trace func(at time.Duration, vm currantloom.VMName, d loomfleet.Decision)
}

// New returns a simulation with all nodes started.
func New(seed uint64, o Options) *Simulation {
	o = o.withDefaults()
	sim := &Simulation{
		options: o, random: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)), partitions: make(map[[2]string]bool),
		abandonedConns: make(map[connKey]bool), shapeRandom: rand.New(rand.NewPCG(seed, seed^0x6a09e667f3bcc908)),
		lastArrivals: make(map[[2]string]time.Duration), promotionEndsPauses: seed%2 == 1,
	}
	sim.oracle = newOracle(sim)
	sim.store = newStore(sim)
	sim.cloud = &cloud{sim: sim, fences: make(map[currantloom.ServiceName]uint64)}
	for i := range o.Services {
		sim.addService(i)
	}
	sim.store.configure(o.Services)
	for i := range o.Nodes {
		sim.nodes = append(sim.nodes, newNode(sim, i))
	}
	for _, n := range sim.nodes {
		n.start()
	}
	return sim
}

// Violations returns the violations that the oracle found, at most maxViolations.
func (sim *Simulation) Violations() []string { return sim.oracle.violations }

// Stats returns the counters of the simulation.
func (sim *Simulation) Stats() Stats { return sim.oracle.stats }

// Partition drops all messages from one component to another, and if bidirectional also those in the other direction.
func (sim *Simulation) Partition(from, to string, bidirectional bool) {
	sim.partitions[[2]string{from, to}] = true
	if bidirectional {
		sim.partitions[[2]string{to, from}] = true
	}
}

// Heal removes all partitions.
func (sim *Simulation) Heal() { clear(sim.partitions) }

func (sim *Simulation) reaches(from, to string) bool { return !sim.partitions[[2]string{from, to}] }

// networkDelay returns the delay of a message that is sent now. Messages of a pair arrive in the order of sending.
func (sim *Simulation) networkDelay(from, to string) time.Duration {
	base := 300 * time.Microsecond
	if sim.locationOf(from).Region() != sim.locationOf(to).Region() {
		base = 30 * time.Millisecond
	}
	at := sim.now + base + time.Duration(sim.random.Int64N(int64(300*time.Microsecond)))
	pair := [2]string{from, to}
	at = max(at, sim.lastArrivals[pair]+1)
	sim.lastArrivals[pair] = at
	return at - sim.now
}

// locations are the failure domains of the model. Nodes are assigned to them in turn, and every service has one
// upstream in each.
var locations = []currantloom.Location{
	currantloom.NewLocation("ost", "linz"), currantloom.NewLocation("ost", "steyr"),
	currantloom.NewLocation("west", "ibk"),
}

func (sim *Simulation) locationOf(name string) currantloom.Location {
	for _, n := range sim.nodes {
		if n.name == name {
			return n.location
		}
	}
	for _, u := range sim.upstreams {
		if u.name == name {
			return u.location
		}
	}
	return locations[0]
}

// Nodes returns the names of the nodes.
func (sim *Simulation) Nodes() []string {
	names := make([]string, len(sim.nodes))
	for i, n := range sim.nodes {
		names[i] = n.name
	}
	return names
}

// Upstreams returns the names of the upstreams.
func (sim *Simulation) Upstreams() []string {
	names := make([]string, len(sim.upstreams))
	for i, u := range sim.upstreams {
		names[i] = u.name
	}
	return names
}

// Primary returns the name of the current primary of a service, or an empty string if there is none.
func (sim *Simulation) Primary(service int) string {
	for _, u := range sim.upstreams {
		if u.service.index == service && u.primary {
			return u.name
		}
	}
	return ""
}

func (sim *Simulation) addService(i int) {
	svc := &service{index: i, name: currantloom.ServiceName(fmt.Sprintf("service-%d", i+1))}
	for j, location := range locations {
		u := &upstream{
			sim: sim, name: fmt.Sprintf("u-%d%c", i+1, 'a'+j), location: location, service: svc, alive: true,
			incarnation: 1, slots: 2, maxConnections: 16, conns: make(map[connKey]*upstreamConn),
			pendingConns: make(map[connKey]bool),
		}
		svc.upstreams = append(svc.upstreams, u)
		sim.upstreams = append(sim.upstreams, u)
	}
	first := svc.upstreams[i%len(svc.upstreams)]
	first.primary, svc.term = true, 1
	for _, u := range svc.upstreams {
		u.term = 1
		u.log = []*logEntry{{term: 1, index: 1}}
		u.applied = 1
	}
}

func (sim *Simulation) node(name string) *node {
	i := slices.IndexFunc(sim.nodes, func(n *node) bool { return n.name == name })
	if i < 0 {
		return nil
	}
	return sim.nodes[i]
}

func (sim *Simulation) upstream(name string) *upstream {
	i := slices.IndexFunc(sim.upstreams, func(u *upstream) bool { return u.name == name })
	if i < 0 {
		return nil
	}
	return sim.upstreams[i]
}
