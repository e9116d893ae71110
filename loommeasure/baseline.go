package loommeasure

import (
	"time"

	"currantloom.example/currantloom"
)

// plainQueue is the queue of the baselines: first come, first served, with a fixed number of places.
type plainQueue struct {
	places  int
	running int
	waiting []*plainWork
}

type plainWork struct {
	query    *query
	deadline time.Duration
	run      func(ended func())
	drop     func()
}

// add queues work and starts what can start. Work whose deadline has passed when its turn comes is dropped.
func (p *plainQueue) add(w *world, x *plainWork) {
	p.waiting = append(p.waiting, x)
	p.start(w)
}

func (p *plainQueue) start(w *world) {
	for p.running < p.places && len(p.waiting) > 0 {
		x := p.waiting[0]
		p.waiting = p.waiting[1:]
		if w.now >= x.deadline {
			x.drop()
			continue
		}
		p.running++
		x.query.ranAt = w.now
		x.run(func() {
			p.running--
			p.start(w)
		})
	}
}

func (n *node) plainQueue(s *server, places int) *plainQueue {
	q, ok := n.queues[s.server.Name()]
	if !ok {
		q = &plainQueue{places: places}
		n.queues[s.server.Name()] = q
	}
	return q
}

// expired is the trailer of work that was dropped.
func expired() currantloom.ResponseTrailer {
	return currantloom.ResponseTrailer{
		Verdict: currantloom.NotRun, SQLState: currantloom.SQLStateTooManyConnections, RetryAfter: time.Second,
	}
}

// queuePlainly runs work of the baseline with one queue per server at its carrier.
func (n *node) queuePlainly(x *runtimeWork) {
	w := n.world
	n.plainQueue(x.server, w.deployment.slots).add(w, &plainWork{
		query: x.query, deadline: w.now + x.header.Remaining,
		run: func(ended func()) {
			n.runPlainly(x.server, x.query, func(t currantloom.ResponseTrailer) {
				ended()
				n.respond(x, t)
			})
		},
		drop: func() { n.respond(x, expired()) },
	})
}

// runSplit runs a statement of the baseline in which each entry node has its part of the connections.
func (n *node) runSplit(q *query) {
	w := n.world
	s := w.primary(q.request.Database)
	places := max(1, (w.deployment.connections-4)/len(w.nodes))
	limit := q.request.Deadline
	if limit == 0 {
		limit = 10 * time.Second
	}
	q.queuedAt = w.now
	n.plainQueue(s, places).add(w, &plainWork{
		query: q, deadline: w.now + limit,
		run: func(ended func()) {
			n.runPlainly(s, q, func(t currantloom.ResponseTrailer) {
				ended()
				w.answer(q, t)
			})
		},
		drop: func() { w.answer(q, expired()) },
	})
}

// runPlainly runs a statement without the core.
func (n *node) runPlainly(s *server, q *query, done func(currantloom.ResponseTrailer)) {
	n.connect(s, func(failure *currantloom.PostgresResult) {
		if failure != nil {
			done(currantloom.ResponseTrailer{Verdict: failure.Verdict, SQLState: failure.Code})
			return
		}
		n.runOn(s, q, q.request.Kind == currantloom.ReadRequest, func(r currantloom.PostgresResult) {
			s.idle[n]++
			done(currantloom.ResponseTrailer{Verdict: r.Verdict, SQLState: r.Code, ServerAnswered: r.Err == nil})
		})
	})
}
