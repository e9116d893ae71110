package loomfleet

import (
	"slices"
	"time"

	"currantloom.example/currantloom"
)

// abandonedIdle is how much longer than the entry node a carrier waits before it ends an idle transaction.
const abandonedIdle = 2 * time.Second

type connState uint8

const (
	connOpening connState = iota
	connOpen
	connClosed
)

// step is what a reply on a connection answers.
type step uint8

const (
	// stepSetup: a value or a prepared statement.
	stepSetup step = iota
	// stepBegin: the transaction of the work.
	stepBegin
	// stepCommand: the command of the work.
	stepCommand
	stepRollback
	// stepProbe: a transaction that only shows who is the primary.
	stepProbe
)

// conn is a connection to an upstream. One work or one transaction uses it at a time.
type conn struct {
	id       ConnID
	pool     *pool
	state    connState
	openedAt time.Duration
	// values and prepared are what the upstream knows of this connection. With dirty set, values may be others.
	values   map[string]string
	prepared map[string]bool
	dirty    bool
	work     *work
	// transaction is the key of the open transaction, link is where its node is. Writes says that it may write, wrote
	// that it did.
	transaction currantloom.RequestKey
	writes      bool
	wrote       bool
	link        LinkID
	idleLimit   time.Duration
	// steps are what the next replies answer, sentAt is when the last commands were sent.
	steps     []step
	sentAt    time.Duration
	idleSince time.Duration
}

// isIdle reports whether work may take the connection.
func (cn *conn) isIdle() bool {
	return cn.state == connOpen && cn.work == nil && cn.transaction == (currantloom.RequestKey{}) && len(cn.steps) == 0
}

// matches reports whether the connection has exactly the values of the call's session.
func (cn *conn) matches(m currantloom.Call) bool {
	if cn.dirty || len(cn.values) != len(m.Settings) {
		return false
	}
	for _, setting := range m.Settings {
		if value, ok := cn.values[setting.Name]; !ok || value != setting.Value {
			return false
		}
	}
	return true
}

// setup returns the commands that give the connection the values and the prepared statement of the call.
func (cn *conn) setup(m currantloom.Call) []currantloom.Command {
	var commands []currantloom.Command
	if m.Mode < currantloom.CallVerifyPrimary && !cn.matches(m) {
		commands = cn.setValues(m)
	}
	if m.Command.Kind == currantloom.CommandExecute && !cn.prepared[m.Command.Name] {
		cn.prepared[m.Command.Name] = true
		commands = append(commands, currantloom.Command{
			Kind: currantloom.CommandPrepare, Name: m.Command.Name, Argument: m.Prepared.Definition, Writes: m.Prepared.Writes,
		})
	}
	return commands
}

func (cn *conn) setValues(m currantloom.Call) []currantloom.Command {
	var commands []currantloom.Command
	if cn.dirty || cn.hasOthers(m.Settings) {
		commands = append(commands, currantloom.Command{Kind: currantloom.CommandReset})
		clear(cn.values)
		clear(cn.prepared)
		cn.dirty = false
	}
	for _, setting := range m.Settings {
		if value, ok := cn.values[setting.Name]; ok && value == setting.Value {
			continue
		}
		cn.values[setting.Name] = setting.Value
		commands = append(commands, currantloom.Command{
			Kind: currantloom.CommandSet, Name: setting.Name, Argument: setting.Value,
		})
	}
	return commands
}

// hasOthers reports whether the connection has values that the session has not set.
func (cn *conn) hasOthers(settings []currantloom.SessionSetting) bool {
	for name := range cn.values {
		if !slices.ContainsFunc(settings, func(s currantloom.SessionSetting) bool { return s.Name == name }) {
			return true
		}
	}
	return false
}

