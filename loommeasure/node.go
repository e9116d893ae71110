package loommeasure

import (
	"reflect"
	"slices"
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomcore"
)

// pollTimeout is when a poll without an answer counts as failed.
const pollTimeout = 400 * time.Millisecond

// node runs one State of the core.
type node struct {
	world   *world
	vm      currantloom.VM
	state   *loomcore.State
	queries map[currantloom.RequestKey]*query
	works   map[currantloom.RequestKey]*runtimeWork
	queues  map[currantloom.UpstreamName]*plainQueue
}

// runtimeWork is a work that this node carries.
type runtimeWork struct {
	query   *query
	attempt int
	header  currantloom.RequestHeader
	server  *server
	result  currantloom.PostgresResult
}

func newNode(w *world, vm currantloom.VM) *node {
	return &node{
		world: w, vm: vm,
		state:   loomcore.New(loomcore.Config{Self: vm.Name(), Location: vm.Location(), Databases: w.list}),
		queries: make(map[currantloom.RequestKey]*query),
		works:   make(map[currantloom.RequestKey]*runtimeWork),
		queues:  make(map[currantloom.UpstreamName]*plainQueue),
	}
}

func (n *node) tick() {
	n.deliver(loomcore.Tick{})
	n.world.after(loomcore.TickInterval, n.tick)
}

// deliver reduces an event with the time of the world and executes its effects.
func (n *node) deliver(e loomcore.Event) {
	stamp := loomcore.Stamp{Now: n.world.now, Random: n.world.random.Uint64()}
	v := reflect.New(reflect.TypeOf(e)).Elem()
	v.Set(reflect.ValueOf(e))
	v.FieldByName("Stamp").Set(reflect.ValueOf(stamp))
	for _, f := range slices.Clone(n.state.Reduce(v.Interface().(loomcore.Event))) {
		n.execute(f)
	}
}

func (n *node) execute(e loomcore.Effect) {
	switch e := e.(type) {
	case loomcore.PollStatus:
		n.poll(e.Upstream)
	case loomcore.RaiseTerm:
		n.raise(e)
	case loomcore.Promote:
		n.lead(e)
	case loomcore.Follow:
		n.ask(e.Upstream, func(s *server) { s.follow(e.Term, n.world.servers[e.Primary]) }, func() {})
	case loomcore.Forward:
		n.forward(e)
	case loomcore.Respond:
		q := n.queries[e.Key]
		delete(n.queries, e.Key)
		n.world.answer(q, e.Trailer)
	case loomcore.Run:
		n.run(e)
	case loomcore.Acknowledge:
		n.finishRun(e.Key)
	case loomcore.Reject:
		n.reject(e)
	case loomcore.Complete:
		x := n.works[e.Key]
		delete(n.works, e.Key)
		n.respond(x, e.Trailer)
	case loomcore.ConfirmPosition:
		n.confirmMark(e)
	}
}

// ask runs do at a server and then, after the way back, what it left to be done; failed if the server is down.
func (n *node) ask(name currantloom.UpstreamName, do func(*server), failed func()) {
	s := n.world.servers[name]
	n.world.send(n.vm.Location(), s.server.Location(), pollSize, trafficControl, func() {
		switch {
		case s.up:
			do(s)
		case s.mute:
			n.world.after(pollTimeout, failed)
		default:
			n.world.send(s.server.Location(), n.vm.Location(), pollSize, trafficControl, failed)
		}
	})
}

// back brings the answer of a server to this node.
func (n *node) back(s *server, deliver func()) {
	n.world.send(s.server.Location(), n.vm.Location(), reportSize, trafficControl, deliver)
}

func (n *node) poll(name currantloom.UpstreamName) {
	sentAt := n.world.now
	n.ask(name, func(s *server) {
		status := s.status()
		n.back(s, func() { n.deliver(loomcore.StatusReceived{Upstream: name, SentAt: sentAt, Status: status}) })
	}, func() {
		if n.world.servers[name].mute {
			n.deliver(loomcore.StatusFailed{Upstream: name, SentAt: sentAt})
			return
		}
		if n.world.policy == policyNoSuspicion {
			n.world.after(pollTimeout, func() { n.deliver(loomcore.StatusFailed{Upstream: name, SentAt: sentAt}) })
			return
		}
		n.deliver(loomcore.StatusFailed{Upstream: name, SentAt: sentAt, ConnectionRefused: true})
	})
}

func (n *node) raise(e loomcore.RaiseTerm) {
	n.ask(e.Upstream, func(s *server) {
		grant := s.raise(e.Term)
		n.back(s, func() { n.deliver(loomcore.RaiseTermAnswered{Upstream: e.Upstream, Term: e.Term, Grant: grant}) })
	}, func() { n.deliver(loomcore.RaiseTermAnswered{Upstream: e.Upstream, Term: e.Term, Failed: true}) })
}

func (n *node) lead(e loomcore.Promote) {
	n.ask(e.Upstream, func(s *server) {
		led := s.lead(e.Term)
		n.back(s, func() { n.deliver(loomcore.PromoteAnswered{Upstream: e.Upstream, Term: e.Term, Failed: !led}) })
	}, func() { n.deliver(loomcore.PromoteAnswered{Upstream: e.Upstream, Term: e.Term, Failed: true}) })
}

func (n *node) confirmMark(e loomcore.ConfirmPosition) {
	n.ask(e.Upstream, func(s *server) {
		status := s.status()
		n.back(s, func() { n.deliver(loomcore.ConfirmPositionAnswered{Key: e.Key, Upstream: e.Upstream, Status: status}) })
	}, func() { n.deliver(loomcore.ConfirmPositionAnswered{Key: e.Key, Upstream: e.Upstream, Failed: true}) })
}

