package loommeasure

import (
	"reflect"
	"slices"
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomcore"
)

// pollTimeout is the time after which a poll without an answer counts as failed.
const pollTimeout = 400 * time.Millisecond

// node runs a loomcore.State: it delivers events and executes the effects that they cause.
type node struct {
	sim        *simulation
	vm         currantloom.VM
	state      *loomcore.State
	queries    map[currantloom.RequestKey]*query
	attempts   map[currantloom.RequestKey]*ownedAttempt
	fifoQueues map[currantloom.UpstreamName]*fifoQueue
}

// ownedAttempt is an attempt of a request at the owner of its upstream.
type ownedAttempt struct {
	query    *query
	number   int
	header   currantloom.RequestHeader
	upstream *upstream
	result   currantloom.PostgresResult
}

func newNode(sim *simulation, vm currantloom.VM) *node {
	return &node{
		sim: sim, vm: vm,
		state:      loomcore.New(loomcore.Config{Self: vm.Name(), Location: vm.Location(), Databases: sim.databases}),
		queries:    make(map[currantloom.RequestKey]*query),
		attempts:   make(map[currantloom.RequestKey]*ownedAttempt),
		fifoQueues: make(map[currantloom.UpstreamName]*fifoQueue),
	}
}

func (n *node) tick() {
	n.deliver(loomcore.Tick{})
	n.sim.after(loomcore.TickInterval, n.tick)
}

// deliver stamps an event with the virtual time and a random number, reduces it and executes the effects.
func (n *node) deliver(e loomcore.Event) {
	stamp := loomcore.Stamp{Now: n.sim.now, Random: n.sim.random.Uint64()}
	event := reflect.New(reflect.TypeOf(e)).Elem()
	event.Set(reflect.ValueOf(e))
	event.FieldByName("Stamp").Set(reflect.ValueOf(stamp))
	for _, effect := range slices.Clone(n.state.Reduce(event.Interface().(loomcore.Event))) {
		n.execute(effect)
	}
}

func (n *node) execute(e loomcore.Effect) {
	switch e := e.(type) {
	case loomcore.PollStatus:
		n.poll(e.Upstream)
	case loomcore.RaiseTerm:
		n.raiseTerm(e)
	case loomcore.Promote:
		n.promote(e)
	case loomcore.Follow:
		n.callUpstream(e.Upstream, func(u *upstream) { u.follow(e.Term, n.sim.upstreams[e.Primary]) }, func() {})
	case loomcore.Forward:
		n.forward(e)
	case loomcore.Respond:
		q := n.queries[e.Key]
		delete(n.queries, e.Key)
		n.sim.deliverResponse(q, e.Trailer)
	case loomcore.Run:
		n.runAttempt(e)
	case loomcore.Acknowledge:
		n.finishRun(e.Key)
	case loomcore.Reject:
		n.reject(e)
	case loomcore.Complete:
		a := n.attempts[e.Key]
		delete(n.attempts, e.Key)
		n.respond(a, e.Trailer)
	case loomcore.ConfirmPosition:
		n.confirmPosition(e)
	}
}

// callUpstream sends a call to an upstream. When it arrives, handle runs if the upstream is up, and has to send the
// reply. If the upstream is down, failed runs when its refusal arrives, or after pollTimeout if it is unresponsive.
func (n *node) callUpstream(name currantloom.UpstreamName, handle func(*upstream), failed func()) {
	u := n.sim.upstreams[name]
	n.sim.send(n.vm.Location(), u.description.Location(), pollSize, trafficControl, func() {
		switch {
		case u.up:
			handle(u)
		case u.unresponsive:
			n.sim.after(pollTimeout, failed)
		default:
			n.sim.send(u.description.Location(), n.vm.Location(), pollSize, trafficControl, failed)
		}
	})
}

// receiveStatus runs a function when a reply of the size of a status, sent now by the upstream, arrives at this node.
func (n *node) receiveStatus(u *upstream, then func()) {
	n.sim.send(u.description.Location(), n.vm.Location(), statusSize, trafficControl, then)
}

