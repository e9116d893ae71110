package loommodel

import (
	"fmt"
	"math/rand/v2"
	"time"

	"currantloom.example/currantloom/loomwatch"
)

// WatchOptions configures a WatchFleet.
type WatchOptions struct {
	// Nodes are spread over the failure domains in turn. With Domains zero each node watches the store itself.
	Nodes, Domains int
	// PushTime is the time for which one push of changes occupies the link of a watcher.
	PushTime time.Duration
	// Bound is the time within which a change has to be known to each node in touch. A node is in touch if neither it nor
	// its paths were disturbed for ContactTime.
	Bound, ContactTime time.Duration
}

const (
	// watchersPerDomain is the number of watchers of a failure domain.
	watchersPerDomain = 2
	// watchTick is the time between two looks of a node at its schedule.
	watchTick = 20 * time.Millisecond
	// watchLinkDelay is the delay of a message between nodes of a failure domain.
	watchLinkDelay = 500 * time.Microsecond
)

// WatchFleet simulates in virtual time how the nodes of a fleet learn of changes in the store: their calls, the pushes
// of watchers and the requests for proofs, as the schedules of loomwatch decide. An oracle checks that each node in
// touch knows each change in time.
type WatchFleet struct {
	virtualTime
	options WatchOptions
	random  *rand.Rand
	nodes   []*watchNode
	// changedAt holds the time of each change; its index is the revision.
	changedAt  []time.Duration
	violations []string
	calls      int
}

// watchNode is a node of a WatchFleet.
type watchNode struct {
	fleet    *WatchFleet
	name     string
	role     loomwatch.Role
	watchers []*watchNode
	// followers are the other nodes of the failure domain, if the node is a watcher.
	followers []*watchNode
	schedule  *loomwatch.Schedule
	// position is the newest revision up to which the node knows all changes, provenAt the time of the newest proof.
	position int
	provenAt time.Duration
	waiting  *watchCall
	// refused says that the store turns the node away, silently or with an error; paused that its process is stopped;
	// dead that it was removed and is still registered.
	refused, silent, paused, dead bool
	// disturbedUntil is the end of the last fault at the node or its paths.
	disturbedUntil time.Duration
	// late delays all messages that the node sends, pushFactor multiplies the time that its pushes take, muted drops its
	// messages.
	late       time.Duration
	pushFactor int
	muted      bool
	linkFreeAt time.Duration
	inbox      []func()
}

// watchCall is a call to the store that waits for changes after base.
type watchCall struct {
	base    int
	askedAt time.Duration
	// lost says that the call gets no answer, because the store turned the node away while it was under way.
	lost bool
}

// NewWatchFleet returns a fleet whose nodes start at once.
func NewWatchFleet(seed uint64, o WatchOptions) *WatchFleet {
	f := &WatchFleet{options: o, random: rand.New(rand.NewPCG(seed, seed)), changedAt: []time.Duration{0}}
	domains := make([][]*watchNode, max(o.Domains, 1))
	for i := range o.Nodes {
		n := &watchNode{
			fleet: f, name: fmt.Sprintf("vm-%d", i+1), schedule: loomwatch.New(f.random.Uint64(), 0), pushFactor: 1,
		}
		d := i % len(domains)
		domains[d] = append(domains[d], n)
		f.nodes = append(f.nodes, n)
	}
	if o.Domains > 0 {
		for _, domain := range domains {
			assignRoles(domain)
		}
	}
	for _, n := range f.nodes {
		f.after(time.Duration(f.random.Int64N(int64(watchTick))), n.tick)
	}
	f.after(watchTick, f.check)
	return f
}

// assignRoles makes the first nodes of a failure domain its watchers.
func assignRoles(domain []*watchNode) {
	for i, n := range domain {
		n.role = loomwatch.Follower
		if i < watchersPerDomain {
			n.role = loomwatch.Watcher
		}
		n.schedule.SetRole(n.role)
		for j, other := range domain {
			if other != n && j < watchersPerDomain {
				n.watchers = append(n.watchers, other)
			}
			if other != n && n.role == loomwatch.Watcher {
				n.followers = append(n.followers, other)
			}
		}
	}
}

// Violations returns what the oracle found, at most maxViolations.
func (f *WatchFleet) Violations() []string { return f.violations }

// Calls returns the number of calls to the store.
func (f *WatchFleet) Calls() int { return f.calls }

// Change writes to the store.
func (f *WatchFleet) Change() {
	f.changedAt = append(f.changedAt, f.now)
	for _, n := range f.nodes {
		n.answerWaiting()
	}
}