// receive takes a statement from a client.
func (n *node) receive(q *query) {
	if n.world.policy == policySplit {
		n.runSplit(q)
		return
	}
	n.queries[q.request.Key] = q
	n.deliver(loomcore.RequestArrived{Request: q.request})
}

// forward sends an attempt to its carrier.
func (n *node) forward(e loomcore.Forward) {
	q := n.queries[e.Header.Key.Request()]
	carrier := n.world.node(e.VM)
	x := &runtimeWork{query: q, attempt: e.Attempt, header: e.Header, server: n.world.servers[e.Header.Upstream]}
	arrive := func() {
		q.queuedAt = n.world.now
		if n.world.policy == policyQueue {
			carrier.queuePlainly(x)
			return
		}
		if _, ok := carrier.works[e.Header.Key]; ok {
			carrier.respond(x, currantloom.ResponseTrailer{
				Verdict: currantloom.NotRun, SQLState: currantloom.SQLStateCannotConnectNow, Reason: "an earlier attempt runs",
			})
			return
		}
		carrier.works[e.Header.Key] = x
		carrier.deliver(loomcore.AttemptArrived{Header: e.Header})
	}
	if carrier == n {
		n.world.after(0, arrive)
		return
	}
	n.world.send(n.vm.Location(), carrier.vm.Location(), requestSize, trafficStatement, arrive)
}

// respond sends the end of an attempt to the entry node.
func (n *node) respond(x *runtimeWork, t currantloom.ResponseTrailer) {
	entry := x.query.entry
	finished := func() {
		entry.deliver(loomcore.ForwardFinished{Key: x.header.Key, Attempt: x.attempt, Sent: true, Trailer: t})
	}
	if entry == n {
		n.world.after(0, finished)
		return
	}
	n.world.send(n.vm.Location(), entry.vm.Location(), responseSize, trafficStatement, finished)
}

// run runs admitted work on a connection.
func (n *node) run(e loomcore.Run) {
	x := n.works[e.Key]
	x.query.ranAt = n.world.now
	n.connect(x.server, func(failure *currantloom.PostgresResult) {
		if failure != nil {
			n.deliver(loomcore.RunFinished{Key: e.Key, Result: *failure})
			return
		}
		n.runOn(x.server, x.query, e.ConfirmTerm, func(r currantloom.PostgresResult) {
			x.result = r
			if e.WithholdCompletion && r.Err == nil {
				n.deliver(loomcore.RunAnswered{Key: e.Key, Result: r})
				return
			}
			n.finishRun(e.Key)
		})
	})
}

// finishRun reports the end of a run and returns its connection.
func (n *node) finishRun(key currantloom.RequestKey) {
	x := n.works[key]
	if x.server.up && x.result.Code != currantloom.SQLStateConnectionFailure {
		x.server.idle[n]++
	}
	r := x.result
	if n.world.policy == policyNoSuspicion && r.Code == currantloom.SQLStateConnectionFailure {
		r.Code = currantloom.SQLStateOutcomeUnknown
		if r.Verdict == currantloom.NotRun {
			r.Code = currantloom.SQLStateCannotConnectNow
		}
	}
	n.deliver(loomcore.RunFinished{Key: key, Result: r})
}

// reject ends work that was not admitted, or whose completion is withheld for good.
func (n *node) reject(e loomcore.Reject) {
	x := n.works[e.Key]
	started := x.result.Verdict == currantloom.Ran
	if started {
		n.finishRun(e.Key)
	}
	delete(n.works, e.Key)
	n.respond(x, e.Trailer)
}

// connect takes an idle connection or opens one.
func (n *node) connect(s *server, then func(failure *currantloom.PostgresResult)) {
	switch {
	case (s.up || s.mute) && s.idle[n] > 0:
		s.idle[n]--
		then(nil)
	case !s.up:
		lost, delay := connectionLost(currantloom.NotRun), 2*domainTime
		if s.mute {
			delay = progressTime
		}
		n.world.after(delay, func() { then(&lost) })
	case s.connections >= n.world.deployment.connections:
		refused := currantloom.PostgresResult{
			Verdict: currantloom.NotRun, Code: currantloom.SQLStateTooManyConnections,
			Err: currantloom.NewRequestError(currantloom.NotRun, currantloom.SQLStateTooManyConnections, 0, "too many"),
		}
		n.world.after(2*domainTime, func() { then(&refused) })
	default:
		s.connections++
		n.world.after(n.world.deployment.openTime, func() { then(nil) })
	}
}

// runOn runs a statement at a server and brings the result back.
func (n *node) runOn(s *server, q *query, confirm bool, done func(currantloom.PostgresResult)) {
	back := func(r currantloom.PostgresResult) {
		n.world.send(s.server.Location(), n.vm.Location(), responseSize, trafficStatement, func() { done(r) })
	}
	n.world.send(n.vm.Location(), s.server.Location(), requestSize, trafficStatement, func() {
		switch {
		case s.mute:
			n.world.after(progressTime, func() { done(connectionLost(currantloom.MayHaveRun)) })
			return
		case !s.up:
			back(connectionLost(currantloom.MayHaveRun))
			return
		}
		s.run(&statement{
			write: q.request.Kind == currantloom.WriteRequest, confirm: confirm, left: q.work,
			done: func(r currantloom.PostgresResult) {
				q.ranOn, q.held, q.ran = s, len(s.log), r.Verdict == currantloom.Ran
				back(r)
			},
		})
	})
}

func (w *world) node(name currantloom.VMName) *node {
	for _, n := range w.nodes {
		if n.vm.Name() == name {
			return n
		}
	}
	return nil
}
