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

// rulesNode is one State of the simulation with its part of the world around it.
type rulesNode struct {
	state    *State
	vm       currantloom.VM
	start    time.Duration
	live     bool
	watching bool
	seen     uint64
	watchAt  time.Duration
	highest  currantloom.RulesRevision
}

// rulesWorld runs several States in virtual time against a store and a network that lose and delay.
type rulesWorld struct {
	t      rapidOrTest
	random *rand.Rand
	now    time.Duration
	nodes  []*rulesNode
	byName map[currantloom.VMName]*rulesNode
	queue  []rulesMessage
	// loss and duplicate are chances per 100; delay is the longest delay of a message within a region.
	loss, duplicate int
	delay           time.Duration
	storeDown       bool
	index           uint64
	document        currantloom.RulesDocument
	documents       map[currantloom.RulesRevision]string
	spreads, pulls  int
	distant         int
}

type rapidOrTest interface {
	Fatalf(format string, args ...any)
}

type rulesMessage struct {
	at    time.Duration
	to    *rulesNode
	apply func(n *rulesNode)
}

func newRulesWorld(t rapidOrTest, seed uint64, regions, perRegion int) *rulesWorld {
	w := &rulesWorld{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), byName: make(map[currantloom.VMName]*rulesNode),
		documents: make(map[currantloom.RulesRevision]string), delay: 2 * time.Millisecond,
	}
	for r := range regions {
		place := currantloom.NewLocation(
			currantloom.Region(fmt.Sprint("region-", r)), currantloom.FailureDomain(fmt.Sprint(r)))
		for i := range perRegion {
			name := currantloom.VMName(fmt.Sprintf("vm-%d-%d", r, i))
			n := &rulesNode{vm: currantloom.NewVM(name, place, "", "", currantloom.VMLive)}
			w.nodes = append(w.nodes, n)
			w.byName[name] = n
		}
	}
	for _, n := range w.nodes {
		w.restart(n)
	}
	w.sendVMs()
	return w
}

func (w *rulesWorld) restart(n *rulesNode) {
	n.state = New(Config{Self: n.vm.Name(), Location: n.vm.Location()})
	n.start, n.live, n.watching, n.seen, n.highest = w.now, true, false, 0, 0
}

// sendVMs gives every State the list of the live VMs.
func (w *rulesWorld) sendVMs() {
	var set currantloom.VMSet
	for _, n := range w.nodes {
		if n.live {
			set.VMs = append(set.VMs, n.vm)
		}
	}
	for _, n := range w.nodes {
		w.reduce(n, VMsReceived{Stamp: w.stamp(n), Set: set})
	}
}

func (w *rulesWorld) stamp(n *rulesNode) Stamp {
	return Stamp{Now: w.now - n.start, Random: w.random.Uint64()}
}

func (w *rulesWorld) reduce(n *rulesNode, e Event) {
	if !n.live {
		return
	}
	for _, effect := range append([]Effect(nil), n.state.Reduce(e)...) {
		switch effect := effect.(type) {
		case WatchRules:
			n.watching = effect.Enabled
		case PushRules:
			for _, vm := range effect.VMs {
				w.spreads++
				w.send(n, w.byName[vm], w.receive(effect.Document, n.vm.Name()))
			}
		case PullRules:
			w.pull(n, w.byName[effect.VM])
		}
	}
	w.check(n)
}

// check is the oracle that holds at all times.
func (w *rulesWorld) check(n *rulesNode) {
	d := n.state.Rules()
	if d.Revision() < n.highest {
		w.t.Fatalf("at %v the revision of %s fell from %d to %d", w.now, n.vm.Name(), n.highest, d.Revision())
	}
	n.highest = d.Revision()
	if text, ok := w.documents[d.Revision()]; ok && text != d.Text() {
		w.t.Fatalf("at %v two documents have revision %d: %q and %q", w.now, d.Revision(), text, d.Text())
	}
	w.documents[d.Revision()] = d.Text()
}

func (w *rulesWorld) receive(d currantloom.RulesDocument, from currantloom.VMName) func(*rulesNode) {
	return func(n *rulesNode) {
		rules, err := loomrules.Parse(d.Text())
		if err != nil {
			w.t.Fatalf("%v", err)
		}
		w.reduce(n, RulesReceived{Stamp: w.stamp(n), Document: d, Rules: rules, From: from})
	}
}