func (n *node) poll(name currantloom.UpstreamName) {
	sentAt := n.sim.now
	n.callUpstream(name, func(u *upstream) {
		status := u.status()
		n.receiveStatus(u, func() { n.deliver(loomcore.StatusReceived{Upstream: name, SentAt: sentAt, Status: status}) })
	}, func() {
		if n.sim.upstreams[name].unresponsive {
			n.deliver(loomcore.StatusFailed{Upstream: name, SentAt: sentAt})
			return
		}
		if n.sim.policy == policyNoSuspicion {
			n.sim.after(pollTimeout, func() { n.deliver(loomcore.StatusFailed{Upstream: name, SentAt: sentAt}) })
			return
		}
		n.deliver(loomcore.StatusFailed{Upstream: name, SentAt: sentAt, ConnectionRefused: true})
	})
}

func (n *node) raiseTerm(e loomcore.RaiseTerm) {
	n.callUpstream(e.Upstream, func(u *upstream) {
		grant := u.raiseTerm(e.Term)
		n.receiveStatus(u, func() {
			n.deliver(loomcore.RaiseTermAnswered{Upstream: e.Upstream, Term: e.Term, Grant: grant})
		})
	}, func() { n.deliver(loomcore.RaiseTermAnswered{Upstream: e.Upstream, Term: e.Term, Failed: true}) })
}

func (n *node) promote(e loomcore.Promote) {
	n.callUpstream(e.Upstream, func(u *upstream) {
		promoted := u.promote(e.Term)
		n.receiveStatus(u, func() {
			n.deliver(loomcore.PromoteAnswered{Upstream: e.Upstream, Term: e.Term, Failed: !promoted})
		})
	}, func() { n.deliver(loomcore.PromoteAnswered{Upstream: e.Upstream, Term: e.Term, Failed: true}) })
}

func (n *node) confirmPosition(e loomcore.ConfirmPosition) {
	n.callUpstream(e.Upstream, func(u *upstream) {
		status := u.status()
		n.receiveStatus(u, func() {
			n.deliver(loomcore.ConfirmPositionAnswered{Key: e.Key, Upstream: e.Upstream, Status: status})
		})
	}, func() { n.deliver(loomcore.ConfirmPositionAnswered{Key: e.Key, Upstream: e.Upstream, Failed: true}) })
}

// receive handles a statement that arrives from a client.
func (n *node) receive(q *query) {
	if n.sim.policy == policySplitConnections {
		n.runWithSplitConnections(q)
		return
	}
	n.queries[q.request.Key] = q
	n.deliver(loomcore.RequestArrived{Request: q.request})
}

// forward sends an attempt from the entry node to the owner of the upstream.
func (n *node) forward(e loomcore.Forward) {
	q := n.queries[e.Header.Key.Request()]
	owner := n.sim.nodeByName(e.VM)
	a := &ownedAttempt{query: q, number: e.Attempt, header: e.Header, upstream: n.sim.upstreams[e.Header.Upstream]}
	arrive := func() {
		q.queuedAt = n.sim.now
		if n.sim.policy == policyFIFO {
			owner.enqueueFIFO(a)
			return
		}
		if _, ok := owner.attempts[e.Header.Key]; ok {
			owner.respond(a, currantloom.ResponseTrailer{
				Verdict: currantloom.NotRun, SQLState: currantloom.SQLStateCannotConnectNow, Reason: "an earlier attempt runs",
			})
			return
		}
		owner.attempts[e.Header.Key] = a
		owner.deliver(loomcore.AttemptArrived{Header: e.Header})
	}
	if owner == n {
		n.sim.after(0, arrive)
		return
	}
	n.sim.send(n.vm.Location(), owner.vm.Location(), requestSize, trafficStatement, arrive)
}

// respond sends the response trailer of an attempt to the entry node.
func (n *node) respond(a *ownedAttempt, t currantloom.ResponseTrailer) {
	entry := a.query.entry
	finished := func() {
		entry.deliver(loomcore.ForwardFinished{Key: a.header.Key, Attempt: a.number, Sent: true, Trailer: t})
	}
	if entry == n {
		n.sim.after(0, finished)
		return
	}
	n.sim.send(n.vm.Location(), entry.vm.Location(), responseSize, trafficStatement, finished)
}

