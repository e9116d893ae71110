package loomcore

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomrules"
)

// rulesNode is one State of the simulation with its watch on the store.
type rulesNode struct {
	state           *State
	vm              currantloom.VM
	startedAt       time.Duration
	alive           bool
	watching        bool
	seenIndex       uint64
	watchAt         time.Duration
	highestRevision currantloom.RulesRevision
}

// rulesSimulation runs several States in virtual time against a store and a network that loses, delays and repeats
// messages.
type rulesSimulation struct {
	t      fatalReporter
	random *rand.Rand
	now    time.Duration
	nodes  []*rulesNode
	byName map[currantloom.VMName]*rulesNode
	queue  []rulesMessage
	// loss and duplicate are probabilities in percent. delay is the longest extra delay of a message.
	loss, duplicate     int
	delay               time.Duration
	storeDown           bool
	index               uint64
	document            currantloom.RulesDocument
	documents           map[currantloom.RulesRevision]string
	pushes, pulls       int
	crossRegionMessages int
}

type fatalReporter interface {
	Fatalf(format string, args ...any)
}

type rulesMessage struct {
	at    time.Duration
	to    *rulesNode
	apply func(n *rulesNode)
}

func newRulesSimulation(t fatalReporter, seed uint64, regions, perRegion int) *rulesSimulation {
	sim := &rulesSimulation{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), byName: make(map[currantloom.VMName]*rulesNode),
		documents: make(map[currantloom.RulesRevision]string), delay: 2 * time.Millisecond,
	}
	for r := range regions {
		location := currantloom.NewLocation(
			currantloom.Region(fmt.Sprint("region-", r)), currantloom.FailureDomain(fmt.Sprint(r)))
		for i := range perRegion {
			name := currantloom.VMName(fmt.Sprintf("vm-%d-%d", r, i))
			n := &rulesNode{vm: currantloom.NewVM(name, location, "", "", currantloom.VMLive)}
			sim.nodes = append(sim.nodes, n)
			sim.byName[name] = n
		}
	}
	for _, n := range sim.nodes {
		sim.restart(n)
	}
	sim.sendVMs()
	return sim
}

func (sim *rulesSimulation) restart(n *rulesNode) {
	n.state = New(Config{Self: n.vm.Name(), Location: n.vm.Location()})
	n.startedAt, n.alive, n.watching, n.seenIndex, n.highestRevision = sim.now, true, false, 0, 0
}

// sendVMs gives every State the list of the live VMs.
func (sim *rulesSimulation) sendVMs() {
	var set currantloom.VMSet
	for _, n := range sim.nodes {
		if n.alive {
			set.VMs = append(set.VMs, n.vm)
		}
	}
	for _, n := range sim.nodes {
		sim.reduce(n, VMsReceived{Stamp: sim.stamp(n), Set: set})
	}
}

func (sim *rulesSimulation) stamp(n *rulesNode) Stamp {
	return Stamp{Now: sim.now - n.startedAt, Random: sim.random.Uint64()}
}

func (sim *rulesSimulation) reduce(n *rulesNode, e Event) {
	if !n.alive {
		return
	}
	for _, effect := range append([]Effect(nil), n.state.Reduce(e)...) {
		switch effect := effect.(type) {
		case WatchRules:
			n.watching = effect.Enabled
		case PushRules:
			for _, vm := range effect.VMs {
				sim.pushes++
				sim.send(n, sim.byName[vm], sim.receive(effect.Document, n.vm.Name()))
			}
		case PullRules:
			sim.pull(n, sim.byName[effect.VM])
		}
	}
	sim.check(n)
}

// check checks what must hold at all times: the revision of a State never falls, and a revision has one document.
func (sim *rulesSimulation) check(n *rulesNode) {
	d := n.state.Rules()
	if d.Revision() < n.highestRevision {
		sim.t.Fatalf("at %v the revision of %s fell from %d to %d", sim.now, n.vm.Name(), n.highestRevision, d.Revision())
	}
	n.highestRevision = d.Revision()
	if text, ok := sim.documents[d.Revision()]; ok && text != d.Text() {
		sim.t.Fatalf("at %v two documents have revision %d: %q and %q", sim.now, d.Revision(), text, d.Text())
	}
	sim.documents[d.Revision()] = d.Text()
}

func (sim *rulesSimulation) receive(d currantloom.RulesDocument, from currantloom.VMName) func(*rulesNode) {
	return func(n *rulesNode) {
		rules, err := loomrules.Parse(d.Text())
		if err != nil {
			sim.t.Fatalf("%v", err)
		}
		sim.reduce(n, RulesReceived{Stamp: sim.stamp(n), Document: d, Rules: rules, From: from})
	}
}