// send puts a message into the network, which may lose, delay or duplicate it.
func (w *rulesWorld) send(from, to *rulesNode, apply func(*rulesNode)) {
	latency := 500 * time.Microsecond
	if from != nil && from.vm.Location().Distance(to.vm.Location()) == 2 {
		latency = 30 * time.Millisecond
		w.distant++
	}
	for range 1 + w.chance(w.duplicate) {
		if w.chance(w.loss) == 0 {
			at := w.now + latency + time.Duration(w.random.Int64N(int64(w.delay)))
			w.queue = append(w.queue, rulesMessage{at: at, to: to, apply: apply})
		}
	}
}

func (w *rulesWorld) chance(percent int) int {
	if w.random.IntN(100) < percent {
		return 1
	}
	return 0
}

// pull does what the control protocol does: the answer brings newer rules, or else the revision of the peer, and a
// peer that is asked by a newer one learns of it.
func (w *rulesWorld) pull(n, peer *rulesNode) {
	w.pulls++
	answered := false
	asked := n.state.Rules().Revision()
	w.send(n, peer, func(peer *rulesNode) {
		d := peer.state.Rules()
		if asked > d.Revision() {
			w.reduce(peer, PeerAnswered{Stamp: w.stamp(peer), VM: n.vm.Name(), Revision: asked})
		}
		w.send(peer, n, func(n *rulesNode) {
			answered = true
			if d.Revision() > asked {
				w.receive(d, peer.vm.Name())(n)
			}
			w.reduce(n, PeerAnswered{Stamp: w.stamp(n), VM: peer.vm.Name(), Revision: d.Revision()})
		})
	})
	w.queue = append(w.queue, rulesMessage{at: w.now + time.Second, to: n, apply: func(n *rulesNode) {
		if !answered {
			w.reduce(n, ControlFailed{Stamp: w.stamp(n), VM: peer.vm.Name()})
		}
	}})
}

// run passes time in steps of a tick.
func (w *rulesWorld) run(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now += TickInterval
		w.deliver()
		for _, n := range w.nodes {
			w.reduce(n, Tick{Stamp: w.stamp(n)})
			w.watch(n)
		}
	}
}

// watch answers the node's call to the store; an answer that was lost is asked for again after a second.
func (w *rulesWorld) watch(n *rulesNode) {
	if !n.live || !n.watching || w.storeDown || n.seen == w.index || w.now < n.watchAt {
		return
	}
	n.watchAt = w.now + time.Second
	index, receive := w.index, w.receive(w.document, "")
	w.send(nil, n, func(n *rulesNode) {
		n.seen, n.watchAt = index, w.now
		receive(n)
	})
}

func (w *rulesWorld) deliver() {
	for i := 0; i < len(w.queue); i++ {
		m := w.queue[i]
		if m.at > w.now {
			continue
		}
		w.queue[i] = w.queue[len(w.queue)-1]
		w.queue = w.queue[:len(w.queue)-1]
		i--
		if m.to.live {
			m.apply(m.to)
		}
	}
}

// rulesText is a valid file that differs for each change.
func rulesText(change string) string { return "leave server-" + change + " # operator" }

// write is a compare-and-set of an operator that read the store at index with document d.
func (w *rulesWorld) write(index uint64, d currantloom.RulesDocument, change string) {
	if w.storeDown || index != w.index {
		return
	}
	w.index++
	w.document = currantloom.NewRulesDocument(d.Revision()+1, change, rulesText(change))
}

// inEffect is the revision that must come into effect everywhere: the store's, or the highest that a live State has.
func (w *rulesWorld) inEffect() currantloom.RulesRevision {
	var highest currantloom.RulesRevision
	if !w.storeDown {
		highest = w.document.Revision()
	}
	for _, n := range w.nodes {
		if n.live {
			highest = max(highest, n.state.Rules().Revision())
		}
	}
	return highest
}

func (w *rulesWorld) checkInEffect(want currantloom.RulesRevision, after time.Duration) {
	for _, n := range w.nodes {
		if got := n.state.Rules().Revision(); n.live && got < want {
			w.t.Fatalf("%v after messages flow, %s has revision %d in effect, want %d", after, n.vm.Name(), got, want)
		}
	}
}

