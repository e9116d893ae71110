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
	// PushTime is the time for which changes or a copy for one node occupy the link of the sender.
	PushTime time.Duration
	// AnswerTime is the time for which each change in an answer of the store occupies the link between the regions. The
	// store answers the odd failure domains over that link, and repeats each change after the base of the call.
	AnswerTime time.Duration
	// Bound is the time within which a change has to be known to each node in touch. A node is in touch if neither it nor
	// its paths were disturbed for ContactTime.
	Bound, ContactTime time.Duration
}

const (
	// watchersPerDomain is the number of watchers of a failure domain.
	watchersPerDomain = 2
	// watchTick is the time between two looks of a node at its schedule.
	watchTick = 20 * time.Millisecond
	// watchHeartbeat is the time between two heartbeats of a node that watches the store, watchActing how long after one
	// it counts as such, watchCopy the time between two requests for a copy, watchPeers how many others are asked.
	watchHeartbeat = time.Second
	watchActing    = 3 * time.Second
	watchCopy      = 500 * time.Millisecond
	watchPeers     = 2
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
	// regionFreeAt is when the link between the regions has carried all answers.
	regionFreeAt time.Duration
}

// watchNode is a node of a WatchFleet.
type watchNode struct {
	fleet *WatchFleet
	name  string
	role  loomwatch.Role
	// domain are the nodes of the failure domain in the order of their ranks, rank the place of this node. remote says
	// that the store is in another region.
	domain   []*watchNode
	rank     int
	remote   bool
	schedule *loomwatch.Schedule
	// position is the newest revision up to which the node knows all changes, provenAt the time of the newest proof.
	position int
	provenAt time.Duration
	waiting  *watchCall
	// pushedAt is when other nodes last sent a push, copyRequestedAt when the copy of one was requested, missing the
	// newest revision that one has shown.
	pushedAt                     map[*watchNode]time.Duration
	copyRequestedAt, heartbeatAt time.Duration
	missing                      int
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
	// answered says that the store has sent the answer.
	answered bool
}

// NewWatchFleet returns a fleet whose nodes start at once.
func NewWatchFleet(seed uint64, o WatchOptions) *WatchFleet {
	f := &WatchFleet{options: o, random: rand.New(rand.NewPCG(seed, seed)), changedAt: []time.Duration{0}}
	domains := make([][]*watchNode, max(o.Domains, 1))
	for i := range o.Nodes {
		n := &watchNode{
			fleet: f, name: fmt.Sprintf("vm-%d", i+1), schedule: loomwatch.New(f.random.Uint64(), 0), pushFactor: 1,
			pushedAt: make(map[*watchNode]time.Duration),
		}
		d := i % len(domains)
		n.remote = d%2 == 1
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
		n.role, n.rank, n.domain = loomwatch.Follower, i, domain
		if i < watchersPerDomain {
			n.role = loomwatch.Watcher
		}
		n.schedule.SetRole(n.role, i)
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
	if at, ok := n.schedule.NextRequest(now); ok && at <= now {
		n.requestProofs()
	}
	if n.schedule.IsActing(now) && now-n.heartbeatAt >= watchHeartbeat {
		n.heartbeatAt = now
		n.push(n.position, n.position, 0)
	}
	if at, ok := n.schedule.NextCall(); ok && at <= now {
		n.call()
	}
}

// requestProofs asks the nodes that watch the store in the failure domain for their proofs, and others at random
// whether they have changes.
func (n *watchNode) requestProofs() {
	now := n.fleet.now
	number := n.schedule.StartRequest(now)
	for i, other := range n.domain {
		at, heard := n.pushedAt[other]
		acting := heard && now-at <= watchActing && (i < n.rank || n.rank < watchersPerDomain)
		if other != n && (i < watchersPerDomain || acting) {
			n.send(other, 0, func() { other.answerRequest(n, number, false) })
		}
	}
	for range watchPeers {
		peer := n.fleet.nodes[n.fleet.random.IntN(len(n.fleet.nodes))]
		if position := n.position; !n.schedule.IsProven(now) && peer != n && peer.remote == n.remote {
			n.send(peer, 0, func() {
				if peer.position > position {
					peer.answerRequest(n, 0, false)
				}
			})
		}
	}
}

// call calls the store. The store answers at once if there are changes, and otherwise at the next change or after the
// wait.
func (n *watchNode) call() {
	f := n.fleet
	f.calls++
	wait := n.schedule.StartCall(f.now)
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
		// An answer that is arriving is not given up.
		if !c.answered {
			n.finish(c, 0, func() { n.schedule.CallFailed(f.now, f.random.Uint64()) })
		}
	})
}

// answerWaiting answers the node's call, unless it was lost or has not arrived yet.
func (n *watchNode) answerWaiting() {
	f, c := n.fleet, n.waiting
	if c == nil || c.lost || c.answered || f.now < c.askedAt+storeDelay {
		return
	}
	c.answered = true
	revision, d := len(f.changedAt)-1, storeDelay
	if n.remote {
		f.regionFreeAt = max(f.regionFreeAt, f.now) + time.Duration(revision-c.base)*f.options.AnswerTime
		d += f.regionFreeAt - f.now
	}
	f.after(d, func() { n.finish(c, 0, func() { n.applyAnswer(c, revision) }) })
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
	now, base := n.fleet.now, n.position
	changed := revision > base
	n.schedule.CallSucceeded(now, c.askedAt, changed && n.role != loomwatch.Direct)
	n.advance(revision, c.askedAt)
	if changed && n.schedule.IsActing(now) {
		n.push(base, revision, n.fleet.options.PushTime)
	}
}

// push sends changes to the other nodes of the failure domain.
func (n *watchNode) push(base, revision int, size time.Duration) {
	for _, other := range n.domain {
		if other != n {
			n.send(other, size, func() {
				other.pushedAt[n] = n.fleet.now
				other.receiveChanges(n, base, revision)
			})
		}
	}
}

// receiveChanges applies changes after base, or requests a copy if the node lacks the changes before them.
func (n *watchNode) receiveChanges(from *watchNode, base, revision int) {
	now := n.fleet.now
	if base <= n.position {
		n.advance(revision, 0)
		return
	}
	if now-n.copyRequestedAt < watchCopy || n.role != loomwatch.Follower && n.schedule.IsProven(now) {
		return
	}
	n.missing, n.copyRequestedAt = revision, now
	n.schedule.ChangesMissing(now)
	number := n.schedule.StartRequest(now)
	n.send(from, 0, func() { from.answerRequest(n, number, true) })
}

// advance records the revision up to which the node knows all changes, and the time of the proof.
func (n *watchNode) advance(revision int, provenAt time.Duration) {
	n.position, n.provenAt = max(n.position, revision), max(n.provenAt, provenAt)
	if n.missing <= n.position {
		n.schedule.ChangesReceived()
	}
}

// answerRequest sends the proof of this node, with its copy if that is wanted.
func (n *watchNode) answerRequest(to *watchNode, number uint64, wantsCopy bool) {
	position, base, size, age := n.position, n.position, time.Duration(0), n.fleet.now-n.provenAt
	if wantsCopy {
		base, size = 0, n.fleet.options.PushTime
	}
	n.send(to, size, func() {
		to.receiveChanges(n, base, position)
		if at, ok := to.schedule.ProofReceived(number, age); ok && to.position >= position {
			to.advance(position, at)
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
