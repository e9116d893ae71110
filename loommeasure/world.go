package loommeasure

import (
	"math/rand/v2"
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomcore"
	"currantloom.example/currantloom/loomrules"
)

// policy names what decides: the core, or one of the baselines.
type policy uint8

const (
	policyCore policy = iota
	// policyQueue: one queue per server, first come, first served, without classes, shares or deadlines.
	policyQueue
	// policySplit: each entry node has its part of the connections and a queue of its own.
	policySplit
	// policyPrimaryReads: all reads go to the primary.
	policyPrimaryReads
	// policyNoToken: a replica serves only sessions that have not written.
	policyNoToken
	// policyNoSuspicion: only polls cause a promotion; failures of requests do not count.
	policyNoSuspicion
	// policyNoHandover: a primary is stopped without a planned change.
	policyNoHandover
)

// world is one run of a deployment.
type world struct {
	clock
	network
	deployment deployment
	policy     policy
	random     *rand.Rand
	list       []currantloom.Database
	nodes      []*node
	servers    map[currantloom.UpstreamName]*server
	ordered    []*server
	entries    uint64
	requests   uint64
	statements int
	set        currantloom.VMSet
	// lag is how far replicas fall behind at most.
	lag time.Duration
}

// usualLag is the lag in all measures but that of reads.
const usualLag = 400 * time.Millisecond

// settleTime is how long a world runs before a measurement.
const settleTime = 3 * time.Second

func newWorld(d deployment, p policy, seed uint64, rules string) *world {
	w := &world{
		deployment: d, policy: p, random: rand.New(rand.NewPCG(seed, 1)), list: d.databaseList(),
		network: network{busyUntil: make(map[currantloom.Region]time.Duration)},
		servers: make(map[currantloom.UpstreamName]*server),
		lag:     usualLag,
	}
	for _, database := range w.list {
		w.addServers(database)
	}
	w.set = currantloom.VMSet{VMs: d.vms()}
	for _, vm := range w.set.VMs {
		w.nodes = append(w.nodes, newNode(w, vm))
	}
	parsed, err := loomrules.Parse(rules)
	if err != nil {
		panic(err)
	}
	for _, n := range w.nodes {
		n.deliver(loomcore.RulesReceived{Document: currantloom.NewRulesDocument(1, "", rules), Rules: parsed})
		n.deliver(loomcore.VMsReceived{Set: w.set})
		w.after(time.Duration(w.random.Int64N(int64(loomcore.TickInterval))), n.tick)
	}
	w.runUntil(settleTime)
	return w
}

func (w *world) addServers(database currantloom.Database) {
	var primary *server
	for _, description := range database.Upstreams() {
		s := &server{
			world: w, server: description, up: true, term: 1, granted: 1, match: make(map[*server]int),
			idle: make(map[*node]int), log: []entry{{term: 1}},
		}
		if primary == nil {
			primary = s
			s.role = currantloom.RolePrimary
		} else {
			s.follows = primary
		}
		w.servers[description.Name()] = s
		w.ordered = append(w.ordered, s)
		w.after(0, s.heartbeat)
	}
}

func (w *world) nextEntry() uint64 { w.entries++; return w.entries }

func (w *world) siblings(s *server) []*server {
	var list []*server
	for _, other := range w.ordered {
		if other != s && other.server.Database() == s.server.Database() {
			list = append(list, other)
		}
	}
	return list
}

// send delivers a message after its delay.
func (w *world) send(from, to currantloom.Location, size int, kind traffic, deliver func()) {
	w.after(w.delay(w.now, from, to, size, kind), deliver)
}

// primary returns the server of the database that leads the newest term.
func (w *world) primary(database currantloom.DatabaseName) *server {
	var best *server
	for _, s := range w.ordered {
		if s.server.Database() == database && s.role == currantloom.RolePrimary && (best == nil || s.term > best.term) {
			best = s
		}
	}
	return best
}

// query is one statement of a client.
type query struct {
	request  currantloom.Request
	work     time.Duration
	entry    *node
	sentAt   time.Duration
	queuedAt time.Duration
	ranAt    time.Duration
	ranOn    *server
	ran      bool
	// held is the log that the server had when the statement ran.
	held int
	done func(q *query, t currantloom.ResponseTrailer, took time.Duration)
}

// issue sends a statement to an entry node.
func (w *world) issue(q *query) {
	w.requests++
	w.statements++
	q.request.Key = currantloom.RequestKey{VM: q.entry.vm.Name(), Number: w.requests}
	q.sentAt = w.now
	w.after(w.deployment.clientTime, func() { q.entry.receive(q) })
}

// answer brings the outcome to the client.
func (w *world) answer(q *query, t currantloom.ResponseTrailer) {
	w.after(w.deployment.clientTime, func() {
		if q.done != nil {
			q.done(q, t, w.now-q.sentAt)
		}
	})
}
