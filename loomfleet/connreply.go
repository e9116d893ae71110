package loomfleet

import (
	"currantloom.example/currantloom"
)

func (s *State) handleReply(e ReplyReceived) {
	cn, ok := s.owner.conns[e.Conn]
	if !ok {
		return
	}
	p := cn.pool
	expected, ok := cn.nextExpected(e.Reply)
	if !ok {
		s.closeOutOfStep(cn, e.Reply)
		p.startJobs(s)
		return
	}
	p.markReachable(s)
	p.newestAnswered = max(p.newestAnswered, cn.lastSentAt)
	p.upstream.observePosition(e.Reply.Position, cn.lastSentAt)
	switch expected {
	case expectSetup:
		s.handleSetupReply(cn, e.Reply)
	case expectDeallocate:
		cn.dirty = cn.dirty || e.Reply.Code != currantloom.ReplyOK
		s.sendAfterSetup(cn, e.Reply)
	case expectBegin:
		s.handleBeginReply(cn, e.Reply)
	case expectCommand:
		s.handleCommandReply(cn, e.Reply)
	case expectProbe:
		s.handleProbeReply(cn, e.Reply)
	case expectRollback:
		s.handleRollbackReply(cn, e.Reply)
	}
	p.startJobs(s)
}

// handleBeginReply sends the statement of the job once its transaction is open.
func (s *State) handleBeginReply(cn *conn, reply currantloom.Reply) {
	j, p := cn.job, cn.pool
	if reply.Code != currantloom.ReplyOK || j.isSetupRefused() {
		s.handleRefusedCommand(cn, reply)
		return
	}
	if j.call.Mode != currantloom.CallBeginRead {
		p.upstream.group.recordPrimary(s, p.upstream.Name, reply.Position, cn.lastSentAt)
	}
	if j.orphaned {
		s.detachJob(cn)
		delete(s.owner.jobs, j.call.Key)
		cn.rollBack(s)
		return
	}
	j.sent = true
	commands := []currantloom.Command{j.call.Command}
	cn.expectReply(expectCommand)
	if j.call.Mode == currantloom.CallPrimaryRead {
		commands = append(commands, currantloom.Command{Kind: currantloom.CommandRollback})
		cn.expectReply(expectRollback)
	}
	cn.send(s, commands)
}

// handleCommandReply forwards the upstream's reply and releases or pins the connection.
func (s *State) handleCommandReply(cn *conn, reply currantloom.Reply) {
	j, p := cn.job, cn.pool
	if reply.Code.IsNotRun() || j.isSetupRefused() {
		s.handleRefusedCommand(cn, reply)
		return
	}
	if j.countsAsRunning {
		p.recordRunTime(s.now - j.startedAt)
		p.newestRun = max(p.newestRun, j.startedAt)
	}
	committed := reply.Code == currantloom.ReplyOK && j.provesPrimary()
	if committed {
		p.stall.recordAnswered()
		p.newestCommit = max(p.newestCommit, j.startedAt)
		p.upstream.group.recordPrimary(s, p.upstream.Name, reply.Position, cn.lastSentAt)
	}
	s.detachJob(cn)
	s.pinOrRelease(cn, j, reply)
	if committed {
		s.finishCommit(j, reply)
		return
	}
	s.finishJob(j, currantloom.CallResult{Verdict: currantloom.Ran, Reply: reply})
}

// pinOrRelease pins the connection to its open transaction, or makes it idle again.
func (s *State) pinOrRelease(cn *conn, j *job, reply currantloom.Reply) {
	open := reply.TransactionStatus != currantloom.TransactionIdle
	switch {
	case j.call.Mode == currantloom.CallInTransaction:
		cn.hasWritten = cn.hasWritten || j.call.Command.Writes
		if !open {
			s.unpin(cn)
		}
	case opensTransaction(j.call.Mode) && open && reply.Code == currantloom.ReplyOK && !j.orphaned:
		cn.transaction, cn.link, cn.mayWrite = j.call.Key, j.link, j.call.Mode == currantloom.CallBegin
		cn.idleTimeout = j.call.IdleTransactionTimeout + ownerIdleMargin
		cn.hasWritten = j.call.Command.Writes
		s.owner.pinned[j.call.Key] = cn
		cn.pool.pinned++
	case open && len(cn.expectedReplies) == 0:
		cn.rollBack(s)
	}
}

// handleRefusedCommand handles a reply that says that the command was not run.
func (s *State) handleRefusedCommand(cn *conn, reply currantloom.Reply) {
	j, p := cn.job, cn.pool
	if reply.Code == currantloom.ReplyNotPrimary && j.needsPrimary() {
		p.upstream.group.recordNotPrimary(s, p.upstream.Name)
	}
	s.detachJob(cn)
	if reply.Code == currantloom.ReplyNoStatement {
		cn.forgetSetup()
	}
	if j.call.Mode == currantloom.CallInTransaction {
		s.handleRefusedInTransaction(cn, j, reply)
		return
	}
	if reply.TransactionStatus != currantloom.TransactionIdle && len(cn.expectedReplies) == 0 {
		cn.rollBack(s)
	}
	s.finishJob(j, j.refusal(reply))
}

// handleRefusedInTransaction retries a statement of a transaction if the upstream had no free slot for it, up to
// busyRetries times. Otherwise it ends the transaction.
func (s *State) handleRefusedInTransaction(cn *conn, j *job, reply currantloom.Reply) {
	if reply.Code == currantloom.ReplyBusy && !j.isSetupRefused() && j.retries < busyRetries &&
		reply.TransactionStatus == currantloom.TransactionOpen {
		j.retries++
		j.startedAt = s.now + busyRetryPause
		j.sent = false
		cn.job = j
		cn.pool.queue.add(j)
		return
	}
	s.unpin(cn)
	if reply.TransactionStatus != currantloom.TransactionIdle {
		cn.rollBack(s)
	}
	s.finishJob(j, j.refusal(reply))
}

// handleProbeReply processes the reply to a probe.
func (s *State) handleProbeReply(cn *conn, reply currantloom.Reply) {
	p := cn.pool
	if p.probeConn == cn {
		p.probeConn = nil
	}
	switch reply.Code {
	case currantloom.ReplyOK:
		p.upstream.group.recordPrimary(s, p.upstream.Name, reply.Position, cn.lastSentAt)
	case currantloom.ReplyNotPrimary:
		p.upstream.group.recordNotPrimary(s, p.upstream.Name)
	}
	if j := cn.job; j != nil {
		s.detachJob(cn)
		s.finishJob(j, currantloom.CallResult{Verdict: currantloom.Ran, Reply: reply})
	}
	if reply.TransactionStatus != currantloom.TransactionIdle {
		cn.rollBack(s)
		return
	}
	cn.idleSince = s.now
}

func (s *State) handleRollbackReply(cn *conn, reply currantloom.Reply) {
	if reply.TransactionStatus != currantloom.TransactionIdle {
		s.closeConn(cn, currantloom.ReasonConnectionLost)
		return
	}
	cn.idleSince = s.now
}