// check checks that each node in touch knows all changes that are older than the bound.
func (f *WatchFleet) check() {
	f.after(watchTick, f.check)
	due := 0
	for revision, at := range f.changedAt {
		if f.now-at > f.options.Bound {
			due = revision
		}
	}
	for _, n := range f.nodes {
		if n.isInTouch() && n.position < due && len(f.violations) < maxViolations {
			f.violations = append(f.violations, fmt.Sprintf("%s: %s (role %d) has revision %d, revision %d is %s old",
				f.now, n.name, n.role, n.position, due, f.now-f.changedAt[due]))
		}
	}
}

func (n *watchNode) isInTouch() bool {
	return !n.refused && !n.paused && !n.dead && n.fleet.now-n.disturbedUntil >= n.fleet.options.ContactTime
}

// tick makes the calls and requests that are due.
func (n *watchNode) tick() {
	if n.dead {
		return
	}
	n.fleet.after(watchTick, n.tick)
	if n.paused {
		return
	}
	now := n.fleet.now
	if at, ok := n.schedule.NextRequest(); ok && at <= now {
		number := n.schedule.StartRequest(now)
		for _, w := range n.watchers {
			n.send(w, 0, func() { w.answerRequest(n, number) })
		}
	}
	if at, ok := n.schedule.NextCall(); ok && at <= now {
		n.call()
	}
}

// call calls the store. The store answers at once if there are changes, and otherwise at the next change or after the
// wait.
func (n *watchNode) call() {
	f := n.fleet
	f.calls++
	wait := n.schedule.StartCall()
	c := &watchCall{base: n.position, askedAt: f.now}
	n.waiting = c
	f.after(storeDelay, func() {
		switch {
		case n.refused && !n.silent:
			n.finish(c, storeDelay, func() { n.schedule.CallFailed(f.now, f.random.Uint64()) })
		case n.refused:
			c.lost = true
		case c.base < len(f.changedAt)-1:
			n.answerWaiting()
		}
	})
	f.after(storeDelay+wait, func() {
		if n.waiting == c {
			n.answerWaiting()
		}
	})
	f.after(wait+loomwatch.CallTimeout, func() {
		n.finish(c, 0, func() { n.schedule.CallFailed(f.now, f.random.Uint64()) })
	})
}

// answerWaiting answers the node's call, unless it was lost or has not arrived yet.
func (n *watchNode) answerWaiting() {
	c := n.waiting
	if c == nil || c.lost || n.fleet.now < c.askedAt+storeDelay {
		return
	}
	revision := len(n.fleet.changedAt) - 1
	n.finish(c, storeDelay, func() { n.applyAnswer(c, revision) })
}

// finish ends a call that is still under way, after the delay.
func (n *watchNode) finish(c *watchCall, d time.Duration, end func()) {
	if n.waiting != c {
		return
	}
	n.waiting = nil
	n.deliver(d, end)
}

func (n *watchNode) applyAnswer(c *watchCall, revision int) {
	base, changed := n.position, revision > n.position
	n.position = max(n.position, revision)
	n.schedule.CallSucceeded(n.fleet.now, c.askedAt, changed)
	n.provenAt = max(n.provenAt, c.askedAt)
	if changed {
		for _, other := range n.followers {
			n.send(other, n.fleet.options.PushTime, func() { other.receivePush(base, revision) })
		}
	}
}

// receivePush applies changes after base.
func (n *watchNode) receivePush(base, revision int) {
	if base > n.position {
		n.schedule.ChangesMissing()
		return
	}
	n.position = max(n.position, revision)
}

// answerRequest sends the proof of this node.
func (n *watchNode) answerRequest(to *watchNode, number uint64) {
	position, age := n.position, n.fleet.now-n.provenAt
	n.send(to, 0, func() {
		to.receivePush(position, position)
		if to.position < position {
			return
		}
		if at, ok := to.schedule.ProofReceived(number, age); ok {
			to.provenAt = at
		}
	})
}

// send delivers a message to another node. Messages of a node leave in the order of sending; each occupies its link.
func (n *watchNode) send(to *watchNode, size time.Duration, receive func()) {
	f := n.fleet
	n.linkFreeAt = max(n.linkFreeAt, f.now) + size*time.Duration(n.pushFactor)
	if !n.muted && !to.dead {
		to.deliver(n.linkFreeAt-f.now+watchLinkDelay+n.late, receive)
	}
}

// deliver runs a function of the node after the delay, or when it is no longer paused.
func (n *watchNode) deliver(d time.Duration, run func()) {
	n.fleet.after(d, func() {
		if n.paused {
			n.inbox = append(n.inbox, run)
		} else if !n.dead {
			run()
		}
	})
}

// RunAt runs a function at a virtual time.
func (f *WatchFleet) RunAt(at time.Duration, run func()) { f.after(at-f.now, run) }
