package loommodel

import (
	"slices"
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomfleet"
)

const (
	// connectTime is what the opening of a connection takes at a server.
	connectTime = 10 * time.Millisecond
	// unreachableLinger is how long a server keeps the connections of a node that it cannot reach.
	unreachableLinger = 3 * time.Second
	// maxQueue is the work that waits for a slot at a server.
	maxQueue = 16
)

// entry is one commit in the log of a database.
type entry struct {
	term, number uint64
	// writes are the ids of the statements that wrote.
	writes []string
	// waiting is called once a replica has the entry.
	waiting func()
}

// group is a replicated database.
type group struct {
	index   int
	name    currantloom.ServiceName
	term    uint64
	servers []*server
}

// connKey names a connection by its node, the run of that node, and its id there.
type connKey struct {
	node string
	run  int
	id   loomfleet.ConnID
}

// serverTx is an open transaction at a server.
type serverTx struct {
	plain, failed bool
	term          uint64
	writes        []string
	owner         *client
}

// serverConn is a connection at its server.
type serverConn struct {
	key      connKey
	values   map[string]string
	prepared map[string]currantloom.Command
	tx       *serverTx
	queue    []currantloom.Command
	busy     bool
	// silent says that no answer comes any more.
	silent bool
}

// server is one process of a replicated database.
type server struct {
	world    *World
	name     string
	place    currantloom.Location
	group    *group
	alive    bool
	dark     bool
	draining bool
	born     int64
	slots    int
	limit    int
	running  int
	waiting  []func()

	primary bool
	term    uint64
	// paused says that it receives nothing until it is told to go on; deaf that nothing reaches it.
	paused, deaf bool
	log          []*entry
	applied      int
	lagFactor    int
	conns        map[connKey]*serverConn
	// loseAnswers and late are shares in percent: of runs whose answer is lost, and of writes that run seconds later
	// and without an answer.
	loseAnswers, late int
	run               int
}

func (s *server) serves() bool { return s.alive && !s.dark }

// position is the end of the log that reads see.
func (s *server) position() currantloom.LogPosition {
	last := s.log[s.applied-1]
	return currantloom.NewLogPosition(currantloom.Term(last.term), currantloom.LogIndex(last.number))
}

func (s *server) received() currantloom.LogPosition {
	last := s.log[len(s.log)-1]
	return currantloom.NewLogPosition(currantloom.Term(last.term), currantloom.LogIndex(last.number))
}

func (n *node) openConn(e loomfleet.OpenConn) {
	w := n.world
	s := w.server(e.Upstream.Address)
	key := connKey{node: n.name, run: n.run, id: e.Conn}
	if s == nil || !w.reaches(n.name, s.name) || s.dark {
		return
	}
	w.after(w.delay(n.name, s.name), func() { s.accept(n, key) })
}

// accept answers the request for a connection. Opening one occupies a slot.
func (s *server) accept(n *node, key connKey) {
	opened := loomfleet.ConnOpened{Conn: key.id}
	answer := func() {
		s.reply(key, func() loomfleet.Event {
			opened.Stamp = n.stamp()
			return opened
		})
	}
	switch {
	case !s.alive:
		opened.Failed, opened.Refused = true, true
		answer()
		return
	case len(s.conns) >= s.limit:
		opened.Reply.Code = currantloom.ReplyNoConnections
		answer()
		return
	}
	run := s.run
	s.withSlot(func(free func()) {
		s.world.after(connectTime, func() {
			free()
			if s.run != run {
				return
			}
			s.conns[key] = &serverConn{
				key: key, values: make(map[string]string), prepared: make(map[string]currantloom.Command),
			}
			opened.Reply = currantloom.Reply{TransactionStatus: currantloom.TransactionIdle, Position: s.position()}
			answer()
		})
	})
}

// reply sends something to the node of a connection.
func (s *server) reply(key connKey, event func() loomfleet.Event) {
	n := s.world.node(key.node)
	if n == nil || n.run != key.run || s.dark || !s.world.reaches(s.name, n.name) {
		return
	}
	n.post(s.world.delay(s.name, n.name), event)
}

