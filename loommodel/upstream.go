package loommodel

import (
	"slices"
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomfleet"
)

const (
	// maxSlotQueue is the queue length of an upstream's slots at which it refuses further statements as busy.
	maxSlotQueue = 16
)

// logEntry is one commit in the log of a replicated database.
type logEntry struct {
	term, index uint64
	// writes are the ids of the statements that wrote.
	writes []string
	// onReplicated is called once a replica has confirmed the entry, and is nil afterwards.
	onReplicated func()
}

// service is a replicated database.
type service struct {
	index     int
	name      currantloom.ServiceName
	term      uint64
	upstreams []*upstream
}

// connKey identifies a connection by its node, the node's incarnation, and the connection's id at the node.
type connKey struct {
	node        string
	incarnation int
	id          loomfleet.ConnID
}

// transaction is an open transaction at an upstream.
type transaction struct {
	readWrite, failed bool
	term              uint64
	// writes are the ids of the statements that wrote.
	writes []string
	// client is the client whose statements run in the transaction; nil before the first one.
	client *client
}

// upstreamConn is the upstream's side of a connection.
type upstreamConn struct {
	key      connKey
	settings map[string]string
	prepared map[string]currantloom.Command
	tx       *transaction
	queue    []currantloom.Command
	busy     bool
	// repliesLost says that the upstream neither runs nor answers further commands on the connection.
	repliesLost bool
}

// upstream is one database server of a service.
type upstream struct {
	sim      *Simulation
	name     string
	location currantloom.Location
	service  *service
	alive    bool
	// hung says that the process runs and neither accepts connections nor answers.
	hung     bool
	draining bool
	// incarnation is part of the registration and changes when a drained upstream is replaced.
	incarnation    int64
	slots          int
	maxConnections int
	busySlots      int
	slotQueue      []func()

	primary bool
	term    uint64
	// replicationPaused says that a command paused replication, replicationStopped that a fault stops it.
	replicationPaused, replicationStopped bool
	// heldTerm is the term of the command that paused replication.
	heldTerm uint64
	log      []*logEntry
	// applied is the number of log entries that reads see.
	applied int
	// lagFactor multiplies the replication lag; zero means one.
	lagFactor int
	conns     map[connKey]*upstreamConn
	// pendingConns counts the connections that are being opened towards the limit.
	pendingConns map[connKey]bool
	// lostReplyPercent is the percentage of statements whose reply is lost, lateWritePercent that of writes outside a
	// transaction that take effect seconds later and without a reply.
	lostReplyPercent, lateWritePercent int
	// droppedReplyPercent is the percentage of commands whose reply is lost while the connection goes on.
	droppedReplyPercent int
	// delayedCommandPercent is the percentage of replication commands that take effect late and without a reply.
	delayedCommandPercent int
	// reports counts the registrations that the process has written.
	reports uint64
	// generation counts crashes and restarts; the work of an earlier generation is dropped.
	generation int
	// returns counts the returns under a new id.
	returns int
}

func (u *upstream) responsive() bool { return u.alive && !u.hung }

// nextReport returns the number of the next registration that the process writes.
func (u *upstream) nextReport() uint64 {
	u.reports++
	return u.reports
}

// appliedPosition returns the position of the last applied entry.
func (u *upstream) appliedPosition() currantloom.LogPosition {
	last := u.log[u.applied-1]
	return currantloom.NewLogPosition(currantloom.Term(last.term), currantloom.LogIndex(last.index))
}

// receivedPosition returns the position of the last entry in the log.
func (u *upstream) receivedPosition() currantloom.LogPosition {
	last := u.log[len(u.log)-1]
	return currantloom.NewLogPosition(currantloom.Term(last.term), currantloom.LogIndex(last.index))
}

// sendToNode sends an event to the node of a connection.
func (u *upstream) sendToNode(key connKey, event func() loomfleet.Event) {
	n := u.sim.node(key.node)
	if n == nil || n.incarnation != key.incarnation || u.hung || !u.sim.reaches(u.name, n.name) {
		return
	}
	n.deliver(u.sim.networkDelay(u.name, n.name), event)
}

func (n *node) sendCommands(e loomfleet.SendCommands) {
	sim := n.sim
	key := connKey{node: n.name, incarnation: n.incarnation, id: e.Conn}
	for _, u := range sim.upstreams {
		conn, ok := u.conns[key]
		if !ok || !sim.reaches(n.name, u.name) {
			continue
		}
		commands := slices.Clone(e.Commands)
		sim.after(sim.networkDelay(n.name, u.name), func() {
			if u.responsive() && u.conns[key] == conn {
				conn.queue = append(conn.queue, commands...)
				u.runNext(conn)
			}
		})
	}
}

