package loomfleet

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"currantloom.example/currantloom"
)

// fleetTimer is an action at a virtual time.
type fleetTimer struct {
	at       time.Duration
	sequence int
	run      func()
}

type fleetTimers []fleetTimer

func (t fleetTimers) Len() int      { return len(t) }
func (t fleetTimers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t fleetTimers) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].sequence < t[j].sequence
}
func (t *fleetTimers) Push(x any) { *t = append(*t, x.(fleetTimer)) }
func (t *fleetTimers) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// testFleet runs the reducers of many nodes in front of three upstreams in virtual time, with the latencies of links
// and without a network.
type testFleet struct {
	load      fleetLoad
	now       time.Duration
	timers    fleetTimers
	sequence  int
	random    *rand.Rand
	nodes     []*fleetNode
	upstreams []*fleetUpstream
	// commits are the times at which the primary committed.
	commits []time.Duration
	result  fleetFigures
}

type fleetNode struct {
	fleet    *testFleet
	number   int
	name     currantloom.VMName
	location currantloom.Location
	state    *State
	// dead drops events; suspended keeps them for later; cut drops messages between nodes.
	dead, suspended, cut bool
	kept                 []func()
	share                float64
	idle                 []SessionID
	sessions             SessionID
	startedAt            map[SessionID]time.Duration
	conns                map[ConnID]*fleetConn
}

func (f *testFleet) after(d time.Duration, run func()) {
	f.sequence++
	heap.Push(&f.timers, fleetTimer{at: f.now + d, sequence: f.sequence, run: run})
}

func (f *testFleet) run(d time.Duration) {
	for end := f.now + d; len(f.timers) > 0 && f.timers[0].at <= end; {
		next := heap.Pop(&f.timers).(fleetTimer)
		f.now = next.at
		next.run()
	}
}

// latency is the one-way latency between two locations.
func latency(a, b currantloom.Location) time.Duration {
	return [...]time.Duration{200 * time.Microsecond, 3 * time.Millisecond, 30 * time.Millisecond}[a.Distance(b)]
}

// newTestFleet starts the nodes and upstreams, and the clients after two seconds.
func newTestFleet(seed uint64, l fleetLoad) *testFleet {
	f := &testFleet{load: l, now: time.Second, random: rand.New(rand.NewPCG(seed, seed+1))}
	west := currantloom.Region("west")
	if l.oneRegion {
		west = "ost"
	}
	domains := []currantloom.Location{
		currantloom.NewLocation("ost", "o1"), currantloom.NewLocation("ost", "o2"), currantloom.NewLocation(west, "w1"),
		currantloom.NewLocation("ost", "o3"), currantloom.NewLocation(west, "w2"), currantloom.NewLocation(west, "w3"),
	}
	for i := range 3 {
		f.upstreams = append(f.upstreams, &fleetUpstream{
			fleet: f, number: i, name: currantloom.UpstreamName("abc"[i : i+1]), location: domains[i],
			conns: make(map[*fleetConn]bool),
		})
	}
	for i := range l.nodes {
		f.nodes = append(f.nodes, f.newNode(i, domains[i%len(domains)]))
	}
	f.shareDemand()
	for _, n := range f.nodes {
		n.start()
	}
	f.after(2*time.Second, f.arrive)
	f.after(4*time.Second, f.observe)
	return f
}

// shareDemand gives the nodes uneven shares of the demand.
func (f *testFleet) shareDemand() {
	sum := 0.0
	for _, n := range f.nodes {
		n.share = 0.3 + 1.4*f.random.Float64()
		sum += n.share
	}
	for _, n := range f.nodes {
		n.share /= sum
	}
}

func (f *testFleet) newNode(i int, location currantloom.Location) *fleetNode {
	n := &fleetNode{
		fleet: f, number: i, name: currantloom.VMName(fmt.Sprintf("vm-%02d", i)), location: location,
		startedAt: make(map[SessionID]time.Duration), conns: make(map[ConnID]*fleetConn),
	}
	c := Config{Self: n.name, Location: location, Address: string(n.name), Incarnation: 1}
	if f.load.config != nil {
		f.load.config(&c)
	}
	n.state = New(c)
	return n
}

func (n *fleetNode) start() {
	f := n.fleet
	e := CatalogChanged{
		Snapshot: true, Position: testStorePosition(10),
		Configuration: testConfiguration(1, currantloom.ReadBoundedStaleness),
	}
	route := e.Configuration.Routes[testDatabase]
	route.LatencyTarget = fleetTarget
	e.Configuration.Routes[testDatabase] = route
	e.Configuration.Services[testService] = currantloom.Service{Name: testService, Connections: 46, SyncReplicas: 1}
	for i, u := range f.upstreams {
		e.Upstreams = append(e.Upstreams, UpstreamChange{Position: testStorePosition(5), Upstream: currantloom.Upstream{
			Name: u.name, Service: testService, Address: string(u.name), Location: u.location, Slots: f.load.slots,
			Primary: i == 0, Incarnation: 1,
		}})
	}
	for _, other := range f.nodes {
		e.Members = append(e.Members, MemberChange{
			VM:          currantloom.NewVM(other.name, other.location, string(other.name), "", currantloom.VMLive),
			Incarnation: 1, Position: testStorePosition(6),
		})
	}
	e.Stamp = n.stamp()
	n.reduce(e)
	f.after(time.Duration(f.random.Int64N(int64(TickInterval))), n.tick)
}

