package loommodel

import (
	"fmt"
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomfleet"
)

const (
	// clientNetworkDelay is the one-way delay between a client and a node. A client abandons its session if no reply
	// arrives within clientTimeout.
	clientNetworkDelay = time.Millisecond
	clientTimeout      = 8 * time.Second
	// maxReadAge is the maximum staleness of the routes with a staleness bound.
	maxReadAge = 1500 * time.Millisecond
	// maxTransactionStatements is the maximum number of statements between BEGIN and the end of a transaction.
	maxTransactionStatements = 4
)

// preparedNames are the names that clients give to prepared statements.
var preparedNames = []string{"p0", "p1"}

// operation is a single read or write, or a transaction.
type operation struct {
	transaction, readOnly bool
	// remaining is the number of statements to send before the transaction ends.
	remaining int
	// writes are the ids of the writes that were reported as successful.
	writes    []string
	startedAt time.Duration
	// reportedNotKept says that the client was told that nothing of the operation is kept.
	reportedNotKept bool
}

// client runs operations in one session at a time and reconnects when a session ends.
type client struct {
	sim          *Simulation
	name         string
	serviceIndex int
	policy       currantloom.ReadPolicy
	node         *node
	session      loomfleet.SessionID
	sessionCount int
	established  bool
	settings     map[string]string
	prepared     map[string]currantloom.PreparedStatement
	// hostile says that the client sends what upstreams refuse.
	hostile   bool
	operation *operation
	// pending is the statement that waits for a reply.
	pending *sentStatement
	// sessionCommits are the acknowledged commits of the current session.
	sessionCommits []*ackedCommit
	// requestCount changes with every request and reply, so that a timeout can tell whether its request is still open.
	requestCount int
}

// StartClients starts the clients; each connects within the first 100 ms.
func (sim *Simulation) StartClients() {
	for range sim.options.Clients {
		c := sim.newClient()
		sim.after(time.Duration(sim.random.Int64N(int64(100*time.Millisecond))), c.connect)
	}
}

// newClient adds a client. Services and read policies are assigned to clients in turn.
func (sim *Simulation) newClient() *client {
	i := len(sim.clients)
	c := &client{
		sim: sim, name: fmt.Sprintf("c%d", i+1), serviceIndex: i % sim.options.Services,
		policy: policies[i%len(policies)],
	}
	sim.clients = append(sim.clients, c)
	return c
}

// connect opens a session at a random node, and tries again later if that node is not ready.
func (c *client) connect() {
	sim := c.sim
	n := sim.nodes[sim.random.IntN(len(sim.nodes))]
	if !n.alive || !n.ready || n.paused {
		sim.after(50*time.Millisecond, c.connect)
		return
	}
	c.sessionCount++
	c.node, c.established, c.operation, c.pending = n, false, nil, nil
	sim.sequence++
	c.session = loomfleet.SessionID(sim.sequence)
	c.settings, c.sessionCommits = make(map[string]string), nil
	c.prepared = make(map[string]currantloom.PreparedStatement)
	id := c.session
	n.sessions[id] = c
	n.deliver(clientNetworkDelay, func() loomfleet.Event {
		return loomfleet.SessionOpened{
			Stamp: n.stamp(), Session: id,
			Startup: currantloom.Startup{Database: databaseOf(c.serviceIndex, c.policy)},
		}
	})
	c.startTimeout()
}

// startTimeout abandons the session if no reply arrives within clientTimeout.
func (c *client) startTimeout() {
	c.requestCount++
	request, session := c.requestCount, c.session
	c.sim.after(clientTimeout, func() {
		if c.requestCount == request && c.session == session {
			c.sim.oracle.stats.Timeouts++
			c.abandonSession()
		}
	})
}

// abandonSession closes the session and opens a new one.
func (c *client) abandonSession() {
	n, id := c.node, c.session
	delete(n.sessions, id)
	n.deliver(clientNetworkDelay, func() loomfleet.Event {
		return loomfleet.SessionClosed{Stamp: n.stamp(), Session: id}
	})
	c.reconnect()
}

func (c *client) reconnect() {
	c.requestCount++
	c.session, c.pending, c.operation = 0, nil, nil
	c.sim.after(20*time.Millisecond, c.connect)
}

// sessionClosed reconnects after the node ended the session.
func (c *client) sessionClosed(_ *node, id loomfleet.SessionID) {
	if id == c.session {
		c.reconnect()
	}
}

// receiveReply handles a node's reply after the network delay.
func (c *client) receiveReply(n *node, id loomfleet.SessionID, r currantloom.Reply) {
	incarnation := n.incarnation
	c.sim.after(clientNetworkDelay, func() {
		if id != c.session || n.incarnation != incarnation && n != c.node {
			return
		}
		c.handleReply(r)
	})
}

func (c *client) handleReply(r currantloom.Reply) {
	c.requestCount++
	if !c.established {
		c.established = true
		if r.Code != currantloom.ReplyOK {
			c.sim.oracle.addViolation("client %s: startup refused with %s", c.name, r.Code)
			return
		}
		c.think()
		return
	}
	st := c.pending
	if st == nil {
		c.sim.oracle.addViolation("client %s received a reply without a pending statement", c.name)
		return
	}
	c.pending = nil
	c.sim.oracle.checkReply(c, st, r)
	c.continueOperation(st, r)
}

