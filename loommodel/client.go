package loommodel

import (
	"fmt"
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomfleet"
)

const (
	// clientDelay is the time between a client and a node, clientPatience how long a client waits for an answer.
	clientDelay    = time.Millisecond
	clientPatience = 8 * time.Second
	// maxAge is the age that reads on the bounded routes accept.
	maxAge = 1500 * time.Millisecond
	// maxStatements bounds a transaction.
	maxStatements = 4
)

// operation is what a client wants: one statement, or a transaction.
type operation struct {
	transaction, reads bool
	// left are the statements that follow.
	left    int
	writes  []string
	sentAt  time.Duration
	promise bool
}

// client runs operations in one session after the other.
type client struct {
	world    *World
	name     string
	service  int
	policy   currantloom.ReadPolicy
	node     *node
	session  loomfleet.SessionID
	number   int
	open     bool
	values   map[string]string
	prepared map[string]string
	op       *operation
	waiting  *statement
	// acked are the commits of the present session.
	acked []*commit
	// number of statements, to know whether a patience is for the present one.
	asked int
}

// StartClients starts the clients of the world.
func (w *World) StartClients() {
	for i := range w.options.Clients {
		c := &client{
			world: w, name: fmt.Sprintf("c%d", i+1), service: i % w.options.Services, policy: policies[i%len(policies)],
		}
		w.clients = append(w.clients, c)
		w.after(time.Duration(w.random.Int64N(int64(100*time.Millisecond))), c.connect)
	}
}

// connect opens a session at a node that is ready.
func (c *client) connect() {
	w := c.world
	n := w.nodes[w.random.IntN(len(w.nodes))]
	if !n.alive || !n.ready || n.frozen {
		w.after(50*time.Millisecond, c.connect)
		return
	}
	c.number++
	c.node, c.open, c.op, c.waiting = n, false, nil, nil
	w.numbers++
	c.session = loomfleet.SessionID(w.numbers)
	c.values, c.prepared, c.acked = make(map[string]string), make(map[string]string), nil
	id := c.session
	n.sessions[id] = c
	n.post(clientDelay, func() loomfleet.Event {
		return loomfleet.SessionOpened{
			Stamp: n.stamp(), Session: id, Database: databaseOf(c.service, c.policy),
		}
	})
	c.expect()
}

// expect closes the session if no answer comes in time.
func (c *client) expect() {
	c.asked++
	asked, session := c.asked, c.session
	c.world.after(clientPatience, func() {
		if c.asked == asked && c.session == session {
			c.world.oracle.report.Timeouts++
			c.leave()
		}
	})
}

// leave closes the session and opens another one.
func (c *client) leave() {
	n, id := c.node, c.session
	delete(n.sessions, id)
	n.post(clientDelay, func() loomfleet.Event {
		return loomfleet.SessionClosed{Stamp: n.stamp(), Session: id}
	})
	c.reconnect()
}

func (c *client) reconnect() {
	c.asked++
	c.session, c.waiting, c.op = 0, nil, nil
	c.world.after(20*time.Millisecond, c.connect)
}

// closed tells that the node ended the session.
func (c *client) closed(_ *node, id loomfleet.SessionID) {
	if id == c.session {
		c.reconnect()
	}
}

// answered takes the answer of a node.
func (c *client) answered(n *node, id loomfleet.SessionID, r currantloom.Reply) {
	run := n.run
	c.world.after(clientDelay, func() {
		if id != c.session || n.run != run && n != c.node {
			return
		}
		c.take(r)
	})
}

func (c *client) take(r currantloom.Reply) {
	c.asked++
	if !c.open {
		c.open = true
		if r.Code != currantloom.ReplyOK {
			c.world.oracle.fail("client %s: startup refused with %s", c.name, r.Code)
			return
		}
		c.think()
		return
	}
	st := c.waiting
	if st == nil {
		c.world.oracle.fail("client %s got an answer to nothing", c.name)
		return
	}
	c.waiting = nil
	c.world.oracle.answered(c, st, r)
	c.proceed(st, r)
}

