package loommodel

import (
	"strings"
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomfleet"
)

const (
	// refusedText is a text in a definition or a setting for which an upstream refuses it as malformed.
	refusedText = "refused"
	// endingText is a text on which an upstream ends the connection without a reply.
	endingText = "endconnection"
	// leavePercent is the percentage of a hostile client's statements in the middle of which it leaves.
	leavePercent = 4
)

// shapes are definitions that read like a name, a command or another definition.
var shapes = []string{
	"q0", "q1", "q0 READ q1", "q0 WRITE q1", "q0 ", " q0", "q\t0", "q\x000", "q\r0", "q\n0", "", "p1", "1",
}

// StartHostileClients starts clients that send what upstreams refuse or on which they end the connection, and that
// leave in the middle of statements. From then on all clients use shapes, prepared writes and settings that read like
// other commands. What they draw for that comes from a generator of its own, so that other simulations play as
// recorded.
func (sim *Simulation) StartHostileClients(count int) {
	sim.drawsShapes = true
	for range count {
		c := sim.newClient()
		c.hostile = true
		sim.after(sim.shapeDuration(100*time.Millisecond), c.connect)
	}
}

// shapeDuration draws a duration for a hostile client.
func (sim *Simulation) shapeDuration(below time.Duration) time.Duration {
	return time.Duration(sim.shapeRandom.Int64N(int64(below)))
}

// drawShape returns a definition. Hostile clients also draw some that upstreams refuse or end the connection on.
func (c *client) drawShape() string {
	random := c.sim.shapeRandom
	shape := shapes[random.IntN(len(shapes))]
	switch {
	case !c.hostile:
	case random.IntN(3) == 0:
		shape += refusedText
	case random.IntN(100) < c.sim.options.EndingPercent:
		shape += endingText
	}
	return shape
}

// drawText returns the text of a read or write, or the parameters of an execution.
func (c *client) drawText(text string) string {
	if c.hostile && c.sim.shapeRandom.IntN(100) < c.sim.options.EndingPercent {
		return text + " " + endingText
	}
	return text
}

// drawPrepared returns a statement that executes a prepared one of the mode, for half of the calls if there is one.
func (c *client) drawPrepared(writes bool) (currantloom.Statement, bool) {
	random := c.sim.shapeRandom
	for _, name := range preparedNames {
		p, ok := c.prepared[name]
		if c.sim.drawsShapes && ok && p.Writes == writes && random.IntN(2) == 0 {
			return currantloom.Statement{
				Kind: currantloom.StatementExecute, Text: "EXECUTE", Name: name, Parameters: c.drawText("1"),
			}, true
		}
	}
	return currantloom.Statement{}, false
}

// sendMalformed sends a statement that nothing runs as one in ten of a hostile client's operations. It reports whether
// it did.
func (c *client) sendMalformed() bool {
	if !c.hostile || c.sim.shapeRandom.IntN(10) > 0 {
		return false
	}
	c.operation = nil
	c.send([]currantloom.Statement{
		{Text: "NONSENSE"}, {Kind: currantloom.StatementCommit, Text: "COMMIT"},
		{Kind: currantloom.StatementExecute, Text: "EXECUTE", Name: "unknown"},
		{Kind: currantloom.StatementDeallocate, Text: "DEALLOC", Name: "unknown"},
	}[c.sim.shapeRandom.IntN(4)])
	return true
}

// leaveInStatement ends some sessions of a hostile client while a statement is under way.
func (c *client) leaveInStatement() {
	if !c.hostile || c.sim.shapeRandom.IntN(100) >= leavePercent {
		return
	}
	request, session := c.requestCount, c.session
	c.sim.after(c.sim.shapeDuration(10*time.Millisecond), func() {
		if c.requestCount == request && c.session == session {
			c.abandonSession()
		}
	})
}

// endsConn reports whether the upstream ends the connection on the command.
func (conn *upstreamConn) endsConn(c currantloom.Command) bool {
	return strings.Contains(c.Text, endingText) || strings.Contains(c.Argument, endingText) ||
		c.Kind == currantloom.CommandExecute && strings.Contains(conn.prepared[c.Name].Argument, endingText)
}

// refusesSetup reports whether the upstream refuses a definition.
func refusesSetup(c currantloom.Command) bool { return strings.Contains(c.Argument, refusedText) }

// endConn ends a connection and reports the loss to its node.
func (u *upstream) endConn(conn *upstreamConn) {
	u.dropConn(conn.key)
	n := u.sim.node(conn.key.node)
	if n == nil || n.incarnation != conn.key.incarnation {
		return
	}
	n.deliver(connectionLossDelay, func() loomfleet.Event {
		return loomfleet.ConnLost{Stamp: n.stamp(), Conn: conn.key.id}
	})
}

// checkFaultless records everything that has no reason in a simulation without faults: a reply to a client that is not
// hostile and that is no success or late, in the latency target of the routes.
func (o *oracle) checkFaultless(c *client, st *sentStatement, r currantloom.Reply) {
	if !o.sim.options.Faultless || c.hostile {
		return
	}
	if r.Code != currantloom.ReplyOK {
		o.addViolation("client %s: %s is answered with %s (%s) although there is no fault", c.name, st.ID, r.Code, r.Detail)
	}
	if latency := o.sim.now - st.sentAt; latency > latencyTarget {
		o.addViolation("client %s: %s took %s although there is no fault", c.name, st.ID, latency)
	}
}

// checkFaultlessDecision records a decision against an upstream that has no reason in a simulation without faults.
func (o *oracle) checkFaultlessDecision(node string, d loomfleet.Decision) {
	if !o.sim.options.Faultless {
		return
	}
	if d.Event == "failover" || d.Event == "upstream" && d.Outcome == "unreachable" {
		o.addViolation("node %s: %s of %s %s: %s (%s) although there is no fault", node, d.Event, d.Service, d.Upstream,
			d.Outcome, d.Reason)
	}
}