// send puts a message into the network, which may lose, delay or repeat it.
func (sim *rulesSimulation) send(from, to *rulesNode, apply func(*rulesNode)) {
	latency := 500 * time.Microsecond
	if from != nil && from.vm.Location().Distance(to.vm.Location()) == 2 {
		latency = 30 * time.Millisecond
		sim.crossRegionMessages++
	}
	for range 1 + sim.chance(sim.duplicate) {
		if sim.chance(sim.loss) == 0 {
			at := sim.now + latency + time.Duration(sim.random.Int64N(int64(sim.delay)))
			sim.queue = append(sim.queue, rulesMessage{at: at, to: to, apply: apply})
		}
	}
}

func (sim *rulesSimulation) chance(percent int) int {
	if sim.random.IntN(100) < percent {
		return 1
	}
	return 0
}

// pull models a call of the control protocol: the answer brings newer rules, or else the revision of the peer. A peer
// with older rules learns that the caller has newer ones.
func (sim *rulesSimulation) pull(n, peer *rulesNode) {
	sim.pulls++
	answered := false
	asked := n.state.Rules().Revision()
	sim.send(n, peer, func(peer *rulesNode) {
		d := peer.state.Rules()
		if asked > d.Revision() {
			sim.reduce(peer, PeerAnswered{Stamp: sim.stamp(peer), VM: n.vm.Name(), Revision: asked})
		}
		sim.send(peer, n, func(n *rulesNode) {
			answered = true
			if d.Revision() > asked {
				sim.receive(d, peer.vm.Name())(n)
			}
			sim.reduce(n, PeerAnswered{Stamp: sim.stamp(n), VM: peer.vm.Name(), Revision: d.Revision()})
		})
	})
	sim.queue = append(sim.queue, rulesMessage{at: sim.now + time.Second, to: n, apply: func(n *rulesNode) {
		if !answered {
			sim.reduce(n, ControlFailed{Stamp: sim.stamp(n), VM: peer.vm.Name()})
		}
	}})
}

// run advances the time in steps of a tick.
func (sim *rulesSimulation) run(d time.Duration) {
	for end := sim.now + d; sim.now < end; {
		sim.now += TickInterval
		sim.deliver()
		for _, n := range sim.nodes {
			sim.reduce(n, Tick{Stamp: sim.stamp(n)})
			sim.watch(n)
		}
	}
}

// watch answers the node's call to the store. An answer that was lost is sent again after a second.
func (sim *rulesSimulation) watch(n *rulesNode) {
	if !n.alive || !n.watching || sim.storeDown || n.seenIndex == sim.index || sim.now < n.watchAt {
		return
	}
	n.watchAt = sim.now + time.Second
	index, receive := sim.index, sim.receive(sim.document, "")
	sim.send(nil, n, func(n *rulesNode) {
		n.seenIndex, n.watchAt = index, sim.now
		receive(n)
	})
}

func (sim *rulesSimulation) deliver() {
	for i := 0; i < len(sim.queue); i++ {
		m := sim.queue[i]
		if m.at > sim.now {
			continue
		}
		sim.queue[i] = sim.queue[len(sim.queue)-1]
		sim.queue = sim.queue[:len(sim.queue)-1]
		i--
		if m.to.alive {
			m.apply(m.to)
		}
	}
}

// rulesText returns a valid rules file that differs for each change.
func rulesText(change string) string { return "leave server-" + change + " # operator" }

// write is the compare-and-set of an operator that read the store at index with document d.
func (sim *rulesSimulation) write(index uint64, d currantloom.RulesDocument, change string) {
	if sim.storeDown || index != sim.index {
		return
	}
	sim.index++
	sim.document = currantloom.NewRulesDocument(d.Revision()+1, change, rulesText(change))
}

// expectedRevision returns the revision that must come into effect everywhere: that of the store, or the highest of a
// live State.
func (sim *rulesSimulation) expectedRevision() currantloom.RulesRevision {
	var highest currantloom.RulesRevision
	if !sim.storeDown {
		highest = sim.document.Revision()
	}
	for _, n := range sim.nodes {
		if n.alive {
			highest = max(highest, n.state.Rules().Revision())
		}
	}
	return highest
}

func (sim *rulesSimulation) checkRevision(want currantloom.RulesRevision, after time.Duration) {
	for _, n := range sim.nodes {
		if got := n.state.Rules().Revision(); n.alive && got < want {
			sim.t.Fatalf("%v after the last fault, %s has revision %d in effect, want %d", after, n.vm.Name(), got, want)
		}
	}
}

