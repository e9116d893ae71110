package loomcore

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"currantloom.example/currantloom"
)

const testDatabase currantloom.DatabaseName = "wheel-core-1"

// simulation runs nodes against a model of the upstreams of one database in virtual time. It fails if two upstreams are
// primary in one term, a confirmed entry is lost, a node uses a replaced primary, or a read is too old.
type simulation struct {
	now         time.Duration
	random      *rand.Rand
	queue       callQueue
	sequence    int
	nodes       []*simulatedNode
	upstreams   []*simulatedUpstream
	partitioned map[[2]string]bool
	// loss and duplication are probabilities per message. delay is the longest extra delay.
	loss, duplication float64
	delay             time.Duration
	primaries         map[currantloom.Term]currantloom.UpstreamName
	confirmed         []logEntry
	// confirmedTerms holds the term in which a majority first held each confirmed entry.
	confirmedTerms []currantloom.Term
	// confirmedTimes holds the time at which a majority first held each confirmed entry.
	confirmedTimes []time.Duration
	confirmedAt    time.Duration
	entries        uint64
	reads          int
	decisions      []Decision
	// drop suppresses the execution of an effect.
	drop func(Effect) bool
	fail func(format string, args ...any)
}

type simulatedNode struct {
	state       *State
	name        currantloom.VMName
	pausedUntil time.Duration
	dead        bool
	// newestTerm is the newest term that any event reported to the node.
	newestTerm currantloom.Term
}

type logEntry struct {
	term currantloom.Term
	id   uint64
}

// simulatedUpstream models an upstream by assumptions D1 to D3, D5 and D8 of docs/design.md, section 3: it grants each
// term to one proposer, is fenced from the grant until it gets a role in the term, and copies the log of its primary.
type simulatedUpstream struct {
	name               currantloom.UpstreamName
	role               currantloom.Role
	term, grantedTerm  currantloom.Term
	proposer           currantloom.VMName
	primary            currantloom.UpstreamName
	log                []logEntry
	primaryHeardAt     time.Duration
	pausedUntil        time.Duration
	refusesConnections bool
	// stopsApplying says that the upstream hears from its primary but does not apply its log.
	stopsApplying bool
}

type scheduledCall struct {
	at       time.Duration
	sequence int
	run      func()
}

type callQueue []scheduledCall

func (q callQueue) Len() int { return len(q) }
func (q callQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q callQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *callQueue) Push(x any)   { *q = append(*q, x.(scheduledCall)) }
func (q *callQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newSimulation(seed uint64, nodes int, fail func(string, ...any)) *simulation {
	sim := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), partitioned: make(map[[2]string]bool),
		primaries: map[currantloom.Term]currantloom.UpstreamName{1: "wheel-core-1-a"}, fail: fail,
	}
	d := simulatedDatabase()
	for i, upstream := range d.Upstreams() {
		u := &simulatedUpstream{name: upstream.Name(), term: 1, grantedTerm: 1, primary: "wheel-core-1-a"}
		if i == 0 {
			u.role = currantloom.RolePrimary
		}
		sim.upstreams = append(sim.upstreams, u)
	}
	var vms []currantloom.VM
	for i := range nodes {
		vms = append(vms, currantloom.NewVM(
			currantloom.VMName(fmt.Sprintf("vm-%d", i+1)), d.Upstreams()[i%3].Location(), "", "", currantloom.VMLive))
	}
	for _, vm := range vms {
		n := &simulatedNode{name: vm.Name(), state: New(Config{
			Self: vm.Name(), Location: vm.Location(), Databases: []currantloom.Database{d},
		})}
		sim.nodes = append(sim.nodes, n)
		sim.deliver(n, VMsReceived{Stamp: sim.stamp(), Set: currantloom.VMSet{VMs: vms}})
		sim.after(time.Duration(sim.random.Int64N(int64(TickInterval))), func() { sim.tickNode(n) })
	}
	sim.after(0, sim.replicate)
	return sim
}

