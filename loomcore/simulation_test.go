package loomcore

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"currantloom.example/currantloom"
)

const testDatabase currantloom.DatabaseName = "wheel-core-1"

// world runs nodes against a model of the servers of one database in virtual time. Its oracle reports violations.
type world struct {
	now      time.Duration
	random   *rand.Rand
	queue    messages
	sequence int
	nodes    []*worldNode
	servers  []*modelServer
	cut      map[[2]string]bool
	// loss and duplication are probabilities of a message, delay is the longest extra delay.
	loss, duplication float64
	delay             time.Duration
	leaders           map[currantloom.Term]currantloom.UpstreamName
	confirmed         []modelEntry
	// confirmedIn holds the term in which a majority first held the entry.
	confirmedIn []currantloom.Term
	// heldAt holds the time at which a majority first held the entry.
	heldAt      []time.Duration
	confirmedAt time.Duration
	entries     uint64
	reads       int
	decisions   []Decision
	// drop suppresses the execution of an effect.
	drop func(Effect) bool
	fail func(format string, args ...any)
}

type worldNode struct {
	state       *State
	name        currantloom.VMName
	pausedUntil time.Duration
	dead        bool
	// learned is the newest term that any event told the node of.
	learned currantloom.Term
}

type modelEntry struct {
	term currantloom.Term
	id   uint64
}

// modelServer follows assumptions D1 to D3, D5 and D8 of the design page.
type modelServer struct {
	name          currantloom.UpstreamName
	role          currantloom.Role
	term, granted currantloom.Term
	grantedTo     currantloom.VMName
	primary       currantloom.UpstreamName
	log           []modelEntry
	heardAt       time.Duration
	pausedUntil   time.Duration
	refuses       bool
	// behind says that the server hears from its primary but does not apply its log.
	behind bool
}

type message struct {
	at  time.Duration
	seq int
	run func()
}

type messages []message

func (m messages) Len() int { return len(m) }
func (m messages) Less(i, j int) bool {
	return m[i].at < m[j].at || m[i].at == m[j].at && m[i].seq < m[j].seq
}
func (m messages) Swap(i, j int) { m[i], m[j] = m[j], m[i] }
func (m *messages) Push(x any)   { *m = append(*m, x.(message)) }
func (m *messages) Pop() any {
	last := (*m)[len(*m)-1]
	*m = (*m)[:len(*m)-1]
	return last
}

func newWorld(seed uint64, nodes int, fail func(string, ...any)) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 1)), cut: make(map[[2]string]bool),
		leaders: map[currantloom.Term]currantloom.UpstreamName{1: "wheel-core-1-a"}, fail: fail,
	}
	d := testGroup()
	for i, server := range d.Upstreams() {
		m := &modelServer{name: server.Name(), term: 1, granted: 1, primary: "wheel-core-1-a"}
		if i == 0 {
			m.role = currantloom.RolePrimary
		}
		w.servers = append(w.servers, m)
	}
	var vms []currantloom.VM
	for i := range nodes {
		vms = append(vms, currantloom.NewVM(
			currantloom.VMName(fmt.Sprintf("vm-%d", i+1)), d.Upstreams()[i%3].Location(), "", "", currantloom.VMLive))
	}
	for _, vm := range vms {
		n := &worldNode{name: vm.Name(), state: New(Config{
			Self: vm.Name(), Location: vm.Location(), Databases: []currantloom.Database{d},
		})}
		w.nodes = append(w.nodes, n)
		w.deliver(n, VMsReceived{Stamp: w.stamp(), Set: currantloom.VMSet{VMs: vms}})
		w.after(time.Duration(w.random.Int64N(int64(TickInterval))), func() { w.tick(n) })
	}
	w.after(0, w.replicate)
	return w
}

// testGroup is a database with a server in each of two failure domains of a region, and one in another region.
func testGroup() currantloom.Database {
	return currantloom.NewDatabase(testDatabase, 2, 16, []currantloom.PostgresUpstream{
		currantloom.NewPostgresUpstream("wheel-core-1-a", testDatabase, "", currantloom.NewLocation("ost", "ost-linz")),
		currantloom.NewPostgresUpstream("wheel-core-1-b", testDatabase, "", currantloom.NewLocation("ost", "ost-steyr")),
		currantloom.NewPostgresUpstream("wheel-core-1-c", testDatabase, "", currantloom.NewLocation("west", "west-ibk")),
	})
}