// runNext runs the next queued command of a connection, if none is running.
func (u *upstream) runNext(conn *upstreamConn) {
	if conn.busy || conn.repliesLost || len(conn.queue) == 0 {
		return
	}
	c := conn.queue[0]
	conn.queue = conn.queue[1:]
	conn.busy = true
	u.execute(conn, c, func(r currantloom.Reply) {
		conn.busy = false
		if u.conns[conn.key] != conn || !u.alive {
			return
		}
		if r.Position.IsZero() {
			r.Position = u.appliedPosition()
		}
		r.TransactionStatus = conn.transactionStatus()
		if u.droppedReplyPercent > 0 && u.sim.random.IntN(100) < u.droppedReplyPercent {
			u.runNext(conn)
			return
		}
		u.sendToNode(conn.key, func() loomfleet.Event {
			n := u.sim.node(conn.key.node)
			return loomfleet.ReplyReceived{Stamp: n.stamp(), Conn: conn.key.id, Reply: r}
		})
		u.runNext(conn)
	})
}

func (conn *upstreamConn) transactionStatus() currantloom.TransactionStatus {
	switch {
	case conn.tx == nil:
		return currantloom.TransactionIdle
	case conn.tx.failed:
		return currantloom.TransactionFailed
	default:
		return currantloom.TransactionOpen
	}
}

func errorReply(code currantloom.ReplyCode) currantloom.Reply { return currantloom.Reply{Code: code} }

// execute runs a command and calls done with its reply.
func (u *upstream) execute(conn *upstreamConn, c currantloom.Command, done func(currantloom.Reply)) {
	if conn.endsConn(c) {
		u.endConn(conn)
		return
	}
	switch c.Kind {
	case currantloom.CommandSet:
		conn.settings[c.Name] = c.Argument
		done(currantloom.Reply{})
	case currantloom.CommandReset:
		clear(conn.settings)
		clear(conn.prepared)
		done(currantloom.Reply{})
	case currantloom.CommandPrepare:
		if refusesSetup(c) {
			done(errorReply(currantloom.ReplyMalformed))
			return
		}
		conn.prepared[c.Name] = c
		done(currantloom.Reply{})
	case currantloom.CommandDeallocate:
		delete(conn.prepared, c.Name)
		done(currantloom.Reply{})
	case currantloom.CommandBegin, currantloom.CommandBeginRead:
		done(u.begin(conn, c))
	case currantloom.CommandRollback:
		conn.tx = nil
		done(currantloom.Reply{})
	case currantloom.CommandReplicationStatus, currantloom.CommandPauseReplication,
		currantloom.CommandResumeReplication, currantloom.CommandStepDown:
		u.runReplicationCommand(conn, c, done)
	default:
		u.runStatement(conn, c, done)
	}
}

func (u *upstream) begin(conn *upstreamConn, c currantloom.Command) currantloom.Reply {
	readWrite := c.Kind == currantloom.CommandBegin
	switch {
	case conn.tx != nil:
		return errorReply(currantloom.ReplyMalformed)
	case readWrite && !u.primary:
		return errorReply(currantloom.ReplyNotPrimary)
	case !u.appliedPosition().Covers(c.MinPosition):
		return errorReply(currantloom.ReplyLagging)
	}
	conn.tx = &transaction{readWrite: readWrite, term: u.term}
	return currantloom.Reply{}
}

func (u *upstream) replicationCommand(c currantloom.Command) currantloom.Reply {
	switch c.Kind {
	case currantloom.CommandPauseReplication:
		if uint64(c.Term) > u.service.term && !u.primary {
			u.replicationPaused, u.heldTerm = true, uint64(c.Term)
		}
	case currantloom.CommandResumeReplication:
		u.replicationPaused = false
	case currantloom.CommandStepDown:
		if u.primary && uint64(c.Term) > u.term {
			u.primary = false
			u.sim.store.register(u)
		}
	}
	held := currantloom.Term(0)
	if u.replicationPaused {
		held = currantloom.Term(u.heldTerm)
	}
	return currantloom.Reply{ReplicationStatus: &currantloom.ReplicationStatus{
		Primary: u.primary, Term: currantloom.Term(u.term), Received: u.receivedPosition(), Held: held,
	}}
}

// lostPrimaryRole reports whether the upstream lost the primary role since a read-write transaction began.
func (u *upstream) lostPrimaryRole(tx *transaction) bool {
	return tx.readWrite && (!u.primary || tx.term != u.term)
}

