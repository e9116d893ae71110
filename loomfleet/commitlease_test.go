package loomfleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"currantloom.example/currantloom"
)

// leaseWorld draws orders of events between a holder of the failover lease and nodes that acknowledge commits: messages
// that are late or lost, nodes that are frozen or start again, and holders that are replaced.
type leaseWorld struct {
	*testing.T
	random *rand.Rand
	now    time.Duration
	timers fleetTimers
	nodes  []*leaseNode
	// acting is the current holder's number; its grants and its change of primary. actingSince is when it became that.
	// actingSince is since when the current holder acts, givenAt its grants, block its change of primary, and changes the
	// number of the last one.
	actingSince time.Duration
	givenAt     map[currantloom.VMName]time.Duration
	block       commitBlock
	changes     uint64
	// orders counts the promotions that were requested, acknowledged the commits that were.
	orders, acknowledged int
}

// leaseNode is a node that acknowledges commits.
type leaseNode struct {
	name        currantloom.VMName
	lease       commitLease
	frozenUntil time.Duration
	cutUntil    time.Duration
}

func (w *leaseWorld) draw(limit time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(limit)))
}

func (w *leaseWorld) after(d time.Duration, run func()) {
	w.timers = append(w.timers, fleetTimer{at: w.now + d, run: run})
}

// deliver delivers a message of or to a node, unless a cut loses it. A frozen node handles it when it wakes.
func (w *leaseWorld) deliver(n *leaseNode, run func()) {
	if w.now < n.cutUntil {
		return
	}
	w.after(time.Millisecond+w.draw(60*time.Millisecond), func() {
		if wait := n.frozenUntil - w.now; wait > 0 {
			w.after(wait, run)
			return
		}
		run()
	})
}

// ping asks the holder for leave to acknowledge commits.
func (w *leaseWorld) ping(n *leaseNode) {
	askedAt := w.now
	w.deliver(n, func() {
		if w.block.hasBegun() {
			return
		}
		w.givenAt[n.name] = w.now
		w.deliver(n, func() { n.lease.renew(w.now, askedAt, askedAt+commitLeaseDuration) })
	})
}

// commit sends a commit, whose answer arrives after a while.
func (w *leaseWorld) commit(n *leaseNode) {
	if !n.lease.mayStart(w.now) {
		return
	}
	sentAt, orders := w.now, w.orders
	answered := func() {
		if !n.lease.covers(w.now, sentAt) {
			return
		}
		w.acknowledged++
		if w.orders != orders {
			w.Errorf("%s: %s acknowledges a commit of a primary that was replaced since it was sent", w.now, n.name)
		}
		if w.block.isComplete(w.now) {
			w.Errorf("%s: %s acknowledges a commit although the change of primary counts on it not to", w.now, n.name)
		}
	}
	w.after(w.draw(1500*time.Millisecond), func() { w.deliver(n, answered) })
}

// beginChange blocks commits at all nodes, as a failover does.
func (w *leaseWorld) beginChange() {
	leases := make(map[currantloom.VMName]time.Duration)
	for _, n := range w.nodes {
		leases[n.name] = max(w.givenAt[n.name], w.actingSince) + commitLeaseDuration
	}
	w.changes++
	w.block = newCommitBlock(w.changes, leases)
	for _, n := range w.nodes {
		w.deliver(n, func() {
			n.lease.block(w.now)
			n.lease.revoke()
			number := w.block.number
			w.deliver(n, func() {
				if w.block.number == number {
					w.block.confirm(n.name)
				}
			})
		})
	}
}

// step lets something happen.
func (w *leaseWorld) step() {
	n := w.nodes[w.random.IntN(len(w.nodes))]
	switch w.random.IntN(60) {
	case 0:
		n.frozenUntil = w.now + w.draw(3*time.Second)
	case 1:
		n.cutUntil = w.now + w.draw(4*time.Second)
	case 2:
		// The next holder knows neither the leases nor the change of the one before, which has requested nothing.
		w.givenAt, w.actingSince, w.block = make(map[currantloom.VMName]time.Duration), w.now, commitBlock{}
	case 3, 4:
		if !w.block.hasBegun() {
			w.beginChange()
		}
	case 5:
		if w.block.isComplete(w.now) {
			w.orders, w.block = w.orders+1, commitBlock{}
		}
	case 6, 7, 8, 9, 10, 11, 12, 13:
		if w.now >= n.frozenUntil {
			w.ping(n)
		}
	default:
		if w.now >= n.frozenUntil {
			w.commit(n)
		}
	}
}

// run plays a world for a time in steps of 10 ms.
func (w *leaseWorld) run(d time.Duration) {
	for end := w.now + d; w.now < end; w.now += 10 * time.Millisecond {
		due := w.timers
		w.timers = nil
		for _, timer := range due {
			if timer.at <= w.now {
				timer.run()
			} else {
				w.timers = append(w.timers, timer)
			}
		}
		w.step()
	}
}

// TestCommitLeaseOrders guards against a node that acknowledges a commit while a change of primary counts on it not to,
// in any order of events.
func TestCommitLeaseOrders(t *testing.T) {
	orders, acknowledged := 0, 0
	for seed := range uint64(500) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := &leaseWorld{
				T: t, random: rand.New(rand.NewPCG(seed, 57)), now: time.Minute,
				givenAt: make(map[currantloom.VMName]time.Duration),
			}
			for i := range 3 {
				w.nodes = append(w.nodes, &leaseNode{name: currantloom.VMName(fmt.Sprintf("vm-%d", i))})
			}
			w.run(40 * time.Second)
			orders, acknowledged = orders+w.orders, acknowledged+w.acknowledged
		})
	}
	if orders < 1000 || acknowledged < 5000 {
		t.Errorf("%d changes and %d commits, too few to show anything", orders, acknowledged)
	}
}