func (w *world) stamp() Stamp { return Stamp{Now: w.now, Random: w.random.Uint64()} }

func (w *world) after(d time.Duration, run func()) {
	w.sequence++
	heap.Push(&w.queue, message{at: w.now + d, seq: w.sequence, run: run})
}

func (w *world) run(d time.Duration) {
	end := w.now + d
	for len(w.queue) > 0 && w.queue[0].at <= end {
		m := heap.Pop(&w.queue).(message)
		w.now = m.at
		m.run()
	}
	w.now = end
}

func (w *world) tick(n *worldNode) {
	w.after(TickInterval, func() { w.tick(n) })
	if w.now >= n.pausedUntil {
		w.deliver(n, Tick{w.stamp()})
	}
}

// deliver applies an event at a node, once the node is no longer paused, and checks what the node believes.
func (w *world) deliver(n *worldNode, e Event) {
	if n.dead {
		return
	}
	if w.now < n.pausedUntil {
		w.after(min(n.pausedUntil-w.now, TickInterval), func() { w.deliver(n, restamp(e, w.stamp())) })
		return
	}
	n.noteTerm(e)
	for _, effect := range n.state.Reduce(e) {
		if w.drop == nil || !w.drop(effect) {
			w.execute(n, effect)
		}
	}
	g := n.state.groups[testDatabase]
	if g.primary == "" || g.blocksWrites() {
		return
	}
	if g.term < n.learned {
		w.fail("%s at %v: %s is primary of term %d for it, although it learned of term %d",
			n.name, w.now, g.primary, g.term, n.learned)
	}
	if w.leaders[g.term] != g.primary {
		w.fail("%s at %v: believes in primary %s of term %d, which is %q",
			n.name, w.now, g.primary, g.term, w.leaders[g.term])
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

func (n *worldNode) noteTerm(e Event) {
	switch e := e.(type) {
	case StatusReceived:
		n.learned = max(n.learned, e.Status.Term, e.Status.GrantedTerm)
	case RaiseTermAnswered:
		n.learned = max(n.learned, e.Grant.HighestTerm)
	case PromoteAnswered:
		if !e.Failed {
			n.learned = max(n.learned, e.Term)
		}
	}
}

func (w *world) execute(n *worldNode, e Effect) {
	sentAt := w.now
	switch e := e.(type) {
	case Decision:
		w.decisions = append(w.decisions, e)
	case PollStatus:
		w.call(n, e.Upstream, func(m *modelServer) Event {
			return StatusReceived{Upstream: e.Upstream, SentAt: sentAt, Status: m.status(w.now)}
		}, func(refused bool) Event {
			return StatusFailed{Upstream: e.Upstream, SentAt: sentAt, ConnectionRefused: refused}
		})
	case RaiseTerm:
		w.call(n, e.Upstream, func(m *modelServer) Event {
			return RaiseTermAnswered{Upstream: e.Upstream, Term: e.Term, Grant: m.raise(e.Term, n.name)}
		}, func(bool) Event { return RaiseTermAnswered{Upstream: e.Upstream, Term: e.Term, Failed: true} })
	case Promote:
		w.call(n, e.Upstream, func(m *modelServer) Event {
			return PromoteAnswered{Upstream: e.Upstream, Term: e.Term, Failed: !w.lead(m, e.Term)}
		}, func(bool) Event { return PromoteAnswered{Upstream: e.Upstream, Term: e.Term, Failed: true} })
	case Follow:
		w.call(n, e.Upstream, func(m *modelServer) Event { m.follow(e, w.now); return nil }, nil)
	}
}

// call sends a request to a server. Exactly one answer or failure is reported after at most 400 ms, except that a
// faulty world may lose or repeat the event.
func (w *world) call(
	n *worldNode, name currantloom.UpstreamName, do func(*modelServer) Event, failed func(bool) Event,
) {
	m := w.server(name)
	done := false
	answer := func(e Event) {
		if done && w.random.Float64() >= w.duplication {
			return
		}
		done = true
		if e != nil && w.random.Float64() >= w.loss/4 {
			w.deliver(n, restamp(e, w.stamp()))
		}
	}
	if m.refuses && !w.isCut(string(n.name), string(name)) {
		if failed != nil {
			w.after(w.latency(n, m), func() { answer(failed(true)) })
		}
		return
	}
	var arrive func()
	arrive = func() {
		switch {
		case m.refuses || w.isCut(string(n.name), string(name)) || w.random.Float64() < w.loss:
		case w.now < m.pausedUntil:
			w.after(min(m.pausedUntil-w.now, TickInterval), arrive)
		default:
			e := do(m)
			if !w.isCut(string(n.name), string(name)) {
				w.after(w.latency(n, m), func() { answer(e) })
			}
		}
	}
	w.after(w.latency(n, m), arrive)
	if w.random.Float64() < w.duplication {
		w.after(w.latency(n, m), arrive)
	}
	if failed != nil {
		w.after(400*time.Millisecond, func() {
			if !done {
				answer(failed(false))
			}
		})
	}
}

func (w *world) latency(n *worldNode, m *modelServer) time.Duration {
	g := n.state.groups[testDatabase]
	base := 500 * time.Microsecond
	for _, server := range g.database.Upstreams() {
		if server.Name() == m.name && server.Location().Distance(n.state.location) == 2 {
			base = 30 * time.Millisecond
		}
	}
	return base + time.Duration(w.random.Int64N(int64(w.delay)+1))
}

func (w *world) isCut(a, b string) bool { return w.cut[[2]string{a, b}] || w.cut[[2]string{b, a}] }

func (w *world) server(name currantloom.UpstreamName) *modelServer {
	for _, m := range w.servers {
		if m.name == name {
			return m
		}
	}
	return nil
}

// replicate lets every server that holds itself to be primary write an entry and copy its log to its replicas.
func (w *world) replicate() {
	w.after(20*time.Millisecond, w.replicate)
	for _, p := range w.servers {
		if p.role != currantloom.RolePrimary || p.refuses || w.now < p.pausedUntil {
			continue
		}
		w.entries++
		p.log = append(p.log, modelEntry{term: p.term, id: w.entries})
		holders := 1
		for _, r := range w.servers {
			if r == p || r.refuses || w.now < r.pausedUntil || w.isCut(string(p.name), string(r.name)) ||
				r.role != currantloom.RoleReplica || r.term != p.term || r.granted > p.term {
				continue
			}
			r.heardAt = w.now
			if r.behind {
				continue
			}
			r.log = append(r.log[:0], p.log...)
			holders++
		}
		if n := len(p.log); holders >= 2 && n > 0 && p.log[n-1].term == p.term {
			w.confirm(p)
		}
	}
}

// confirm records that a majority holds the primary's log.
func (w *world) confirm(p *modelServer) {
	for i, e := range w.confirmed {
		if i >= len(p.log) || p.log[i] != e {
			w.fail("at %v: the log of primary %s of term %d lost confirmed entry %d", w.now, p.name, p.term, i+1)
		}
	}
	w.confirmed = append(w.confirmed[:0], p.log...)
	for len(w.confirmedIn) < len(w.confirmed) {
		w.confirmedIn = append(w.confirmedIn, p.term)
		w.heldAt = append(w.heldAt, w.now)
	}
	w.confirmedAt = w.now
}

func (m *modelServer) mark() currantloom.LogPosition {
	if len(m.log) == 0 {
		return currantloom.LogPosition{}
	}
	return currantloom.NewLogPosition(m.log[len(m.log)-1].term, currantloom.LogIndex(len(m.log)))
}

func (m *modelServer) status(now time.Duration) currantloom.PostgresStatus {
	s := currantloom.PostgresStatus{Role: m.role, Term: m.term, GrantedTerm: m.granted, Position: m.mark()}
	if m.role != currantloom.RolePrimary {
		s.PrimarySilence = now - m.heardAt
	}
	return s
}

func (m *modelServer) raise(term currantloom.Term, proposer currantloom.VMName) currantloom.TermGrant {
	if term > m.granted {
		m.granted, m.grantedTo, m.role = term, proposer, currantloom.RoleFenced
	}
	return currantloom.TermGrant{
		Granted: m.granted == term && m.grantedTo == proposer, HighestTerm: m.granted, Position: m.mark(),
	}
}

func (w *world) lead(m *modelServer, term currantloom.Term) bool {
	if m.granted != term || m.grantedTo == "" {
		return false
	}
	if other, ok := w.leaders[term]; ok && other != m.name {
		w.fail("at %v: %s leads term %d, which has primary %s", w.now, m.name, term, other)
	}
	for i, e := range w.confirmed {
		if w.confirmedIn[i] < term && (i >= len(m.log) || m.log[i] != e) {
			w.fail("at %v: primary %s of term %d lacks confirmed entry %d of term %d", w.now, m.name, term, i+1, e.term)
			break
		}
	}
	w.leaders[term] = m.name
	m.role, m.term = currantloom.RolePrimary, term
	return true
}

func (m *modelServer) follow(e Follow, now time.Duration) {
	if e.Term < m.granted || e.Term == m.term && m.role != currantloom.RoleFenced {
		return
	}
	if e.Term > m.granted {
		m.granted, m.grantedTo = e.Term, ""
	}
	m.term, m.role, m.primary, m.heardAt = e.Term, currantloom.RoleReplica, e.Primary, now
}

// primaryInOffice returns the server that a majority follows and that confirmed a write just now, if there is one.
func (w *world) primaryInOffice() *modelServer {
	var best *modelServer
	for _, m := range w.servers {
		if m.role == currantloom.RolePrimary && !m.refuses && (best == nil || m.term > best.term) {
			best = m
		}
	}
	if best == nil || w.now-w.confirmedAt > 50*time.Millisecond || w.confirmed[len(w.confirmed)-1].term != best.term {
		return nil
	}
	return best
}

// awaitPrimary runs until a primary other than the given one confirms writes, and returns how long that took.
func (w *world) awaitPrimary(other currantloom.UpstreamName) time.Duration {
	const limit = 8 * time.Second
	start := w.now
	for w.now-start < limit {
		if m := w.primaryInOffice(); m != nil && m.name != other {
			return w.now - start
		}
		w.run(10 * time.Millisecond)
	}
	w.fail("no primary confirms writes %v after the faults; decisions: %+v", limit, w.decisions)
	return limit
}

// heal ends all faults.
func (w *world) heal() {
	clear(w.cut)
	w.loss, w.duplication, w.delay = 0, 0, 0
	for _, m := range w.servers {
		m.pausedUntil, m.refuses = min(m.pausedUntil, w.now), false
	}
	for _, n := range w.nodes {
		n.pausedUntil = min(n.pausedUntil, w.now)
	}
}

// checkAgreement fails unless a primary confirms writes, all other servers follow it, and all nodes know it.
func (w *world) checkAgreement() {
	p := w.primaryInOffice()
	if p == nil {
		w.fail("at %v: no primary confirms writes; decisions: %+v", w.now, w.decisions)
		return
	}
	for _, m := range w.servers {
		if m != p && (m.role != currantloom.RoleReplica || m.term != p.term) {
			w.fail("%s is %v in term %d, want replica in term %d", m.name, m.role, m.term, p.term)
		}
	}
	for _, n := range w.nodes {
		if g := n.state.groups[testDatabase]; g.view != nil && g.primary != p.name {
			w.fail("%s believes in primary %q of term %d, want %s of term %d", n.name, g.primary, g.term, p.name, p.term)
		}
	}
}

// read asks a node whether a server may serve a read. If it may, the server must hold the entry of the token, and all
// entries that were confirmed before the accepted age.
func (w *world) read(n *worldNode, m *modelServer, accepted time.Duration) {
	if len(w.confirmed) == 0 || w.now < n.pausedUntil {
		return
	}
	i := w.random.IntN(len(w.confirmed))
	mark := currantloom.NewLogPosition(w.confirmed[i].term, currantloom.LogIndex(i+1))
	s := n.state
	s.now, s.effects = w.now, s.effects[:0]
	got := s.readEligibility(s.groups[testDatabase], m.name, currantloom.NewToken(testDatabase, mark), accepted)
	for _, e := range s.effects {
		w.execute(n, e)
	}
	if got != eligible {
		return
	}
	w.reads++
	for j, e := range w.confirmed {
		if (j <= i || w.heldAt[j] < w.now-accepted) && (j >= len(m.log) || m.log[j] != e) {
			w.fail("%s at %v: read of age %v with token %v at %s, which lacks entry %d confirmed at %v",
				n.name, w.now, accepted, mark, m.name, j+1, w.heldAt[j])
		}
	}
}

// primaryName returns the name of the primary in office, empty if there is none.
func (w *world) primaryName() currantloom.UpstreamName {
	if m := w.primaryInOffice(); m != nil {
		return m.name
	}
	return ""
}
