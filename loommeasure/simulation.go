package loommeasure

import (
	"math/rand/v2"
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomcore"
	"currantloom.example/currantloom/loomrules"
)

// policy selects loomcore's decisions or a baseline that replaces a part of them.
type policy uint8

const (
	policyLoomcore policy = iota
	// policyFIFO queues attempts in order of arrival, one queue per upstream, without classes, shares or refusals
	// before the deadline has passed.
	policyFIFO
	// policySplitConnections gives each entry node an equal part of the connections and a queue of its own.
	policySplitConnections
	// policyPrimaryReads sends all reads to the primary.
	policyPrimaryReads
	// policyNoToken lets replicas serve only sessions that have not written.
	policyNoToken
	// policyNoSuspicion detects a failed primary only by polls without an answer; failed requests and refused
	// connections do not count.
	policyNoSuspicion
	// policyNoHandover stops a primary without a planned change.
	policyNoHandover
)

// simulation is one run of a deployment in virtual time.
type simulation struct {
	clock
	network
	deployment       deployment
	policy           policy
	random           *rand.Rand
	databases        []currantloom.Database
	nodes            []*node
	upstreams        map[currantloom.UpstreamName]*upstream
	orderedUpstreams []*upstream
	lastEntry        uint64
	lastRequest      uint64
	statementCount   int
	vmSet            currantloom.VMSet
	// maxReplicaLag is the longest time by which replicas fall behind.
	maxReplicaLag time.Duration
}

// defaultReplicaLag is the maximum replica lag in all measures except that of reads.
const defaultReplicaLag = 400 * time.Millisecond

// warmUpTime is how long a simulation runs before its measurement starts.
const warmUpTime = 3 * time.Second

func newSimulation(d deployment, p policy, seed uint64, rules string) *simulation {
	sim := &simulation{
		deployment: d, policy: p, random: rand.New(rand.NewPCG(seed, 1)), databases: d.databases(),
		network:       network{busyUntil: make(map[currantloom.Region]time.Duration)},
		upstreams:     make(map[currantloom.UpstreamName]*upstream),
		maxReplicaLag: defaultReplicaLag,
	}
	for _, database := range sim.databases {
		sim.addUpstreams(database)
	}
	sim.vmSet = currantloom.VMSet{VMs: d.vms()}
	for _, vm := range sim.vmSet.VMs {
		sim.nodes = append(sim.nodes, newNode(sim, vm))
	}
	parsed, err := loomrules.Parse(rules)
	if err != nil {
		panic(err)
	}
	for _, n := range sim.nodes {
		n.deliver(loomcore.RulesReceived{Document: currantloom.NewRulesDocument(1, "", rules), Rules: parsed})
		n.deliver(loomcore.VMsReceived{Set: sim.vmSet})
		sim.after(time.Duration(sim.random.Int64N(int64(loomcore.TickInterval))), n.tick)
	}
	sim.runUntil(warmUpTime)
	return sim
}

func (sim *simulation) addUpstreams(database currantloom.Database) {
	var primary *upstream
	for _, description := range database.Upstreams() {
		u := &upstream{
			sim: sim, description: description, up: true, term: 1, grantedTerm: 1, appliedMessage: make(map[*upstream]int),
			idleConnections: make(map[*node]int), log: []logEntry{{term: 1}},
		}
		if primary == nil {
			primary = u
			u.role = currantloom.RolePrimary
		} else {
			u.primary = primary
		}
		sim.upstreams[description.Name()] = u
		sim.orderedUpstreams = append(sim.orderedUpstreams, u)
		sim.after(0, u.heartbeat)
	}
}

func (sim *simulation) nextEntryNumber() uint64 { sim.lastEntry++; return sim.lastEntry }

func (sim *simulation) otherMembers(u *upstream) []*upstream {
	var list []*upstream
	for _, other := range sim.orderedUpstreams {
		if other != u && other.description.Database() == u.description.Database() {
			list = append(list, other)
		}
	}
	return list
}

// send schedules the delivery of a message after its network delay.
func (sim *simulation) send(from, to currantloom.Location, size int, kind trafficKind, deliver func()) {
	sim.after(sim.delay(sim.now, from, to, size, kind), deliver)
}

// primary returns the primary of the database; if several upstreams claim the role, the one with the latest term.
func (sim *simulation) primary(database currantloom.DatabaseName) *upstream {
	var best *upstream
	for _, u := range sim.orderedUpstreams {
		if u.description.Database() == database && u.role == currantloom.RolePrimary && (best == nil || u.term > best.term) {
			best = u
		}
	}
	return best
}

// query is one statement of a client and the course of its execution.
type query struct {
	request currantloom.Request
	// serviceTime is the time that the statement uses a slot of an upstream.
	serviceTime time.Duration
	entry       *node
	sentAt      time.Duration
	queuedAt    time.Duration
	startedAt   time.Duration
	servedBy    *upstream
	ran         bool
	// logLength is the length of the upstream's log when the statement ended.
	logLength  int
	onResponse func(q *query, t currantloom.ResponseTrailer, latency time.Duration)
}

// issue sends a statement from a client to its entry node.
func (sim *simulation) issue(q *query) {
	sim.lastRequest++
	sim.statementCount++
	q.request.Key = currantloom.RequestKey{VM: q.entry.vm.Name(), Number: sim.lastRequest}
	q.sentAt = sim.now
	sim.after(sim.deployment.clientLatency, func() { q.entry.receive(q) })
}

// deliverResponse sends the response trailer to the client.
func (sim *simulation) deliverResponse(q *query, t currantloom.ResponseTrailer) {
	sim.after(sim.deployment.clientLatency, func() {
		if q.onResponse != nil {
			q.onResponse(q, t, sim.now-q.sentAt)
		}
	})
}