// start runs admitted work. A transaction begins in a step of its own: a statement that is sent along with a refused
// BEGIN would run outside it.
func (cn *conn) start(s *State, w *work) {
	w.conn, cn.work = cn, w
	w.startedAt, w.deadline = s.now, s.now+w.call.Timeout
	if w.call.Mode < currantloom.CallVerifyPrimary {
		w.occupies = true
		cn.pool.running++
	}
	commands := cn.setup(w.call)
	cn.expect(stepSetup, len(commands))
	if w.call.Mode == currantloom.CallInTransaction && len(commands) > 0 {
		cn.dirty = true
	}
	switch w.call.Mode {
	case currantloom.CallBegin, currantloom.CallPrimaryRead:
		commands = append(commands, currantloom.Command{Kind: currantloom.CommandBegin})
		cn.expect(stepBegin, 1)
	case currantloom.CallBeginRead:
		commands = append(commands, currantloom.Command{Kind: currantloom.CommandBeginRead, MinPosition: w.required.mark})
		cn.expect(stepBegin, 1)
	case currantloom.CallVerifyPrimary:
		commands = append(commands, currantloom.Command{Kind: currantloom.CommandBegin})
		cn.expect(stepProbe, 1)
	default:
		commands = append(commands, w.call.Command)
		cn.expect(stepCommand, 1)
		w.sent = true
	}
	cn.send(s, commands)
}

func (cn *conn) expect(st step, count int) {
	for range count {
		cn.steps = append(cn.steps, st)
	}
}

func (cn *conn) send(s *State, commands []currantloom.Command) {
	cn.sentAt = s.now
	s.emit(SendCommands{Conn: cn.id, Commands: commands})
}

// sendProbe asks an idle connection's upstream whether it is the primary.
func (cn *conn) sendProbe(s *State) {
	cn.expect(stepProbe, 1)
	cn.send(s, []currantloom.Command{{Kind: currantloom.CommandBegin}})
}

// rollBack ends whatever the connection is in the middle of.
func (cn *conn) rollBack(s *State) {
	cn.expect(stepRollback, 1)
	cn.send(s, []currantloom.Command{{Kind: currantloom.CommandRollback}})
}

func (s *State) connOpened(e ConnOpened) {
	cn, ok := s.carrier.conns[e.Conn]
	if !ok {
		return
	}
	p := cn.pool
	switch {
	case e.Failed:
		s.dropConn(cn)
		reason := "no answer"
		if e.Refused {
			reason = "connection refused"
		}
		p.failed(s, reason)
	case e.Reply.Code == currantloom.ReplyNoConnections:
		s.closeConn(cn, currantloom.ReasonUnreachable)
		p.fullUntil = s.now + fullAfter
		s.log(Decision{Event: "connection", Upstream: p.upstream.Name, Service: p.upstream.Service, Outcome: "limit"})
	case e.Reply.Code != currantloom.ReplyOK:
		s.closeConn(cn, currantloom.ReasonUnreachable)
		p.failed(s, e.Reply.Code.String())
	default:
		cn.state, cn.idleSince = connOpen, s.now
		p.upstream.saw(e.Reply.Position, cn.openedAt)
		p.heard(s)
		p.admit(s)
	}
}

func (s *State) replyReceived(e ReplyReceived) {
	cn, ok := s.carrier.conns[e.Conn]
	if !ok {
		return
	}
	if len(cn.steps) == 0 {
		s.closeConn(cn, currantloom.ReasonConnectionLost)
		return
	}
	st := cn.steps[0]
	cn.steps = cn.steps[1:]
	p := cn.pool
	p.heard(s)
	p.upstream.saw(e.Reply.Position, cn.sentAt)
	switch st {
	case stepSetup:
		if e.Reply.Code != currantloom.ReplyOK {
			s.closeConn(cn, currantloom.ReasonConnectionLost)
		}
	case stepBegin:
		s.begun(cn, e.Reply)
	case stepCommand:
		s.commandAnswered(cn, e.Reply)
	case stepProbe:
		s.probed(cn, e.Reply)
	case stepRollback:
		s.rolledBack(cn, e.Reply)
	}
	p.admit(s)
}

// begun sends the statement of the work once its transaction is open.
func (s *State) begun(cn *conn, reply currantloom.Reply) {
	w, p := cn.work, cn.pool
	if reply.Code != currantloom.ReplyOK {
		s.refusedCommand(cn, reply)
		return
	}
	if w.call.Mode != currantloom.CallBeginRead {
		p.upstream.group.lead(s, p.upstream.Name, reply.Position, cn.sentAt)
	}
	if w.orphaned {
		s.endWork(cn)
		delete(s.carrier.works, w.call.Key)
		cn.rollBack(s)
		return
	}
	w.sent = true
	commands := []currantloom.Command{w.call.Command}
	cn.expect(stepCommand, 1)
	if w.call.Mode == currantloom.CallPrimaryRead {
		commands = append(commands, currantloom.Command{Kind: currantloom.CommandRollback})
		cn.expect(stepRollback, 1)
	}
	cn.send(s, commands)
}

