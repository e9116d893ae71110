package loommeasure

import (
	"time"

	"currantloom.example/currantloom"
)

// fifoQueue is the first-in, first-out queue of the baselines. It runs a fixed number of jobs at a time.
type fifoQueue struct {
	limit   int
	running int
	waiting []*fifoJob
}

type fifoJob struct {
	query    *query
	deadline time.Duration
	run      func(finished func())
	expire   func()
}

// add appends a job and starts as many jobs as the limit allows. A job whose deadline has passed when its turn comes
// expires without running.
func (q *fifoQueue) add(sim *simulation, job *fifoJob) {
	q.waiting = append(q.waiting, job)
	q.startWaiting(sim)
}

func (q *fifoQueue) startWaiting(sim *simulation) {
	for q.running < q.limit && len(q.waiting) > 0 {
		job := q.waiting[0]
		q.waiting = q.waiting[1:]
		if sim.now >= job.deadline {
			job.expire()
			continue
		}
		q.running++
		job.query.startedAt = sim.now
		job.run(func() {
			q.running--
			q.startWaiting(sim)
		})
	}
}

func (n *node) fifoQueue(u *upstream, limit int) *fifoQueue {
	q, ok := n.fifoQueues[u.description.Name()]
	if !ok {
		q = &fifoQueue{limit: limit}
		n.fifoQueues[u.description.Name()] = q
	}
	return q
}

// expiredTrailer returns the response trailer of a job that expired in the queue.
func expiredTrailer() currantloom.ResponseTrailer {
	return currantloom.ResponseTrailer{
		Verdict: currantloom.NotRun, SQLState: currantloom.SQLStateTooManyConnections, RetryAfter: time.Second,
	}
}

// enqueueFIFO queues an attempt under policyFIFO, where the owner has one queue per upstream.
func (n *node) enqueueFIFO(a *ownedAttempt) {
	sim := n.sim
	n.fifoQueue(a.upstream, sim.deployment.slots).add(sim, &fifoJob{
		query: a.query, deadline: sim.now + a.header.Remaining,
		run: func(finished func()) {
			n.runWithoutCore(a.upstream, a.query, func(t currantloom.ResponseTrailer) {
				finished()
				n.respond(a, t)
			})
		},
		expire: func() { n.respond(a, expiredTrailer()) },
	})
}

// runWithSplitConnections runs a statement under policySplitConnections, where each entry node may use an equal part of
// the connections to the primary.
func (n *node) runWithSplitConnections(q *query) {
	sim := n.sim
	u := sim.primary(q.request.Database)
	connections := max(1, (sim.deployment.connections-4)/len(sim.nodes))
	timeout := q.request.Deadline
	if timeout == 0 {
		timeout = 10 * time.Second
	}
	q.queuedAt = sim.now
	n.fifoQueue(u, connections).add(sim, &fifoJob{
		query: q, deadline: sim.now + timeout,
		run: func(finished func()) {
			n.runWithoutCore(u, q, func(t currantloom.ResponseTrailer) {
				finished()
				sim.deliverResponse(q, t)
			})
		},
		expire: func() { sim.deliverResponse(q, expiredTrailer()) },
	})
}

// runWithoutCore runs a statement on a connection of this node, without admission by loomcore.
func (n *node) runWithoutCore(u *upstream, q *query, done func(currantloom.ResponseTrailer)) {
	n.acquireConnection(u, func(failure *currantloom.PostgresResult) {
		if failure != nil {
			done(currantloom.ResponseTrailer{Verdict: failure.Verdict, SQLState: failure.Code})
			return
		}
		n.runStatement(u, q, q.request.Kind == currantloom.ReadRequest, func(r currantloom.PostgresResult) {
			u.idleConnections[n]++
			done(currantloom.ResponseTrailer{Verdict: r.Verdict, SQLState: r.Code, UpstreamAnswered: r.Err == nil})
		})
	})
}