func (n *node) sendCommands(e loomfleet.SendCommands) {
	w := n.world
	key := connKey{node: n.name, run: n.run, id: e.Conn}
	for _, s := range w.servers {
		cn, ok := s.conns[key]
		if !ok || !w.reaches(n.name, s.name) {
			continue
		}
		commands := slices.Clone(e.Commands)
		w.after(w.delay(n.name, s.name), func() {
			if s.serves() && s.conns[key] == cn {
				cn.queue = append(cn.queue, commands...)
				s.next(cn)
			}
		})
	}
}

func (n *node) closeConn(id loomfleet.ConnID) {
	key := connKey{node: n.name, run: n.run, id: id}
	for _, s := range n.world.servers {
		if _, ok := s.conns[key]; !ok {
			continue
		}
		d := n.world.delay(n.name, s.name)
		if !n.world.reaches(n.name, s.name) {
			d = unreachableLinger
		}
		n.world.after(d, func() { delete(s.conns, key) })
	}
}

// dropNode ends the connections of a node that is gone.
func (s *server) dropNode(name string) {
	for key := range s.conns {
		if key.node == name {
			delete(s.conns, key)
		}
	}
}

// next runs the next command of a connection.
func (s *server) next(cn *serverConn) {
	if cn.busy || cn.silent || len(cn.queue) == 0 {
		return
	}
	c := cn.queue[0]
	cn.queue = cn.queue[1:]
	cn.busy = true
	s.execute(cn, c, func(r currantloom.Reply) {
		cn.busy = false
		if s.conns[cn.key] != cn || !s.alive {
			return
		}
		if r.Position.IsZero() {
			r.Position = s.position()
		}
		r.TransactionStatus = cn.state()
		s.reply(cn.key, func() loomfleet.Event {
			n := s.world.node(cn.key.node)
			return loomfleet.ReplyReceived{Stamp: n.stamp(), Conn: cn.key.id, Reply: r}
		})
		s.next(cn)
	})
}

func (cn *serverConn) state() currantloom.TransactionStatus {
	switch {
	case cn.tx == nil:
		return currantloom.TransactionIdle
	case cn.tx.failed:
		return currantloom.TransactionFailed
	default:
		return currantloom.TransactionOpen
	}
}

func refused(code currantloom.ReplyCode) currantloom.Reply { return currantloom.Reply{Code: code} }

// execute runs a command and calls done with its answer.
func (s *server) execute(cn *serverConn, c currantloom.Command, done func(currantloom.Reply)) {
	switch c.Kind {
	case currantloom.CommandSet:
		cn.values[c.Name] = c.Argument
		done(currantloom.Reply{})
	case currantloom.CommandReset:
		clear(cn.values)
		clear(cn.prepared)
		done(currantloom.Reply{})
	case currantloom.CommandPrepare:
		cn.prepared[c.Name] = c
		done(currantloom.Reply{})
	case currantloom.CommandBegin, currantloom.CommandBeginRead:
		done(s.begin(cn, c))
	case currantloom.CommandRollback:
		cn.tx = nil
		done(currantloom.Reply{})
	case currantloom.CommandReplicationStatus, currantloom.CommandPauseReplication,
		currantloom.CommandResumeReplication, currantloom.CommandStepDown:
		done(s.control(c))
	default:
		s.statement(cn, c, done)
	}
}

func (s *server) begin(cn *serverConn, c currantloom.Command) currantloom.Reply {
	plain := c.Kind == currantloom.CommandBegin
	switch {
	case cn.tx != nil:
		return refused(currantloom.ReplyMalformed)
	case plain && !s.primary:
		return refused(currantloom.ReplyNotPrimary)
	case !s.position().Covers(c.MinPosition):
		return refused(currantloom.ReplyLagging)
	}
	cn.tx = &serverTx{plain: plain, term: s.term}
	return currantloom.Reply{}
}

func (s *server) control(c currantloom.Command) currantloom.Reply {
	switch c.Kind {
	case currantloom.CommandPauseReplication:
		if uint64(c.Term) > s.group.term {
			s.paused = !s.primary
		}
	case currantloom.CommandResumeReplication:
		s.paused = false
	case currantloom.CommandStepDown:
		if s.primary && uint64(c.Term) > s.term {
			s.primary = false
			s.world.store.report(s)
		}
	}
	return currantloom.Reply{ReplicationStatus: &currantloom.ReplicationStatus{
		Primary: s.primary, Term: currantloom.Term(s.term), Received: s.received(),
	}}
}

