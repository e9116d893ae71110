package loomfleet

import (
	"currantloom.example/currantloom"
)

// logAttempt logs why an attempt did not answer its request.
func (s *State) logAttempt(r *request, c *call, result currantloom.CallResult) {
	reason := result.Reason.String()
	if result.Reason == currantloom.ReasonRefused {
		reason = result.Reply.Code.String()
	}
	s.log(Decision{
		Event: "attempt", Request: r.statement.ID, Service: r.group.name, Upstream: c.upstream.Name, VM: c.vm,
		Position: result.Reply.Position, Age: s.now - c.sentAt, Attempt: r.attempt, Reason: reason,
		Outcome: result.Verdict.String(), Routine: true,
	})
}

func (s *State) logRequest(r *request, reply currantloom.Reply, c *call) {
	d := Decision{
		Event: "statement", Request: r.statement.ID, Session: r.session.id, Organisation: r.organisation,
		Service: r.group.name, Age: s.now - r.arrivedAt, Attempt: r.attempt, Outcome: reply.Code.String(),
		Version: s.configurationVersion(), Routine: reply.Code == currantloom.ReplyOK && r.attempt == 1,
	}
	if r.lastFailure != currantloom.ReasonNone {
		d.Reason = r.lastFailure.String()
	}
	switch {
	case r.withdrawnBy != "":
		d.Reason = r.withdrawnBy
	case r.tokens.refused:
		d.Reason, d.Routine = "limit", true
	}
	if c != nil {
		d.Upstream, d.VM, d.Position, d.PositionAge = c.upstream.Name, c.vm, c.requiredPosition, c.requiredAge
	}
	s.log(d)
}

// maxLoggedDefinition is the number of bytes of a prepared statement's definition that a log line shows.
const maxLoggedDefinition = 64

// logSetup logs the prepared statements that are defined on a connection for a job.
func (s *State) logSetup(cn *conn, j *job, commands []currantloom.Command) {
	for _, c := range commands {
		if c.Kind == currantloom.CommandPrepare {
			s.log(Decision{
				Event: "setup", Request: j.call.Command.ID, Service: cn.pool.upstream.Service, Upstream: cn.pool.upstream.Name,
				Prepared: describePrepared(c), Outcome: "sent", Routine: true,
			})
		}
	}
}

// logRefusedSetup logs that the upstream refused a setting or a prepared statement of the connection's job.
func (s *State) logRefusedSetup(cn *conn, reply currantloom.Reply) {
	d := Decision{
		Event: "setup", Service: cn.pool.upstream.Service, Upstream: cn.pool.upstream.Name, Reason: reply.Code.String(),
		Outcome: "refused",
	}
	if cn.job != nil {
		d.Request = cn.job.call.Command.ID
	}
	s.log(d)
}

// describePrepared returns the name, the mode and the beginning of the definition of a prepared statement.
func describePrepared(c currantloom.Command) string {
	mode := "read"
	if c.Writes {
		mode = "write"
	}
	definition := c.Argument[:min(len(c.Argument), maxLoggedDefinition)]
	return c.Name + " " + mode + " " + definition
}