// runAttempt runs an admitted attempt on a connection to its upstream.
func (n *node) runAttempt(e loomcore.Run) {
	a := n.attempts[e.Key]
	a.query.startedAt = n.sim.now
	n.acquireConnection(a.upstream, func(failure *currantloom.PostgresResult) {
		if failure != nil {
			n.deliver(loomcore.RunFinished{Key: e.Key, Result: *failure})
			return
		}
		n.runStatement(a.upstream, a.query, e.ConfirmTerm, func(r currantloom.PostgresResult) {
			a.result = r
			if e.WithholdCompletion && r.Err == nil {
				n.deliver(loomcore.RunAnswered{Key: e.Key, Result: r})
				return
			}
			n.finishRun(e.Key)
		})
	})
}

// finishRun releases the connection of an attempt, unless it was lost, and reports the result to the reducer.
func (n *node) finishRun(key currantloom.RequestKey) {
	a := n.attempts[key]
	if a.upstream.up && a.result.Code != currantloom.SQLStateConnectionFailure {
		a.upstream.idleConnections[n]++
	}
	result := a.result
	if n.sim.policy == policyNoSuspicion && result.Code == currantloom.SQLStateConnectionFailure {
		result.Code = currantloom.SQLStateOutcomeUnknown
		if result.Verdict == currantloom.NotRun {
			result.Code = currantloom.SQLStateCannotConnectNow
		}
	}
	n.deliver(loomcore.RunFinished{Key: key, Result: result})
}

// reject ends an attempt that was not admitted, or whose completion is not reported although it ran.
func (n *node) reject(e loomcore.Reject) {
	a := n.attempts[e.Key]
	started := a.result.Verdict == currantloom.Ran
	if started {
		n.finishRun(e.Key)
	}
	delete(n.attempts, e.Key)
	n.respond(a, e.Trailer)
}

// acquireConnection takes an idle connection or opens a new one, and calls then with nil or with the failure.
func (n *node) acquireConnection(u *upstream, then func(failure *currantloom.PostgresResult)) {
	switch {
	case (u.up || u.unresponsive) && u.idleConnections[n] > 0:
		u.idleConnections[n]--
		then(nil)
	case !u.up:
		lost, delay := connectionLost(currantloom.NotRun), 2*crossDomainLatency
		if u.unresponsive {
			delay = stallTimeout
		}
		n.sim.after(delay, func() { then(&lost) })
	case u.connections >= n.sim.deployment.connections:
		refused := currantloom.PostgresResult{
			Verdict: currantloom.NotRun, Code: currantloom.SQLStateTooManyConnections,
			Err: currantloom.NewRequestError(currantloom.NotRun, currantloom.SQLStateTooManyConnections, 0, "too many"),
		}
		n.sim.after(2*crossDomainLatency, func() { then(&refused) })
	default:
		u.connections++
		n.sim.after(n.sim.deployment.connectTime, func() { then(nil) })
	}
}

// runStatement runs a statement at an upstream and calls done when its result arrives at this node.
func (n *node) runStatement(u *upstream, q *query, confirmTerm bool, done func(currantloom.PostgresResult)) {
	reply := func(r currantloom.PostgresResult) {
		n.sim.send(u.description.Location(), n.vm.Location(), responseSize, trafficStatement, func() { done(r) })
	}
	n.sim.send(n.vm.Location(), u.description.Location(), requestSize, trafficStatement, func() {
		switch {
		case u.unresponsive:
			n.sim.after(stallTimeout, func() { done(connectionLost(currantloom.MayHaveRun)) })
			return
		case !u.up:
			reply(connectionLost(currantloom.MayHaveRun))
			return
		}
		u.start(&statement{
			write: q.request.Kind == currantloom.WriteRequest, confirmTerm: confirmTerm, remaining: q.serviceTime,
			done: func(r currantloom.PostgresResult) {
				q.servedBy, q.logLength, q.ran = u, len(u.log), r.Verdict == currantloom.Ran
				reply(r)
			},
		})
	})
}

func (sim *simulation) nodeByName(name currantloom.VMName) *node {
	for _, n := range sim.nodes {
		if n.vm.Name() == name {
			return n
		}
	}
	return nil
}