// simulatedDatabase returns a database with an upstream in each of two failure domains of a region, and one in another
// region.
func simulatedDatabase() currantloom.Database {
	return currantloom.NewDatabase(testDatabase, 2, 16, []currantloom.PostgresUpstream{
		currantloom.NewPostgresUpstream("wheel-core-1-a", testDatabase, "", currantloom.NewLocation("ost", "ost-linz")),
		currantloom.NewPostgresUpstream("wheel-core-1-b", testDatabase, "", currantloom.NewLocation("ost", "ost-steyr")),
		currantloom.NewPostgresUpstream("wheel-core-1-c", testDatabase, "", currantloom.NewLocation("west", "west-ibk")),
	})
}

func (sim *simulation) stamp() Stamp { return Stamp{Now: sim.now, Random: sim.random.Uint64()} }

func (sim *simulation) after(d time.Duration, run func()) {
	sim.sequence++
	heap.Push(&sim.queue, scheduledCall{at: sim.now + d, sequence: sim.sequence, run: run})
}

func (sim *simulation) run(d time.Duration) {
	end := sim.now + d
	for len(sim.queue) > 0 && sim.queue[0].at <= end {
		m := heap.Pop(&sim.queue).(scheduledCall)
		sim.now = m.at
		m.run()
	}
	sim.now = end
}

func (sim *simulation) tickNode(n *simulatedNode) {
	sim.after(TickInterval, func() { sim.tickNode(n) })
	if sim.now >= n.pausedUntil {
		sim.deliver(n, Tick{sim.stamp()})
	}
}

// deliver applies an event at a node, once the node is no longer paused, and checks the primary that the node knows.
func (sim *simulation) deliver(n *simulatedNode, e Event) {
	if n.dead {
		return
	}
	if sim.now < n.pausedUntil {
		sim.after(min(n.pausedUntil-sim.now, TickInterval), func() { sim.deliver(n, restamp(e, sim.stamp())) })
		return
	}
	n.recordTerm(e)
	for _, effect := range n.state.Reduce(e) {
		if sim.drop == nil || !sim.drop(effect) {
			sim.execute(n, effect)
		}
	}
	g := n.state.groups[testDatabase]
	if g.primary == "" || g.blocksWrites() {
		return
	}
	if g.term < n.newestTerm {
		sim.fail("%s at %v: %s is primary of term %d for it, although it learned of term %d",
			n.name, sim.now, g.primary, g.term, n.newestTerm)
	}
	if sim.primaries[g.term] != g.primary {
		sim.fail("%s at %v: knows %s as the primary of term %d, which is %q",
			n.name, sim.now, g.primary, g.term, sim.primaries[g.term])
	}
}

func restamp(e Event, stamp Stamp) Event {
	switch e := e.(type) {
	case StatusReceived:
		e.Stamp = stamp
		return e
	case StatusFailed:
		e.Stamp = stamp
		return e
	case RaiseTermAnswered:
		e.Stamp = stamp
		return e
	case PromoteAnswered:
		e.Stamp = stamp
		return e
	}
	return e
}

func (n *simulatedNode) recordTerm(e Event) {
	switch e := e.(type) {
	case StatusReceived:
		n.newestTerm = max(n.newestTerm, e.Status.Term, e.Status.GrantedTerm)
	case RaiseTermAnswered:
		n.newestTerm = max(n.newestTerm, e.Grant.HighestTerm)
	case PromoteAnswered:
		if !e.Failed {
			n.newestTerm = max(n.newestTerm, e.Term)
		}
	}
}