// TestFuzzRules guards against rules that revert, that differ under one revision, or that do not come into effect
// everywhere within 7 s once messages flow again.
func TestFuzzRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		regions := rapid.IntRange(1, 3).Draw(t, "regions")
		w := newRulesWorld(t, rapid.Uint64().Draw(t, "seed"), regions, rapid.IntRange(1, 6).Draw(t, "perRegion"))
		changes := 0
		type reading struct {
			index    uint64
			document currantloom.RulesDocument
		}
		var operators [2]reading
		node := func(t *rapid.T) *rulesNode { return rapid.SampledFrom(w.nodes).Draw(t, "node") }
		operator := func(t *rapid.T) *reading { return &operators[rapid.IntRange(0, 1).Draw(t, "operator")] }
		t.Repeat(map[string]func(*rapid.T){
			"operatorReads": func(t *rapid.T) { *operator(t) = reading{w.index, w.document} },
			"operatorWrites": func(t *rapid.T) {
				changes++
				r := operator(t)
				w.write(r.index, r.document, fmt.Sprint(changes))
			},
			"network": func(t *rapid.T) {
				w.loss = rapid.SampledFrom([]int{0, 30, 100}).Draw(t, "loss")
				w.duplicate = rapid.SampledFrom([]int{0, 30}).Draw(t, "duplicate")
				w.delay = rapid.SampledFrom([]time.Duration{2 * time.Millisecond, 3 * time.Second}).Draw(t, "delay")
			},
			"store": func(t *rapid.T) { w.storeDown = rapid.Bool().Draw(t, "down") },
			"kill":  func(t *rapid.T) { node(t).live = false },
			"restart": func(t *rapid.T) {
				n := node(t)
				old := n.state.Rules()
				w.restart(n)
				if rapid.Bool().Draw(t, "keepsOlder") && old.Revision() > 0 {
					w.receive(old, "")(n)
				}
			},
			"vms":  func(*rapid.T) { w.sendVMs() },
			"time": func(t *rapid.T) { w.run(time.Duration(rapid.IntRange(1, 60).Draw(t, "ticks")) * TickInterval) },
			"flow": func(*rapid.T) { flow(w) },
		})
		flow(w)
	})
}

// flow lets messages pass for 7 s. The platform's list follows after a lag of 2 s.
func flow(w *rulesWorld) {
	w.loss, w.duplicate, w.delay = 0, 0, 2*time.Millisecond
	want := w.inEffect()
	w.run(2 * time.Second)
	w.sendVMs()
	w.run(5 * time.Second)
	w.checkInEffect(want, 7*time.Second)
}

// TestRulesTraffic guards against a growth of the control traffic per node with the fleet. It prints the figures of
// the capacity page: one change each 95 s is 910 a day.
func TestRulesTraffic(t *testing.T) {
	const seconds = 95
	for _, c := range []struct{ regions, perRegion int }{{2, 4}, {4, 16}, {4, 64}, {1, 200}} {
		w := newRulesWorld(t, 1, c.regions, c.perRegion)
		w.write(0, w.document, "0")
		w.run(5 * time.Second)
		w.spreads, w.pulls, w.distant = 0, 0, 0
		w.write(w.index, w.document, "1")
		begin, inEffect := w.now, time.Duration(0)
		for w.now < begin+seconds*time.Second {
			w.run(TickInterval)
			if inEffect == 0 && w.least() == w.document.Revision() {
				inEffect = w.now - begin
			}
		}
		n := float64(len(w.nodes)) * seconds
		bytes := (float64(w.spreads)*pushBytes + float64(w.pulls)*pullBytes) / n
		t.Logf("%d nodes in %d regions: in effect everywhere after %v; per node and second %.4f pushes, %.3f pulls, "+
			"%.0f bytes; %.4f messages between regions", len(w.nodes), c.regions, inEffect, float64(w.spreads)/n,
			float64(w.pulls)/n, bytes, float64(w.distant)/n)
		if inEffect == 0 || inEffect > 7*time.Second || bytes > 1000 {
			t.Errorf("%d nodes: in effect after %v, %.0f bytes per node and second", len(w.nodes), inEffect, bytes)
		}
	}
}

// Sizes on the wire, with what TestMessageSizes in loompeer prints (push 292 bytes, pull 99, answer 59), 52 bytes of
// header per segment or acknowledgement, and 390 bytes to open and close a connection. In a region with more VMs than
// kept connections most messages need a connection of their own.
const (
	pushBytes = 292 + 2*52 + 390
	pullBytes = 99 + 59 + 3*52 + 390
)

// least returns the lowest revision in effect on a live State.
func (w *rulesWorld) least() currantloom.RulesRevision {
	least := w.nodes[0].state.Rules().Revision()
	for _, n := range w.nodes {
		least = min(least, n.state.Rules().Revision())
	}
	return least
}