// runStatement runs a client's statement once a slot is free.
func (u *upstream) runStatement(conn *upstreamConn, c currantloom.Command, done func(currantloom.Reply)) {
	sent := u.sim.oracle.statements[c.ID]
	if sent == nil {
		u.sim.oracle.addViolation("upstream %s runs statement %q that no client sent", u.name, c.ID)
		done(errorReply(currantloom.ReplyMalformed))
		return
	}
	if code := u.refusalCode(conn, c); code != currantloom.ReplyOK {
		if conn.tx != nil {
			conn.tx.failed = conn.tx.failed || code != currantloom.ReplyBusy
		}
		done(errorReply(code))
		return
	}
	if u.busySlots >= u.slots && len(u.slotQueue) >= maxSlotQueue {
		done(errorReply(currantloom.ReplyBusy))
		return
	}
	generation := u.generation
	u.withSlot(func(release func()) {
		u.sim.oracle.checkRun(u, conn, c, sent)
		u.sim.after(u.statementTime(), func() {
			release()
			if u.generation == generation {
				u.finish(conn, c, sent, done)
			}
		})
	})
}

// refusalCode returns the code with which the upstream refuses a statement without running it, or ReplyOK.
func (u *upstream) refusalCode(conn *upstreamConn, c currantloom.Command) currantloom.ReplyCode {
	switch {
	case conn.tx != nil && conn.tx.failed:
		return currantloom.ReplyMalformed
	case c.Kind == currantloom.CommandExecute && !conn.holds(c.Name):
		return currantloom.ReplyNoStatement
	case conn.tx != nil && u.lostPrimaryRole(conn.tx) && (!c.Commits || len(conn.tx.writes) > 0):
		return currantloom.ReplyNotPrimary
	case conn.tx != nil:
		if c.Writes && !conn.tx.readWrite {
			return currantloom.ReplyNotPrimary
		}
		return currantloom.ReplyOK
	case c.Writes && !u.primary:
		return currantloom.ReplyNotPrimary
	case !u.appliedPosition().Covers(c.MinPosition):
		return currantloom.ReplyLagging
	default:
		return currantloom.ReplyOK
	}
}

// holds reports whether a prepared statement of the name is defined.
func (conn *upstreamConn) holds(name string) bool {
	_, ok := conn.prepared[name]
	return ok
}

// withSlot calls run once a slot is free. The function passed to run releases the slot.
func (u *upstream) withSlot(run func(release func())) {
	start := func() {
		u.busySlots++
		run(func() {
			u.busySlots--
			if len(u.slotQueue) > 0 {
				next := u.slotQueue[0]
				u.slotQueue = u.slotQueue[1:]
				next()
			}
		})
	}
	if u.busySlots >= u.slots {
		u.slotQueue = append(u.slotQueue, start)
		return
	}
	start()
}

func (u *upstream) statementTime() time.Duration {
	return 3*time.Millisecond + time.Duration(u.sim.random.Int64N(int64(10*time.Millisecond)))
}

// finish completes a statement: it records the writes, and sends or loses the reply.
func (u *upstream) finish(
	conn *upstreamConn, c currantloom.Command, sent *sentStatement, done func(currantloom.Reply),
) {
	sim := u.sim
	autocommit := conn.tx == nil
	if autocommit && c.Writes && sim.random.IntN(100) < u.lateWritePercent {
		conn.repliesLost = true
		sim.after(2*time.Second+time.Duration(sim.random.Int64N(int64(8*time.Second))), func() {
			if u.alive && u.primary {
				u.append(&logEntry{writes: []string{c.ID}})
			}
		})
		return
	}
	if sim.random.IntN(100) < u.lostReplyPercent {
		conn.repliesLost = true
		done = func(currantloom.Reply) {}
	}
	succeed := func() { done(currantloom.Reply{Rows: []string{"row"}, Signature: "run-" + c.ID}) }
	var writes []string
	switch {
	case autocommit && c.Writes:
		writes = []string{c.ID}
	case c.Commits:
		tx := conn.tx
		conn.tx = nil
		if tx == nil {
			sim.oracle.addViolation("upstream %s runs commit %s outside a transaction", u.name, c.ID)
			return
		}
		if len(tx.writes) > 0 && u.lostPrimaryRole(tx) {
			done(errorReply(currantloom.ReplyNotPrimary))
			return
		}
		writes = tx.writes
	case c.Writes:
		conn.tx.writes = append(conn.tx.writes, c.ID)
	}
	if len(writes) == 0 {
		succeed()
		return
	}
	if !u.primary {
		done(errorReply(currantloom.ReplyNotPrimary))
		return
	}
	sim.oracle.checkCommit(writes, sent)
	u.append(&logEntry{writes: writes, onReplicated: succeed})
}