// endWork takes the work off the connection.
func (s *State) endWork(cn *conn) {
	w := cn.work
	cn.work = nil
	if w.occupies {
		w.occupies = false
		cn.pool.running--
	}
	cn.idleSince = s.now
}

// commandAnswered passes the upstream's answer on, and decides what becomes of the connection.
func (s *State) commandAnswered(cn *conn, reply currantloom.Reply) {
	w, p := cn.work, cn.pool
	if reply.Code.IsNotRun() {
		s.refusedCommand(cn, reply)
		return
	}
	if w.occupies {
		p.observe(s.now - w.startedAt)
	}
	if reply.Code == currantloom.ReplyOK && w.commits() {
		p.commitAnswered()
		p.upstream.group.acknowledged(reply.Position)
		p.upstream.group.lead(s, p.upstream.Name, reply.Position, cn.sentAt)
	}
	s.endWork(cn)
	s.keepOrFree(cn, w, reply)
	s.answer(w, currantloom.CallResult{Verdict: currantloom.Ran, Reply: reply})
}

// keepOrFree pins the connection to its transaction, or makes it idle again.
func (s *State) keepOrFree(cn *conn, w *work, reply currantloom.Reply) {
	open := reply.TransactionStatus != currantloom.TransactionIdle
	switch {
	case w.call.Mode == currantloom.CallInTransaction:
		cn.wrote = cn.wrote || w.call.Command.Writes
		if !open {
			s.unpin(cn)
		}
	case opens(w.call.Mode) && open && reply.Code == currantloom.ReplyOK && !w.orphaned:
		cn.transaction, cn.link, cn.writes = w.call.Key, w.link, w.call.Mode == currantloom.CallBegin
		cn.idleLimit = w.call.IdleTransactionTimeout + abandonedIdle
		cn.wrote = w.call.Command.Writes
		s.carrier.pinned[w.call.Key] = cn
		cn.pool.pinned++
	case open && len(cn.steps) == 0:
		cn.rollBack(s)
	}
}

// refusedCommand handles an answer that says that the command has not run.
func (s *State) refusedCommand(cn *conn, reply currantloom.Reply) {
	w, p := cn.work, cn.pool
	if reply.Code == currantloom.ReplyNotPrimary && w.needsPrimary() {
		p.upstream.group.denied(s, p.upstream.Name)
	}
	s.endWork(cn)
	if w.call.Mode == currantloom.CallInTransaction {
		s.refusedContinue(cn, w, reply)
		return
	}
	if reply.Code == currantloom.ReplyNoStatement {
		cn.dirty = true
		clear(cn.prepared)
	}
	if reply.TransactionStatus != currantloom.TransactionIdle && len(cn.steps) == 0 {
		cn.rollBack(s)
	}
	s.answer(w, currantloom.CallResult{Verdict: currantloom.NotRun, Reason: currantloom.ReasonRefused, Reply: reply})
}

// refusedContinue sends a statement of a transaction again if the upstream had no slot for it, and ends the transaction
// if it does not help.
func (s *State) refusedContinue(cn *conn, w *work, reply currantloom.Reply) {
	if reply.Code == currantloom.ReplyBusy && w.retries < busyRetries &&
		reply.TransactionStatus == currantloom.TransactionOpen {
		w.retries++
		w.startedAt = s.now + busyPause
		w.sent = false
		cn.work = w
		cn.pool.queue.add(w)
		return
	}
	s.unpin(cn)
	if reply.TransactionStatus != currantloom.TransactionIdle {
		cn.rollBack(s)
	}
	s.answer(w, currantloom.CallResult{Verdict: currantloom.NotRun, Reason: currantloom.ReasonRefused, Reply: reply})
}

