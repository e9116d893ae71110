package loommodel

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomfleet"
)

// Names of the parts that are neither nodes nor servers.
const (
	storeName = "store"
	cloudName = "cloud"
)

// Options are the sizes of a world. The zero value is a small one.
type Options struct {
	Nodes, Services, Clients int
	// ReplicationLag is the mean time until a replica applies what it has received.
	ReplicationLag time.Duration
	// ThinkTime is the mean pause between two operations of a client.
	ThinkTime time.Duration
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
	return o
}

// task is something that happens at a time. Tasks at the same time happen in the order in which they were made.
type task struct {
	at     time.Duration
	number uint64
	run    func()
}

type tasks []task

func (t tasks) Len() int { return len(t) }
func (t tasks) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].number < t[j].number
}
func (t tasks) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *tasks) Push(x any)   { *t = append(*t, x.(task)) }
func (t *tasks) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// World is a deployment in virtual time.
type World struct {
	options Options
	random  *rand.Rand
	now     time.Duration
	tasks   tasks
	numbers uint64

	nodes   []*node
	servers []*server
	store   *store
	cloud   *cloud
	clients []*client
	oracle  *oracle
	// cuts holds the pairs of parts between which nothing passes, in the direction of the key.
	cuts map[[2]string]bool
	// arrivals holds when the last message from one part to another arrives.
	arrivals map[[2]string]time.Duration
	// Trace takes the decisions of all nodes, if it is set.
	Trace func(at time.Duration, vm currantloom.VMName, d loomfleet.Decision)
}

// New returns a world whose nodes start at once.
func New(seed uint64, o Options) *World {
	o = o.withDefaults()
	w := &World{
		options: o, random: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)), cuts: make(map[[2]string]bool),
		arrivals: make(map[[2]string]time.Duration),
	}
	w.oracle = newOracle(w)
	w.store = newStore(w)
	w.cloud = &cloud{world: w, fences: make(map[currantloom.ServiceName]uint64)}
	for i := range o.Services {
		w.addService(i)
	}
	w.store.configure(o.Services)
	for i := range o.Nodes {
		w.nodes = append(w.nodes, newNode(w, i))
	}
	for _, n := range w.nodes {
		n.start()
	}
	return w
}

// after runs the function later.
func (w *World) after(d time.Duration, run func()) {
	w.numbers++
	heap.Push(&w.tasks, task{at: w.now + max(d, 0), number: w.numbers, run: run})
}

// Run lets time pass.
func (w *World) Run(d time.Duration) {
	end := w.now + d
	for len(w.tasks) > 0 && w.tasks[0].at <= end {
		next := heap.Pop(&w.tasks).(task)
		w.now = next.at
		next.run()
	}
	w.now = end
}

// Now returns the time since the start of the world.
func (w *World) Now() time.Duration { return w.now }

// Violations returns what the oracle found.
func (w *World) Violations() []string { return w.oracle.failures }

// Stats counts what happened.
func (w *World) Stats() Stats { return w.oracle.report }

// Partition lets nothing pass from one part to another; with both, in either direction.
func (w *World) Partition(from, to string, both bool) {
	w.cuts[[2]string{from, to}] = true
	if both {
		w.cuts[[2]string{to, from}] = true
	}
}

// Heal ends all cuts.
func (w *World) Heal() { clear(w.cuts) }

func (w *World) reaches(from, to string) bool { return !w.cuts[[2]string{from, to}] }

// delay is the time on the way between two parts. What is sent first arrives first.
func (w *World) delay(from, to string) time.Duration {
	base := 300 * time.Microsecond
	if w.placeOf(from).Region() != w.placeOf(to).Region() {
		base = 30 * time.Millisecond
	}
	at := w.now + base + time.Duration(w.random.Int64N(int64(300*time.Microsecond)))
	pair := [2]string{from, to}
	at = max(at, w.arrivals[pair]+1)
	w.arrivals[pair] = at
	return at - w.now
}

// places are the failure domains of the model; nodes and servers take turns over them.
var places = []currantloom.Location{
	currantloom.NewLocation("ost", "linz"), currantloom.NewLocation("ost", "steyr"),
	currantloom.NewLocation("west", "ibk"),
}

func (w *World) placeOf(name string) currantloom.Location {
	for _, n := range w.nodes {
		if n.name == name {
			return n.place
		}
	}
	for _, s := range w.servers {
		if s.name == name {
			return s.place
		}
	}
	return places[0]
}

// Nodes returns the names of the nodes, Servers those of the servers.
func (w *World) Nodes() []string {
	names := make([]string, len(w.nodes))
	for i, n := range w.nodes {
		names[i] = n.name
	}
	return names
}

// Upstreams returns the names of the servers.
func (w *World) Upstreams() []string {
	names := make([]string, len(w.servers))
	for i, s := range w.servers {
		names[i] = s.name
	}
	return names
}

// Primary returns the name of the present primary of a service.
func (w *World) Primary(service int) string {
	for _, s := range w.servers {
		if s.group.index == service && s.primary {
			return s.name
		}
	}
	return ""
}

func (w *World) addService(i int) {
	g := &group{index: i, name: currantloom.ServiceName(fmt.Sprintf("service-%d", i+1))}
	for j, place := range places {
		s := &server{
			world: w, name: fmt.Sprintf("u-%d%c", i+1, 'a'+j), place: place, group: g, alive: true, born: 1, slots: 2,
			limit: 16, conns: make(map[connKey]*serverConn),
		}
		g.servers = append(g.servers, s)
		w.servers = append(w.servers, s)
	}
	first := g.servers[i%len(g.servers)]
	first.primary, g.term = true, 1
	for _, s := range g.servers {
		s.term = 1
		s.log = []*entry{{term: 1, number: 1}}
		s.applied = 1
	}
}

func (w *World) node(name string) *node {
	i := slices.IndexFunc(w.nodes, func(n *node) bool { return n.name == name })
	if i < 0 {
		return nil
	}
	return w.nodes[i]
}

func (w *World) server(name string) *server {
	i := slices.IndexFunc(w.servers, func(s *server) bool { return s.name == name })
	if i < 0 {
		return nil
	}
	return w.servers[i]
}