// proceed sends what follows an answer.
func (c *client) proceed(st *statement, r currantloom.Reply) {
	op := c.op
	switch {
	case op == nil:
		c.think()
	case r.Code != currantloom.ReplyOK:
		if r.TransactionStatus != currantloom.TransactionIdle {
			c.send(currantloom.Statement{Kind: currantloom.StatementRollback, Text: "ROLLBACK"})
			return
		}
		c.op = nil
		c.think()
	case st.Kind == currantloom.StatementCommit || st.Kind == currantloom.StatementRollback || !op.transaction:
		c.op = nil
		c.think()
	case op.left == 0:
		c.endTransaction()
	default:
		op.left--
		pause := time.Duration(c.world.random.Int64N(int64(20 * time.Millisecond)))
		session := c.session
		c.world.after(pause, func() {
			if c.session == session {
				c.sendWork(op.reads)
			}
		})
	}
}

func (c *client) endTransaction() {
	if c.world.random.IntN(8) == 0 {
		c.send(currantloom.Statement{Kind: currantloom.StatementRollback, Text: "ROLLBACK"})
		return
	}
	c.send(currantloom.Statement{Kind: currantloom.StatementCommit, Text: "COMMIT"})
}

// think pauses before the next operation.
func (c *client) think() {
	session := c.session
	c.world.after(time.Duration(c.world.random.Int64N(int64(2*c.world.options.ThinkTime))), func() {
		if c.session == session {
			c.operate()
		}
	})
}

// operate starts the next operation.
func (c *client) operate() {
	random := c.world.random
	c.op = &operation{sentAt: c.world.now}
	switch random.IntN(10) {
	case 0:
		c.op = nil
		name := fmt.Sprintf("v%d", random.IntN(3))
		value := c.name + fmt.Sprint(random.IntN(100))
		c.values[name] = value
		c.send(currantloom.Statement{Kind: currantloom.StatementSet, Text: "SET", Name: name, Argument: value})
	case 1:
		c.op = nil
		name, shape := fmt.Sprintf("p%d", random.IntN(2)), fmt.Sprintf("q%d", random.IntN(4))
		c.prepared[name] = shape
		c.send(currantloom.Statement{
			Kind: currantloom.StatementPrepare, Text: "PREPARE", Name: name, Argument: shape,
		})
	case 2, 3, 4:
		c.op.transaction, c.op.reads = true, random.IntN(3) == 0
		c.op.left = 1 + random.IntN(maxStatements)
		kind := currantloom.StatementBegin
		if c.op.reads {
			kind = currantloom.StatementBeginRead
		}
		c.send(currantloom.Statement{Kind: kind, Text: "BEGIN"})
	case 5, 6:
		c.sendWork(false)
	default:
		c.sendWork(true)
	}
}

// sendWork sends a read or a write, or executes a prepared read.
func (c *client) sendWork(read bool) {
	random := c.world.random
	if !read && (!c.op.transaction || random.IntN(2) == 0) {
		c.send(currantloom.Statement{Kind: currantloom.StatementWrite, Text: "WRITE"})
		return
	}
	for name, shape := range c.prepared {
		if len(c.prepared) == 1 && random.IntN(2) == 0 {
			c.send(currantloom.Statement{
				Kind: currantloom.StatementExecute, Text: "EXECUTE", Name: name, Argument: shape,
			})
			return
		}
	}
	c.send(currantloom.Statement{Kind: currantloom.StatementRead, Text: "READ"})
}

// send gives a statement to the node.
func (c *client) send(st currantloom.Statement) {
	w := c.world
	w.numbers++
	st.ID = fmt.Sprintf("s%d", w.numbers)
	info := w.oracle.sent(c, st)
	c.waiting = info
	n, id := c.node, c.session
	n.post(clientDelay, func() loomfleet.Event {
		return loomfleet.StatementReceived{Stamp: n.stamp(), Session: id, Statement: st}
	})
	c.expect()
}