func (sim *simulation) execute(n *simulatedNode, e Effect) {
	sentAt := sim.now
	switch e := e.(type) {
	case Decision:
		sim.decisions = append(sim.decisions, e)
	case PollStatus:
		sim.call(n, e.Upstream, func(u *simulatedUpstream) Event {
			return StatusReceived{Upstream: e.Upstream, SentAt: sentAt, Status: u.status(sim.now)}
		}, func(refused bool) Event {
			return StatusFailed{Upstream: e.Upstream, SentAt: sentAt, ConnectionRefused: refused}
		})
	case RaiseTerm:
		sim.call(n, e.Upstream, func(u *simulatedUpstream) Event {
			return RaiseTermAnswered{Upstream: e.Upstream, Term: e.Term, Grant: u.raiseTerm(e.Term, n.name)}
		}, func(bool) Event { return RaiseTermAnswered{Upstream: e.Upstream, Term: e.Term, Failed: true} })
	case Promote:
		sim.call(n, e.Upstream, func(u *simulatedUpstream) Event {
			return PromoteAnswered{Upstream: e.Upstream, Term: e.Term, Failed: !sim.promote(u, e.Term)}
		}, func(bool) Event { return PromoteAnswered{Upstream: e.Upstream, Term: e.Term, Failed: true} })
	case Follow:
		sim.call(n, e.Upstream, func(u *simulatedUpstream) Event { u.follow(e, sim.now); return nil }, nil)
	}
}

// call sends a request to an upstream. Exactly one answer or failure is reported after at most 400 ms, but faults may
// lose or repeat the event.
func (sim *simulation) call(
	n *simulatedNode, name currantloom.UpstreamName, do func(*simulatedUpstream) Event, failed func(bool) Event,
) {
	u := sim.upstream(name)
	done := false
	answer := func(e Event) {
		if done && sim.random.Float64() >= sim.duplication {
			return
		}
		done = true
		if e != nil && sim.random.Float64() >= sim.loss/4 {
			sim.deliver(n, restamp(e, sim.stamp()))
		}
	}
	if u.refusesConnections && !sim.isPartitioned(string(n.name), string(name)) {
		if failed != nil {
			sim.after(sim.latency(n, u), func() { answer(failed(true)) })
		}
		return
	}
	var arrive func()
	arrive = func() {
		switch {
		case u.refusesConnections || sim.isPartitioned(string(n.name), string(name)) || sim.random.Float64() < sim.loss:
		case sim.now < u.pausedUntil:
			sim.after(min(u.pausedUntil-sim.now, TickInterval), arrive)
		default:
			e := do(u)
			if !sim.isPartitioned(string(n.name), string(name)) {
				sim.after(sim.latency(n, u), func() { answer(e) })
			}
		}
	}
	sim.after(sim.latency(n, u), arrive)
	if sim.random.Float64() < sim.duplication {
		sim.after(sim.latency(n, u), arrive)
	}
	if failed != nil {
		sim.after(400*time.Millisecond, func() {
			if !done {
				answer(failed(false))
			}
		})
	}
}

func (sim *simulation) latency(n *simulatedNode, u *simulatedUpstream) time.Duration {
	g := n.state.groups[testDatabase]
	base := 500 * time.Microsecond
	for _, upstream := range g.database.Upstreams() {
		if upstream.Name() == u.name && upstream.Location().Distance(n.state.location) == 2 {
			base = 30 * time.Millisecond
		}
	}
	return base + time.Duration(sim.random.Int64N(int64(sim.delay)+1))
}

func (sim *simulation) isPartitioned(a, b string) bool {
	return sim.partitioned[[2]string{a, b}] || sim.partitioned[[2]string{b, a}]
}

func (sim *simulation) upstream(name currantloom.UpstreamName) *simulatedUpstream {
	for _, u := range sim.upstreams {
		if u.name == name {
			return u
		}
	}
	return nil
}

