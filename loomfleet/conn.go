package loomfleet

import (
	"slices"
	"time"

	"currantloom.example/currantloom"
)

// ownerIdleMargin is how much longer than the entry node an owner waits before it ends an idle transaction.
const ownerIdleMargin = 2 * time.Second

type connState uint8

const (
	connOpening connState = iota
	connOpen
	connClosed
)

// expectedReply says what the next reply on a connection answers.
type expectedReply uint8

const (
	// expectSetup: a session setting or a prepared statement.
	expectSetup expectedReply = iota
	// expectDeallocate: the removal of a prepared statement.
	expectDeallocate
	// expectBegin: the BEGIN of the job's transaction.
	expectBegin
	// expectCommand: the command of the job.
	expectCommand
	expectRollback
	// expectProbe: a BEGIN that only checks whether the upstream is the primary.
	expectProbe
)

// conn is a connection to an upstream. It is used by one job or one transaction at a time.
type conn struct {
	id   ConnID
	pool *pool
	// organisation is the organisation whose jobs the connection runs; empty for jobs of none.
	organisation currantloom.OrganisationName
	state        connState
	openedAt     time.Duration
	// settings and prepared are the session settings and prepared statements of this connection at the upstream. If
	// dirty is set, the upstream may have others.
	settings map[string]string
	prepared preparedStatements
	dirty    bool
	job      *job
	// transaction is the key of the open transaction, link is the link to its entry node. mayWrite says that the
	// transaction is read-write, hasWritten that the last transaction has written.
	transaction currantloom.RequestKey
	mayWrite    bool
	hasWritten  bool
	link        LinkID
	idleTimeout time.Duration
	// expectedReplies are the outstanding replies in order, lastSentAt is when commands were last sent.
	expectedReplies []expectedReply
	lastSentAt      time.Duration
	idleSince       time.Duration
}

// isIdle reports whether a job may take the connection.
func (cn *conn) isIdle() bool {
	return cn.state == connOpen && cn.job == nil && cn.transaction == (currantloom.RequestKey{}) &&
		len(cn.expectedReplies) == 0
}

// matches reports whether the connection has exactly the settings of the call's session.
func (cn *conn) matches(m currantloom.Call) bool {
	if cn.dirty || len(cn.settings) != len(m.Settings) {
		return false
	}
	for _, setting := range m.Settings {
		if value, ok := cn.settings[setting.Name]; !ok || value != setting.Value {
			return false
		}
	}
	return true
}

// setUp names the prepared statement of the call, and returns the commands that give the connection this statement and
// the settings of the call.
func (cn *conn) setUp(m *currantloom.Call) []currantloom.Command {
	var commands []currantloom.Command
	if m.Mode < currantloom.CallVerifyPrimary && !cn.matches(*m) {
		commands = cn.settingCommands(*m)
	}
	if m.Command.Kind == currantloom.CommandExecute {
		name, prepare := cn.prepared.use(m.Prepared)
		m.Command.Name = name
		commands = append(commands, prepare...)
	}
	return commands
}

func (cn *conn) settingCommands(m currantloom.Call) []currantloom.Command {
	var commands []currantloom.Command
	if cn.dirty || cn.hasOtherSettings(m.Settings) {
		commands = append(commands, currantloom.Command{Kind: currantloom.CommandReset})
		clear(cn.settings)
		cn.prepared.clear()
		cn.dirty = false
	}
	for _, setting := range m.Settings {
		if value, ok := cn.settings[setting.Name]; ok && value == setting.Value {
			continue
		}
		cn.settings[setting.Name] = setting.Value
		commands = append(commands, currantloom.Command{
			Kind: currantloom.CommandSet, Name: setting.Name, Argument: setting.Value,
		})
	}
	return commands
}

// hasOtherSettings reports whether the connection has settings that the session has not set.
func (cn *conn) hasOtherSettings(settings []currantloom.SessionSetting) bool {
	for name := range cn.settings {
		if !slices.ContainsFunc(settings, func(s currantloom.SessionSetting) bool { return s.Name == name }) {
			return true
		}
	}
	return false
}

