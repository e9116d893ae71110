package loomhost

import (
	"sync"
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomfleet"
)

const (
	// startupTimeout bounds the time until a new client has named its database.
	startupTimeout = 5 * time.Second
	// replyWriteTimeout bounds the write of a reply to a client that does not read.
	replyWriteTimeout = 10 * time.Second
	// finalReplyTimeout bounds the wait for outstanding replies at shutdown, drainPollInterval is the time between two
	// checks.
	finalReplyTimeout = 300 * time.Millisecond
	// sessionEndTimeout is how long a client may take to close a session that the node ends; some round trips.
	sessionEndTimeout = 200 * time.Millisecond
	drainPollInterval = 5 * time.Millisecond
)

// session is a client's session. Its goroutine reads a statement, waits for the reply, and writes it.
type session struct {
	client  currantloom.Session
	replies chan currantloom.Reply

	mu sync.Mutex
	// closing says that no further statement is read. notice tells the client why; there is none if its code is ReplyOK.
	closing bool
	notice  currantloom.Reply
}

// serveSession starts the goroutine of a session.
func (n *Node) serveSession(client currantloom.Session) {
	n.mu.Lock()
	n.lastSessionID++
	id := loomfleet.SessionID(n.lastSessionID)
	s := &session{client: client, replies: make(chan currantloom.Reply, 1)}
	n.sessions[id] = s
	n.mu.Unlock()
	n.tasks.Go(func() {
		defer n.removeSession(id, s)
		n.runSession(id, s)
	})
}

func (n *Node) removeSession(id loomfleet.SessionID, s *session) {
	n.mu.Lock()
	delete(n.sessions, id)
	n.mu.Unlock()
	s.close()
	n.submit(loomfleet.SessionClosed{Stamp: n.stamp(), Session: id})
}

func (n *Node) runSession(id loomfleet.SessionID, s *session) {
	_ = s.client.SetReadDeadline(time.Now().Add(startupTimeout))
	startup, err := s.client.Startup()
	if err != nil {
		return
	}
	n.submit(loomfleet.SessionOpened{Stamp: n.stamp(), Session: id, Startup: startup})
	for s.writeNextReply(n) {
		if !s.prepareNextRead() {
			s.end()
			return
		}
		st, err := s.client.Next()
		if err != nil {
			s.end()
			return
		}
		n.submit(loomfleet.StatementReceived{Stamp: n.stamp(), Session: id, Statement: st})
	}
}

// writeNextReply waits for the next reply and writes it. It returns false if the session has to end.
func (s *session) writeNextReply(n *Node) bool {
	select {
	case reply := <-s.replies:
		_ = s.client.SetWriteDeadline(time.Now().Add(replyWriteTimeout))
		return s.client.WriteReply(reply) == nil
	case <-n.runCtx.Done():
		return false
	}
}

// prepareNextRead removes the read deadline, because a client may be idle for any time. It returns false if the session
// is closing.
func (s *session) prepareNextRead() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return false
	}
	_ = s.client.SetReadDeadline(time.Time{})
	return true
}

// end tells the client why the session ends, if the session is closing. A client that does not close its connection, or
// cannot be written to, is not waited for any longer.
func (s *session) end() {
	s.mu.Lock()
	closing, notice := s.closing, s.notice
	s.mu.Unlock()
	if closing && notice.Code != currantloom.ReplyOK {
		_ = s.client.SetWriteDeadline(time.Now().Add(sessionEndTimeout))
		_ = s.client.End(notice, sessionEndTimeout)
	}
}

// deliverReply passes a reply to the goroutine of the session, which expects one reply per statement. It never blocks.
func (s *session) deliverReply(r currantloom.Reply) {
	select {
	case s.replies <- r:
	default:
	}
}

// closeAfterReply ends the session after the outstanding reply, or at once if there is none. A statement that was
// already read still gets its reply.
func (s *session) closeAfterReply(notice currantloom.Reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return
	}
	s.closing, s.notice = true, notice
	_ = s.client.SetReadDeadline(time.Now())
}

// drainSessions ends all sessions and waits until their outstanding replies are written.
func (n *Node) drainSessions() {
	n.mu.Lock()
	for _, s := range n.sessions {
		s.closeAfterReply(currantloom.Reply{})
	}
	n.mu.Unlock()
	for limit := time.Now().Add(finalReplyTimeout); time.Now().Before(limit); time.Sleep(drainPollInterval) {
		n.mu.Lock()
		left := len(n.sessions)
		n.mu.Unlock()
		if left == 0 {
			return
		}
	}
}

func (s *session) close() { _ = s.client.Close() }