// probed learns from the answer to a probe.
func (s *State) probed(cn *conn, reply currantloom.Reply) {
	p := cn.pool
	if p.probe == cn {
		p.probe = nil
	}
	switch reply.Code {
	case currantloom.ReplyOK:
		p.upstream.group.lead(s, p.upstream.Name, reply.Position, cn.sentAt)
	case currantloom.ReplyNotPrimary:
		p.upstream.group.denied(s, p.upstream.Name)
	}
	if w := cn.work; w != nil {
		s.endWork(cn)
		s.answer(w, currantloom.CallResult{Verdict: currantloom.Ran, Reply: reply})
	}
	if reply.TransactionStatus != currantloom.TransactionIdle {
		cn.rollBack(s)
		return
	}
	cn.idleSince = s.now
}

func (s *State) rolledBack(cn *conn, reply currantloom.Reply) {
	if reply.TransactionStatus != currantloom.TransactionIdle {
		s.closeConn(cn, currantloom.ReasonConnectionLost)
		return
	}
	cn.idleSince = s.now
}

func (s *State) connLost(e ConnLost) {
	if cn, ok := s.carrier.conns[e.Conn]; ok {
		s.dropConn(cn)
		s.endLost(cn, currantloom.ReasonConnectionLost)
		cn.pool.admit(s)
	}
}

// closeConn closes a connection; work on it ends for the reason.
func (s *State) closeConn(cn *conn, reason currantloom.CallFailureReason) {
	if cn.state == connClosed {
		return
	}
	s.emit(CloseConn{Conn: cn.id})
	s.dropConn(cn)
	s.endLost(cn, reason)
}

// dropConn forgets a connection.
func (s *State) dropConn(cn *conn) {
	p := cn.pool
	cn.state = connClosed
	delete(s.carrier.conns, cn.id)
	p.conns = slices.DeleteFunc(p.conns, func(other *conn) bool { return other == cn })
	if cn.transaction != (currantloom.RequestKey{}) {
		s.unpin(cn)
	}
	if p.probe == cn {
		p.probe = nil
	}
}

// endLost ends the work of a connection that is gone. What was not sent has not run.
func (s *State) endLost(cn *conn, reason currantloom.CallFailureReason) {
	w := cn.work
	if w == nil {
		return
	}
	s.endWork(cn)
	cn.pool.queue.remove(w)
	if !w.sent {
		if w.call.Mode == currantloom.CallInTransaction {
			s.answerNotRun(w, currantloom.ReasonNoTransaction)
		} else {
			s.answerNotRun(w, currantloom.ReasonUnreachable)
		}
		return
	}
	if w.commits() {
		cn.pool.commitUnanswered(w.startedAt)
	}
	s.answer(w, currantloom.CallResult{Verdict: currantloom.MayHaveRun, Reason: reason})
}

// tick ends what is silent on the connection.
func (cn *conn) tick(s *State) {
	p := cn.pool
	switch {
	case cn.state == connOpening:
		if s.now-cn.openedAt > silentAfter {
			s.closeConn(cn, currantloom.ReasonUnreachable)
			p.failed(s, "no answer to the connection")
		}
	case cn.work != nil && len(cn.steps) > 0:
		cn.tickWork(s)
	case len(cn.steps) > 0 && s.sinceAwake(cn.sentAt) > probeSilentAfter:
		s.closeConn(cn, currantloom.ReasonConnectionLost)
		if s.now-p.heardAt > probeSilentAfter {
			p.failed(s, "no answer to a probe")
		}
	case cn.transaction != (currantloom.RequestKey{}) && cn.work == nil && s.now-cn.idleSince > cn.idleLimit:
		s.unpin(cn)
		cn.rollBack(s)
	}
}

// tickWork ends work without an answer. A transaction that does not even begin tells that the connection is silent.
func (cn *conn) tickWork(s *State) {
	w := cn.work
	switch {
	case !w.sent && s.now-cn.sentAt > silentAfter:
		s.closeConn(cn, currantloom.ReasonTimeout)
	case s.now >= w.deadline:
		s.closeConn(cn, currantloom.ReasonTimeout)
	default:
		return
	}
	p := cn.pool
	if s.now-p.heardAt > silentAfter && len(p.conns) == 0 {
		p.failed(s, "no answer")
	}
}