// start runs a job. BEGIN is sent alone, and the statement after its reply: if both were sent together and the
// upstream refused BEGIN, it would run the statement outside a transaction. For the same reason some jobs wait for the
// replies to their setup (mustAwaitSetup).
func (cn *conn) start(s *State, j *job) {
	j.conn, cn.job = cn, j
	j.startedAt, j.deadline = s.now, s.now+j.call.Timeout
	if opensTransaction(j.call.Mode) {
		cn.hasWritten = false
	}
	if j.call.Mode < currantloom.CallVerifyPrimary {
		j.countsAsRunning = true
		cn.pool.running++
		cn.pool.chargeStart(s, j)
	}
	commands := cn.setUp(&j.call)
	s.logSetup(cn, j, commands)
	cn.expectSetupReplies(commands)
	if j.call.Mode == currantloom.CallInTransaction && len(commands) > 0 {
		cn.dirty = true
	}
	switch j.call.Mode {
	case currantloom.CallDirect, currantloom.CallInTransaction:
		if j.awaitsSetup = len(commands) > 0 && cn.pool.mustAwaitSetup(j); j.awaitsSetup {
			break
		}
		commands = append(commands, cn.beginCommand(j))
	case currantloom.CallBegin, currantloom.CallPrimaryRead:
		commands = append(commands, currantloom.Command{Kind: currantloom.CommandBegin})
		cn.expectReply(expectBegin)
	case currantloom.CallBeginRead:
		commands = append(commands, currantloom.Command{Kind: currantloom.CommandBeginRead, MinPosition: j.required.position})
		cn.expectReply(expectBegin)
	case currantloom.CallVerifyPrimary:
		commands = append(commands, currantloom.Command{Kind: currantloom.CommandBegin})
		cn.expectReply(expectProbe)
	default:
		commands = append(commands, cn.beginCommand(j))
	}
	cn.send(s, commands)
}

// beginCommand records that the command of the job is sent now, and returns it.
func (cn *conn) beginCommand(j *job) currantloom.Command {
	cn.expectReply(expectCommand)
	j.sent, j.awaitsSetup = true, false
	return j.call.Command
}

func (cn *conn) expectSetupReplies(commands []currantloom.Command) {
	for _, c := range commands {
		if c.Kind == currantloom.CommandDeallocate {
			cn.expectReply(expectDeallocate)
		} else {
			cn.expectReply(expectSetup)
		}
	}
}

func (cn *conn) expectReply(reply expectedReply) {
	cn.expectedReplies = append(cn.expectedReplies, reply)
}

func (cn *conn) send(s *State, commands []currantloom.Command) {
	cn.lastSentAt = s.now
	s.emit(SendCommands{Conn: cn.id, Commands: commands})
}

// sendProbe checks on an idle connection whether the upstream is the primary.
func (cn *conn) sendProbe(s *State) {
	cn.expectReply(expectProbe)
	cn.send(s, []currantloom.Command{{Kind: currantloom.CommandBegin}})
}

// rollBack rolls back whatever the connection is in the middle of.
func (cn *conn) rollBack(s *State) {
	cn.expectReply(expectRollback)
	cn.send(s, []currantloom.Command{{Kind: currantloom.CommandRollback}})
}

func (s *State) handleConnOpened(e ConnOpened) {
	cn, ok := s.owner.conns[e.Conn]
	if !ok {
		return
	}
	p := cn.pool
	switch {
	case e.Failed:
		s.forgetConn(cn)
		reason := "no answer"
		if e.Refused {
			reason = "connection refused"
			p.share.recordGone()
		} else {
			p.share.recordClosed(s.now, 0)
		}
		p.markUnreachable(s, reason)
	case e.Reply.Code == currantloom.ReplyNoConnections:
		s.emit(CloseConn{Conn: cn.id})
		s.forgetConn(cn)
		p.handleConnRefused(s)
	case e.Reply.Code != currantloom.ReplyOK:
		s.closeConn(cn, currantloom.ReasonUnreachable)
		p.markUnreachable(s, e.Reply.Code.String())
	default:
		cn.state, cn.idleSince = connOpen, s.now
		p.recordConnCost(s, cn)
		p.upstream.observePosition(e.Reply.Position, cn.openedAt)
		p.markReachable(s)
		p.startJobs(s)
	}
}

// detachJob removes the job from the connection.
func (s *State) detachJob(cn *conn) {
	j := cn.job
	cn.job = nil
	if j.countsAsRunning {
		j.countsAsRunning = false
		cn.pool.running--
		cn.pool.chargeEnd(s, j)
	}
	cn.idleSince = s.now
}