// replicate lets every upstream that is in the role of a primary write an entry and copy its log to its replicas.
func (sim *simulation) replicate() {
	sim.after(20*time.Millisecond, sim.replicate)
	for _, p := range sim.upstreams {
		if p.role != currantloom.RolePrimary || p.refusesConnections || sim.now < p.pausedUntil {
			continue
		}
		sim.entries++
		p.log = append(p.log, logEntry{term: p.term, id: sim.entries})
		holders := 1
		for _, r := range sim.upstreams {
			if r == p || r.refusesConnections || sim.now < r.pausedUntil || sim.isPartitioned(string(p.name), string(r.name)) ||
				r.role != currantloom.RoleReplica || r.term != p.term || r.grantedTerm > p.term {
				continue
			}
			r.primaryHeardAt = sim.now
			if r.stopsApplying {
				continue
			}
			r.log = append(r.log[:0], p.log...)
			holders++
		}
		if n := len(p.log); holders >= 2 && n > 0 && p.log[n-1].term == p.term {
			sim.confirm(p)
		}
	}
}

// confirm records that a majority holds the primary's log.
func (sim *simulation) confirm(p *simulatedUpstream) {
	for i, e := range sim.confirmed {
		if i >= len(p.log) || p.log[i] != e {
			sim.fail("at %v: the log of primary %s of term %d lost confirmed entry %d", sim.now, p.name, p.term, i+1)
		}
	}
	sim.confirmed = append(sim.confirmed[:0], p.log...)
	for len(sim.confirmedTerms) < len(sim.confirmed) {
		sim.confirmedTerms = append(sim.confirmedTerms, p.term)
		sim.confirmedTimes = append(sim.confirmedTimes, sim.now)
	}
	sim.confirmedAt = sim.now
}

func (u *simulatedUpstream) position() currantloom.LogPosition {
	if len(u.log) == 0 {
		return currantloom.LogPosition{}
	}
	return currantloom.NewLogPosition(u.log[len(u.log)-1].term, currantloom.LogIndex(len(u.log)))
}

func (u *simulatedUpstream) status(now time.Duration) currantloom.PostgresStatus {
	s := currantloom.PostgresStatus{Role: u.role, Term: u.term, GrantedTerm: u.grantedTerm, Position: u.position()}
	if u.role != currantloom.RolePrimary {
		s.PrimarySilence = now - u.primaryHeardAt
	}
	return s
}

func (u *simulatedUpstream) raiseTerm(term currantloom.Term, proposer currantloom.VMName) currantloom.TermGrant {
	if term > u.grantedTerm {
		u.grantedTerm, u.proposer, u.role = term, proposer, currantloom.RoleFenced
	}
	return currantloom.TermGrant{
		Granted: u.grantedTerm == term && u.proposer == proposer, HighestTerm: u.grantedTerm, Position: u.position(),
	}
}

func (sim *simulation) promote(u *simulatedUpstream, term currantloom.Term) bool {
	if u.grantedTerm != term || u.proposer == "" {
		return false
	}
	if other, ok := sim.primaries[term]; ok && other != u.name {
		sim.fail("at %v: %s becomes primary of term %d, which has primary %s", sim.now, u.name, term, other)
	}
	for i, e := range sim.confirmed {
		if sim.confirmedTerms[i] < term && (i >= len(u.log) || u.log[i] != e) {
			sim.fail("at %v: primary %s of term %d lacks confirmed entry %d of term %d", sim.now, u.name, term, i+1, e.term)
			break
		}
	}
	sim.primaries[term] = u.name
	u.role, u.term = currantloom.RolePrimary, term
	return true
}

func (u *simulatedUpstream) follow(e Follow, now time.Duration) {
	if e.Term < u.grantedTerm || e.Term == u.term && u.role != currantloom.RoleFenced {
		return
	}
	if e.Term > u.grantedTerm {
		u.grantedTerm, u.proposer = e.Term, ""
	}
	u.term, u.role, u.primary, u.primaryHeardAt = e.Term, currantloom.RoleReplica, e.Primary, now
}