// lostLead reports whether a transaction that may write belongs to a lead that the server has lost.
func (s *server) lostLead(tx *serverTx) bool { return tx.plain && (!s.primary || tx.term != s.term) }

// statement runs a client's statement once a slot is free.
func (s *server) statement(cn *serverConn, c currantloom.Command, done func(currantloom.Reply)) {
	info := s.world.oracle.statements[c.ID]
	if info == nil {
		s.world.oracle.fail("server %s runs statement %q that no client sent", s.name, c.ID)
		done(refused(currantloom.ReplyMalformed))
		return
	}
	if code := s.refuses(cn, c, info); code != currantloom.ReplyOK {
		if cn.tx != nil {
			cn.tx.failed = cn.tx.failed || code != currantloom.ReplyBusy
		}
		done(refused(code))
		return
	}
	if s.running >= s.slots && len(s.waiting) >= maxQueue {
		done(refused(currantloom.ReplyBusy))
		return
	}
	run := s.run
	s.withSlot(func(free func()) {
		s.world.oracle.runs(s, cn, c, info)
		s.world.after(s.runTime(), func() {
			free()
			if s.run == run {
				s.finish(cn, c, info, done)
			}
		})
	})
}

// refuses returns the code with which the server refuses a statement without running it.
func (s *server) refuses(cn *serverConn, c currantloom.Command, info *statement) currantloom.ReplyCode {
	switch {
	case cn.tx != nil && cn.tx.failed:
		return currantloom.ReplyMalformed
	case c.Kind == currantloom.CommandExecute && cn.prepared[c.Name].Argument != info.shape:
		return currantloom.ReplyNoStatement
	case cn.tx != nil && s.lostLead(cn.tx) && (!c.Commits || len(cn.tx.writes) > 0):
		return currantloom.ReplyNotPrimary
	case cn.tx != nil:
		if c.Writes && !cn.tx.plain {
			return currantloom.ReplyNotPrimary
		}
		return currantloom.ReplyOK
	case c.Writes && !s.primary:
		return currantloom.ReplyNotPrimary
	case !s.position().Covers(c.MinPosition):
		return currantloom.ReplyLagging
	default:
		return currantloom.ReplyOK
	}
}

func (s *server) withSlot(run func(free func())) {
	start := func() {
		s.running++
		run(func() {
			s.running--
			if len(s.waiting) > 0 {
				next := s.waiting[0]
				s.waiting = s.waiting[1:]
				next()
			}
		})
	}
	if s.running >= s.slots {
		s.waiting = append(s.waiting, start)
		return
	}
	start()
}

func (s *server) runTime() time.Duration {
	return 3*time.Millisecond + time.Duration(s.world.random.Int64N(int64(10*time.Millisecond)))
}

// finish ends the run of a statement: what it wrote is kept, and its answer sent or lost.
func (s *server) finish(cn *serverConn, c currantloom.Command, info *statement, done func(currantloom.Reply)) {
	w := s.world
	single := cn.tx == nil
	if single && c.Writes && w.random.IntN(100) < s.late {
		cn.silent = true
		w.after(2*time.Second+time.Duration(w.random.Int64N(int64(8*time.Second))), func() {
			if s.alive && s.primary {
				s.append(&entry{writes: []string{c.ID}})
			}
		})
		return
	}
	if w.random.IntN(100) < s.loseAnswers {
		cn.silent = true
		done = func(currantloom.Reply) {}
	}
	answer := func() { done(currantloom.Reply{Rows: []string{"row"}, Signature: "run-" + c.ID}) }
	var writes []string
	switch {
	case single && c.Writes:
		writes = []string{c.ID}
	case c.Commits:
		tx := cn.tx
		cn.tx = nil
		if tx == nil {
			w.oracle.fail("server %s commits for %s outside a transaction", s.name, c.ID)
			return
		}
		if len(tx.writes) > 0 && s.lostLead(tx) {
			done(refused(currantloom.ReplyNotPrimary))
			return
		}
		writes = tx.writes
	case c.Writes:
		cn.tx.writes = append(cn.tx.writes, c.ID)
	}
	if len(writes) == 0 {
		answer()
		return
	}
	if !s.primary {
		done(refused(currantloom.ReplyNotPrimary))
		return
	}
	w.oracle.commits(writes, info)
	s.append(&entry{writes: writes, waiting: answer})
}
