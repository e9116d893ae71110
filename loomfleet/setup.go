package loomfleet

import (
	"slices"

	"currantloom.example/currantloom"
)

// This file handles settings and prepared statements that an upstream refuses. A read may be sent together with them:
// the upstream answers it too, and its answer is of no use then. The refusal says nothing about the upstream, because
// the text of a client may have caused it.

const (
	// maxAcceptedSettings bounds the settings that a pool remembers as accepted.
	maxAcceptedSettings = 1024
	// maxAcceptedSize bounds the size of each of them, in bytes. Longer ones are not remembered.
	maxAcceptedSize = 256
)

// mustAwaitSetup reports whether the command of a job is sent only after the replies to its settings and its prepared
// statement. A write or commit must not run if one of them is refused, and a read not without its settings; those that
// the upstream has accepted before, it accepts again.
func (p *pool) mustAwaitSetup(j *job) bool {
	return j.commits() || slices.ContainsFunc(j.call.Settings, func(s currantloom.SessionSetting) bool {
		return !p.acceptedSettings[s]
	})
}

// acceptSettings records that the upstream has accepted the settings.
func (p *pool) acceptSettings(settings []currantloom.SessionSetting) {
	if p.acceptedSettings == nil || len(p.acceptedSettings) >= maxAcceptedSettings {
		p.acceptedSettings = make(map[currantloom.SessionSetting]bool)
	}
	for _, s := range settings {
		if len(s.Name)+len(s.Value) <= maxAcceptedSize {
			p.acceptedSettings[s] = true
		}
	}
}

// handleSetupReply records a refused setting or prepared statement for the job that needs it.
func (s *State) handleSetupReply(cn *conn, reply currantloom.Reply) {
	if reply.Code != currantloom.ReplyOK {
		s.logRefusedSetup(cn, reply)
		cn.forgetSetup()
		if j := cn.job; j != nil && !j.isSetupRefused() {
			j.refusedSetup = reply
		}
	}
	s.sendAfterSetup(cn, reply)
}

// sendAfterSetup sends the command of a job that waits for the replies to its setup, once all have arrived. If one is a
// refusal, the job ends.
func (s *State) sendAfterSetup(cn *conn, reply currantloom.Reply) {
	j := cn.job
	switch {
	case j == nil || !j.awaitsSetup || len(cn.expectedReplies) > 0:
	case j.isSetupRefused():
		s.handleRefusedCommand(cn, reply)
	case j.orphaned && j.call.Mode == currantloom.CallDirect:
		s.detachJob(cn)
		delete(s.owner.jobs, j.call.Key)
	default:
		cn.pool.acceptSettings(j.call.Settings)
		cn.send(s, []currantloom.Command{cn.beginCommand(j)})
	}
}

// forgetSetup makes the next job reset the settings and prepared statements of the connection.
func (cn *conn) forgetSetup() {
	cn.dirty = true
	cn.prepared.clear()
}

// isSetupRefused reports whether the upstream refused a setting or the prepared statement of the job.
func (j *job) isSetupRefused() bool { return j.refusedSetup.Code != currantloom.ReplyOK }

// refusal is the result of the job if the upstream did not run its command.
func (j *job) refusal(reply currantloom.Reply) currantloom.CallResult {
	result := currantloom.CallResult{Verdict: currantloom.NotRun, Reason: currantloom.ReasonRefused, Reply: reply}
	if j.isSetupRefused() {
		result.Reason = currantloom.ReasonSetupRefused
		result.Reply.Code, result.Reply.Detail = j.refusedSetup.Code, j.refusedSetup.Detail
		result.Reply.Rows, result.Reply.Signature = nil, ""
	}
	return result
}

// closeUnwritable closes a connection on which the commands of its job could not be written. The job did not run, and
// the upstream has no part in it.
func (s *State) closeUnwritable(cn *conn, reason string) {
	refused := currantloom.Reply{Code: currantloom.ReplyMalformed, Detail: reason}
	d := Decision{
		Event: "setup", Service: cn.pool.upstream.Service, Upstream: cn.pool.upstream.Name, Reason: reason,
		Outcome: "unwritable",
	}
	j := cn.job
	if j != nil {
		d.Request = j.call.Command.ID
		s.detachJob(cn)
		cn.pool.queue.remove(j)
		j.refusedSetup = refused
		s.finishJob(j, j.refusal(refused))
	}
	s.log(d)
	s.closeConn(cn, currantloom.ReasonSetupRefused)
}

// finishRefusedSetup answers a request whose settings or prepared statement the upstream refused. Other upstreams would
// refuse them too.
func (s *State) finishRefusedSetup(r *request, result currantloom.CallResult) {
	code := result.Reply.Code
	if code != currantloom.ReplyMalformed {
		code = currantloom.ReplyAborted
	}
	s.finish(r, currantloom.Reply{Code: code, Detail: result.Reason.String() + " " + result.Reply.Detail}, nil)
}