// confirmingPrimary returns the primary of the highest term if it confirmed a write within the last 50 ms, else nil.
func (sim *simulation) confirmingPrimary() *simulatedUpstream {
	var best *simulatedUpstream
	for _, u := range sim.upstreams {
		if u.role == currantloom.RolePrimary && !u.refusesConnections && (best == nil || u.term > best.term) {
			best = u
		}
	}
	if best == nil || sim.now-sim.confirmedAt > 50*time.Millisecond ||
		sim.confirmed[len(sim.confirmed)-1].term != best.term {
		return nil
	}
	return best
}

// awaitPrimary runs until a primary other than the given upstream confirms writes, and returns how long that took.
func (sim *simulation) awaitPrimary(other currantloom.UpstreamName) time.Duration {
	const limit = 8 * time.Second
	start := sim.now
	for sim.now-start < limit {
		if p := sim.confirmingPrimary(); p != nil && p.name != other {
			return sim.now - start
		}
		sim.run(10 * time.Millisecond)
	}
	sim.fail("no primary confirms writes %v after the faults; decisions: %+v", limit, sim.decisions)
	return limit
}

// endFaults ends all faults.
func (sim *simulation) endFaults() {
	clear(sim.partitioned)
	sim.loss, sim.duplication, sim.delay = 0, 0, 0
	for _, u := range sim.upstreams {
		u.pausedUntil, u.refusesConnections = min(u.pausedUntil, sim.now), false
	}
	for _, n := range sim.nodes {
		n.pausedUntil = min(n.pausedUntil, sim.now)
	}
}

// checkAgreement fails unless a primary confirms writes, all other upstreams follow it, and all nodes know it.
func (sim *simulation) checkAgreement() {
	p := sim.confirmingPrimary()
	if p == nil {
		sim.fail("at %v: no primary confirms writes; decisions: %+v", sim.now, sim.decisions)
		return
	}
	for _, u := range sim.upstreams {
		if u != p && (u.role != currantloom.RoleReplica || u.term != p.term) {
			sim.fail("%s is %v in term %d, want replica in term %d", u.name, u.role, u.term, p.term)
		}
	}
	for _, n := range sim.nodes {
		if g := n.state.groups[testDatabase]; g.view != nil && g.primary != p.name {
			sim.fail("%s knows %q as the primary of term %d, want %s of term %d", n.name, g.primary, g.term, p.name, p.term)
		}
	}
}

// read asks a node whether an upstream may serve a read. If it may, the upstream must hold the entry of the token, and
// all entries that were confirmed longer ago than the maximum age.
func (sim *simulation) read(n *simulatedNode, u *simulatedUpstream, maxAge time.Duration) {
	if len(sim.confirmed) == 0 || sim.now < n.pausedUntil {
		return
	}
	i := sim.random.IntN(len(sim.confirmed))
	position := currantloom.NewLogPosition(sim.confirmed[i].term, currantloom.LogIndex(i+1))
	s := n.state
	s.now, s.effects = sim.now, s.effects[:0]
	got := s.readEligibility(s.groups[testDatabase], u.name, currantloom.NewToken(testDatabase, position), maxAge)
	for _, e := range s.effects {
		sim.execute(n, e)
	}
	if got != eligible {
		return
	}
	sim.reads++
	for j, e := range sim.confirmed {
		if (j <= i || sim.confirmedTimes[j] < sim.now-maxAge) && (j >= len(u.log) || u.log[j] != e) {
			sim.fail("%s at %v: read of age %v with token %v at %s, which lacks entry %d confirmed at %v",
				n.name, sim.now, maxAge, position, u.name, j+1, sim.confirmedTimes[j])
		}
	}
}

// primaryName returns the name of the primary that confirms writes, empty if there is none.
func (sim *simulation) primaryName() currantloom.UpstreamName {
	if p := sim.confirmingPrimary(); p != nil {
		return p.name
	}
	return ""
}