// TestFuzzRules guards against rules that go back to an older revision, that differ under one revision, or that are not
// in effect everywhere within 7 s once no messages are lost any more.
func TestFuzzRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		regions := rapid.IntRange(1, 3).Draw(t, "regions")
		sim := newRulesSimulation(t, rapid.Uint64().Draw(t, "seed"), regions, rapid.IntRange(1, 6).Draw(t, "perRegion"))
		changes := 0
		type reading struct {
			index    uint64
			document currantloom.RulesDocument
		}
		var operators [2]reading
		node := func(t *rapid.T) *rulesNode { return rapid.SampledFrom(sim.nodes).Draw(t, "node") }
		operator := func(t *rapid.T) *reading { return &operators[rapid.IntRange(0, 1).Draw(t, "operator")] }
		t.Repeat(map[string]func(*rapid.T){
			"operatorReads": func(t *rapid.T) { *operator(t) = reading{sim.index, sim.document} },
			"operatorWrites": func(t *rapid.T) {
				changes++
				r := operator(t)
				sim.write(r.index, r.document, fmt.Sprint(changes))
			},
			"network": func(t *rapid.T) {
				sim.loss = rapid.SampledFrom([]int{0, 30, 100}).Draw(t, "loss")
				sim.duplicate = rapid.SampledFrom([]int{0, 30}).Draw(t, "duplicate")
				sim.delay = rapid.SampledFrom([]time.Duration{2 * time.Millisecond, 3 * time.Second}).Draw(t, "delay")
			},
			"store": func(t *rapid.T) { sim.storeDown = rapid.Bool().Draw(t, "down") },
			"kill":  func(t *rapid.T) { node(t).alive = false },
			"restart": func(t *rapid.T) {
				n := node(t)
				old := n.state.Rules()
				sim.restart(n)
				if rapid.Bool().Draw(t, "keepsOlder") && old.Revision() > 0 {
					sim.receive(old, "")(n)
				}
			},
			"vms":  func(*rapid.T) { sim.sendVMs() },
			"time": func(t *rapid.T) { sim.run(time.Duration(rapid.IntRange(1, 60).Draw(t, "ticks")) * TickInterval) },
			"flow": func(*rapid.T) { runWithoutFaults(sim) },
		})
		runWithoutFaults(sim)
	})
}

// runWithoutFaults lets messages pass for 7 s and checks that the newest rules are then in effect. The list of VMs
// follows after 2 s, the lag of the platform.
func runWithoutFaults(sim *rulesSimulation) {
	sim.loss, sim.duplicate, sim.delay = 0, 0, 2*time.Millisecond
	want := sim.expectedRevision()
	sim.run(2 * time.Second)
	sim.sendVMs()
	sim.run(5 * time.Second)
	sim.checkRevision(want, 7*time.Second)
}

// TestRulesTraffic guards against control traffic per node that grows with the number of nodes. It logs the figures for
// docs/CAPACITY.md. One change each 95 s is 910 changes a day.
func TestRulesTraffic(t *testing.T) {
	const seconds = 95
	for _, c := range []struct{ regions, perRegion int }{{2, 4}, {4, 16}, {4, 64}, {1, 200}} {
		sim := newRulesSimulation(t, 1, c.regions, c.perRegion)
		sim.write(0, sim.document, "0")
		sim.run(5 * time.Second)
		sim.pushes, sim.pulls, sim.crossRegionMessages = 0, 0, 0
		sim.write(sim.index, sim.document, "1")
		begin, inEffect := sim.now, time.Duration(0)
		for sim.now < begin+seconds*time.Second {
			sim.run(TickInterval)
			if inEffect == 0 && sim.lowestRevision() == sim.document.Revision() {
				inEffect = sim.now - begin
			}
		}
		n := float64(len(sim.nodes)) * seconds
		bytes := (float64(sim.pushes)*pushBytes + float64(sim.pulls)*pullBytes) / n
		t.Logf("%d nodes in %d regions: in effect everywhere after %v; per node and second %.4f pushes, %.3f pulls, "+
			"%.0f bytes; %.4f messages between regions", len(sim.nodes), c.regions, inEffect, float64(sim.pushes)/n,
			float64(sim.pulls)/n, bytes, float64(sim.crossRegionMessages)/n)
		if inEffect == 0 || inEffect > 7*time.Second || bytes > 1000 {
			t.Errorf("%d nodes: in effect after %v, %.0f bytes per node and second", len(sim.nodes), inEffect, bytes)
		}
	}
}

// Sizes on the wire: the message sizes that TestMessageSizes in loompeer logs (push 292 bytes, pull 99, answer 59),
// 52 bytes of header per segment or acknowledgement, and 390 bytes to open and close a connection. In a region with
// more VMs than kept connections, most messages need a new connection.
const (
	pushBytes = 292 + 2*52 + 390
	pullBytes = 99 + 59 + 3*52 + 390
)

// lowestRevision returns the lowest revision in effect on a State.
func (sim *rulesSimulation) lowestRevision() currantloom.RulesRevision {
	least := sim.nodes[0].state.Rules().Revision()
	for _, n := range sim.nodes {
		least = min(least, n.state.Rules().Revision())
	}
	return least
}
