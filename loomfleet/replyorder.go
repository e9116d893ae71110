package loomfleet

import "currantloom.example/currantloom"

// This file tells to which command a reply belongs. An upstream answers the commands of a connection in order, but a
// reply may be lost, and the next one then takes its place. A reply that does not fit its place shows that; no later
// reply of the connection can be assigned to a command then.

// nextExpected removes the next expected reply. It reports false if the reply cannot be that one.
func (cn *conn) nextExpected(reply currantloom.Reply) (expectedReply, bool) {
	if len(cn.expectedReplies) == 0 {
		return 0, false
	}
	expected := cn.expectedReplies[0]
	if !cn.fits(expected, reply) {
		return 0, false
	}
	cn.expectedReplies = cn.expectedReplies[1:]
	return expected, true
}

// fits reports whether the reply can be the expected one. Upstreams sign the successes of clients' statements, and no
// others. The transaction of a read at the primary is ended only by the command behind the read, so the reply to the
// read shows it open or failed. This also tells an error of that command from an error of the read.
func (cn *conn) fits(expected expectedReply, reply currantloom.Reply) bool {
	isStatement := expected == expectCommand && cn.job.call.Command.Kind.IsStatement()
	switch {
	case isStatement && cn.job.call.Mode == currantloom.CallPrimaryRead &&
		reply.TransactionStatus == currantloom.TransactionIdle:
		return false
	case reply.Code != currantloom.ReplyOK:
		return true
	default:
		return isStatement == (reply.Signature != "")
	}
}

// closeOutOfStep closes a connection whose next reply is not the expected one. Its job has no reply.
func (s *State) closeOutOfStep(cn *conn, reply currantloom.Reply) {
	d := Decision{
		Event: "reply", Service: cn.pool.upstream.Service, Upstream: cn.pool.upstream.Name, Reason: reply.Code.String(),
		Outcome: "out_of_step", Routine: true,
	}
	if cn.job != nil {
		d.Request = cn.job.call.Command.ID
	}
	s.log(d)
	s.closeConn(cn, currantloom.ReasonConnectionLost)
}