func (n *fleetNode) tick() {
	if !n.dead && !n.suspended {
		n.reduce(Tick{Stamp: n.stamp()})
	}
	n.fleet.after(TickInterval, n.tick)
}

func (n *fleetNode) stamp() Stamp { return Stamp{Now: n.fleet.now, Random: n.fleet.random.Uint64()} }

// deliver runs the action at the node after the delay, once the node is no longer suspended.
func (n *fleetNode) deliver(delay time.Duration, action func()) {
	n.fleet.after(delay, func() {
		switch {
		case n.dead:
		case n.suspended:
			n.kept = append(n.kept, action)
		default:
			action()
		}
	})
}

// kill ends the process of the node.
func (n *fleetNode) kill() {
	n.dead = true
	for _, cn := range n.conns {
		cn.closed = true
	}
}

// resume ends a suspension: the node gets the events that have piled up.
func (n *fleetNode) resume() {
	n.suspended = false
	kept := n.kept
	n.kept = nil
	for _, action := range kept {
		action()
	}
}

// arrive starts a request and schedules the next arrival.
func (f *testFleet) arrive() {
	phase := 2 * math.Pi * float64(f.now) / float64(f.load.period)
	rate := f.load.peak / (1 + f.load.swing) * (1 + f.load.swing*math.Sin(phase))
	f.after(time.Duration(f.random.ExpFloat64()/rate*float64(time.Second)), f.arrive)
	at := f.random.Float64()
	for _, n := range f.nodes {
		if at -= n.share; at < 0 {
			if !n.dead && !n.suspended {
				n.request()
			}
			return
		}
	}
}

// request sends a read from an idle session. One request in ten is a write.
func (n *fleetNode) request() {
	if len(n.idle) == 0 {
		n.sessions++
		n.reduce(SessionOpened{Stamp: n.stamp(), Session: n.sessions, Startup: testStartup})
		n.idle = append(n.idle, n.sessions)
	}
	id := n.idle[len(n.idle)-1]
	n.idle = n.idle[:len(n.idle)-1]
	n.startedAt[id] = n.fleet.now
	st := currantloom.Statement{Kind: currantloom.StatementRead, ID: "r", Text: "READ 1"}
	if n.fleet.random.IntN(10) == 0 {
		st = currantloom.Statement{Kind: currantloom.StatementWrite, ID: "w", Text: "WRITE 1"}
	}
	n.reduce(StatementReceived{Stamp: n.stamp(), Session: id, Statement: st})
}

func (n *fleetNode) reduce(e Event) {
	n.state.grantUnlessBlocked(n.fleet.now)
	for _, effect := range slices.Clone(n.state.Reduce(e)) {
		n.apply(effect)
	}
}

func (n *fleetNode) apply(effect Effect) {
	f := n.fleet
	switch e := effect.(type) {
	case ReplyToSession:
		if at, ok := n.startedAt[e.Session]; ok {
			delete(n.startedAt, e.Session)
			n.idle = append(n.idle, e.Session)
			f.result.record(f.now-at, e.Reply.Code == currantloom.ReplyOK)
		}
	case Send:
		f.result.messages++
		to := f.node(e.VM.Name())
		if to.dead {
			n.deliver(latency(n.location, to.location), func() {
				n.reduce(OutboundLinkFailed{Stamp: n.stamp(), VM: to.name, Sent: true})
			})
		}
		if !n.cut && !to.cut {
			to.receive(n, LinkID(n.number+1), e.Message)
		}
	case Respond:
		if to := f.nodes[e.Link-1]; !n.cut && !to.cut {
			to.receive(n, 0, e.Message)
		}
	case OpenConn:
		cn := &fleetConn{id: e.Conn, node: n, status: currantloom.TransactionIdle}
		cn.upstream = f.upstreams[slices.IndexFunc(f.upstreams, func(u *fleetUpstream) bool {
			return u.name == e.Upstream.Name
		})]
		n.conns[e.Conn] = cn
		f.after(latency(n.location, cn.upstream.location), cn.open)
	case SendCommands:
		cn := n.conns[e.Conn]
		f.after(latency(n.location, cn.upstream.location), func() {
			cn.queue = append(cn.queue, e.Commands...)
			cn.next()
		})
	case CloseConn:
		n.conns[e.Conn].closed = true
	}
}

func (f *testFleet) node(name currantloom.VMName) *fleetNode {
	return f.nodes[slices.IndexFunc(f.nodes, func(n *fleetNode) bool { return n.name == name })]
}

func (n *fleetNode) receive(from *fleetNode, link LinkID, m currantloom.Message) {
	if c, ok := m.(currantloom.Call); ok && c.Mode < currantloom.CallVerifyPrimary &&
		from.location.Region() != n.location.Region() {
		n.fleet.result.crossed++
	}
	n.deliver(latency(from.location, n.location), func() {
		n.reduce(MessageReceived{Stamp: n.stamp(), From: from.name, Link: link, Message: m})
	})
}