func (s *State) handleConnLost(e ConnLost) {
	cn, ok := s.owner.conns[e.Conn]
	if !ok {
		return
	}
	if e.Unwritable != "" {
		s.closeUnwritable(cn, e.Unwritable)
	} else {
		s.forgetConn(cn)
		s.endJobOfLostConn(cn, currantloom.ReasonConnectionLost)
	}
	cn.pool.startJobs(s)
}

// closeConn closes a connection; a job on it fails with the reason.
func (s *State) closeConn(cn *conn, reason currantloom.CallFailureReason) {
	if cn.state == connClosed {
		return
	}
	s.emit(CloseConn{Conn: cn.id})
	cn.pool.share.recordClosed(s.now, cn.settleTime(s, reason))
	s.forgetConn(cn)
	s.endJobOfLostConn(cn, reason)
}

// settleTime is how long after the close of the connection a reply on another one shows that the upstream no longer
// counts it; zero if none does.
func (cn *conn) settleTime(s *State, reason currantloom.CallFailureReason) time.Duration {
	j := cn.job
	switch {
	case cn.isIdle():
		return closeNoticeTime
	case s.isEnabled(MechanismOverdueJobs) && reason == currantloom.ReasonTimeout && j != nil && j.isPlainRead() &&
		cn.pool.newestAnswered > j.startedAt:
		return lostReadSettleTime
	default:
		return 0
	}
}

// forgetConn removes a connection from the node's state.
func (s *State) forgetConn(cn *conn) {
	p := cn.pool
	cn.state = connClosed
	delete(s.owner.conns, cn.id)
	p.conns = slices.DeleteFunc(p.conns, func(other *conn) bool { return other == cn })
	if cn.transaction != (currantloom.RequestKey{}) {
		s.unpin(cn)
	}
	if p.probeConn == cn {
		p.probeConn = nil
	}
}

// endJobOfLostConn ends the job of a connection that was closed. A command that was not sent has not run.
func (s *State) endJobOfLostConn(cn *conn, reason currantloom.CallFailureReason) {
	j := cn.job
	if j == nil {
		return
	}
	s.detachJob(cn)
	cn.pool.queue.remove(j)
	if !j.sent {
		if j.call.Mode == currantloom.CallInTransaction {
			s.rejectJob(j, currantloom.ReasonNoTransaction)
		} else {
			s.rejectJob(j, reason)
		}
		return
	}
	if j.provesPrimary() {
		cn.pool.recordCommitEnd(s.now, j, reason)
	}
	s.finishJob(j, currantloom.CallResult{Verdict: currantloom.MayHaveRun, Reason: reason})
}

// tick applies the timeouts of the connection.
func (cn *conn) tick(s *State) {
	p := cn.pool
	switch {
	case cn.state == connOpening:
		if s.now-cn.openedAt > answerTimeout {
			s.closeConn(cn, currantloom.ReasonUnreachable)
			p.markUnreachable(s, "no answer to the connection")
		}
	case cn.job != nil && len(cn.expectedReplies) > 0:
		cn.tickJob(s)
	case len(cn.expectedReplies) > 0 && s.runningTimeSince(cn.lastSentAt) > probeTimeout:
		s.closeConn(cn, currantloom.ReasonConnectionLost)
		if s.now-p.heardAt > probeTimeout {
			p.markUnreachable(s, "no answer to a probe")
		}
	case cn.transaction != (currantloom.RequestKey{}) && cn.job == nil && s.now-cn.idleSince > cn.idleTimeout:
		s.unpin(cn)
		cn.rollBack(s)
	}
}

// tickJob ends a job that has timed out. A transaction whose BEGIN gets no reply within answerTimeout shows that the
// connection is dead, so the job's own timeout is not awaited.
func (cn *conn) tickJob(s *State) {
	j := cn.job
	switch {
	case !j.sent && s.now-cn.lastSentAt > answerTimeout:
		s.closeConn(cn, currantloom.ReasonTimeout)
	case s.now >= j.deadline || cn.pool.isLostRead(s, j):
		s.closeConn(cn, currantloom.ReasonTimeout)
	default:
		return
	}
	p := cn.pool
	if s.now-p.heardAt > answerTimeout && len(p.conns) == 0 {
		p.markUnreachable(s, "no answer")
	}
}