// continueOperation sends the next statement of the operation after a reply, or starts the next operation.
func (c *client) continueOperation(st *sentStatement, r currantloom.Reply) {
	op := c.operation
	switch {
	case op == nil:
		c.think()
	case r.Code != currantloom.ReplyOK:
		if r.TransactionStatus != currantloom.TransactionIdle {
			c.send(currantloom.Statement{Kind: currantloom.StatementRollback, Text: "ROLLBACK"})
			return
		}
		c.operation = nil
		c.think()
	case st.Kind == currantloom.StatementCommit || st.Kind == currantloom.StatementRollback || !op.transaction:
		c.operation = nil
		c.think()
	case op.remaining == 0:
		c.endTransaction()
	default:
		op.remaining--
		pause := time.Duration(c.sim.random.Int64N(int64(20 * time.Millisecond)))
		session := c.session
		c.sim.after(pause, func() {
			if c.session == session {
				c.sendReadOrWrite(op.readOnly)
			}
		})
	}
}

func (c *client) endTransaction() {
	if c.sim.random.IntN(8) == 0 {
		c.send(currantloom.Statement{Kind: currantloom.StatementRollback, Text: "ROLLBACK"})
		return
	}
	c.send(currantloom.Statement{Kind: currantloom.StatementCommit, Text: "COMMIT"})
}

// think pauses before the next operation.
func (c *client) think() {
	session := c.session
	c.sim.after(time.Duration(c.sim.random.Int64N(int64(2*c.sim.options.ThinkTime))), func() {
		if c.session == session {
			c.startOperation()
		}
	})
}

// startOperation starts a random operation.
func (c *client) startOperation() {
	random := c.sim.random
	if c.sendMalformed() {
		return
	}
	c.operation = &operation{startedAt: c.sim.now}
	switch random.IntN(10) {
	case 0:
		c.operation = nil
		name := fmt.Sprintf("v%d", random.IntN(3))
		value := c.name + fmt.Sprint(random.IntN(100))
		if c.sim.drawsShapes {
			value = c.drawText(value + shapes[c.sim.shapeRandom.IntN(len(shapes))])
		}
		c.settings[name] = value
		c.send(currantloom.Statement{Kind: currantloom.StatementSet, Text: "SET", Name: name, Argument: value})
	case 1:
		c.operation = nil
		name, definition := preparedNames[random.IntN(2)], fmt.Sprintf("q%d", random.IntN(4))
		p := currantloom.PreparedStatement{Definition: definition}
		if c.sim.drawsShapes {
			p.Definition, p.Writes = c.drawShape(), c.sim.shapeRandom.IntN(2) == 0
		}
		c.prepared[name] = p
		c.send(currantloom.Statement{
			Kind: currantloom.StatementPrepare, Text: "PREPARE", Name: name, Argument: p.Definition, Writes: p.Writes,
		})
	case 2, 3, 4:
		c.operation.transaction, c.operation.readOnly = true, random.IntN(3) == 0
		c.operation.remaining = 1 + random.IntN(maxTransactionStatements)
		kind := currantloom.StatementBegin
		if c.operation.readOnly {
			kind = currantloom.StatementBeginRead
		}
		c.send(currantloom.Statement{Kind: kind, Text: "BEGIN"})
	case 5, 6:
		c.sendReadOrWrite(false)
	default:
		c.sendReadOrWrite(true)
	}
}

// sendReadOrWrite sends a write, a read, or the execution of a prepared read. A transaction that may write also reads.
func (c *client) sendReadOrWrite(read bool) {
	random := c.sim.random
	if !read && (!c.operation.transaction || random.IntN(2) == 0) {
		if st, ok := c.drawPrepared(true); ok {
			c.send(st)
			return
		}
		c.send(currantloom.Statement{Kind: currantloom.StatementWrite, Text: c.drawText("WRITE")})
		return
	}
	if st, ok := c.drawPrepared(false); ok {
		c.send(st)
		return
	}
	for name := range c.prepared {
		if !c.sim.drawsShapes && len(c.prepared) == 1 && random.IntN(2) == 0 {
			c.send(currantloom.Statement{Kind: currantloom.StatementExecute, Text: "EXECUTE", Name: name})
			return
		}
	}
	c.send(currantloom.Statement{Kind: currantloom.StatementRead, Text: c.drawText("READ")})
}

// send sends a statement to the node of the session.
func (c *client) send(st currantloom.Statement) {
	sim := c.sim
	sim.sequence++
	st.ID = fmt.Sprintf("s%d", sim.sequence)
	sent := sim.oracle.recordStatement(c, st)
	c.pending = sent
	n, id := c.node, c.session
	n.deliver(clientNetworkDelay, func() loomfleet.Event {
		return loomfleet.StatementReceived{Stamp: n.stamp(), Session: id, Statement: st}
	})
	c.startTimeout()
	c.leaveInStatement()
}
