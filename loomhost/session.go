package loomhost

import (
	"sync"
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomfleet"
)

const (
	// startupTimeout is how long a client may take to ask for a database.
	startupTimeout = 5 * time.Second
	// answerTimeout bounds the write of an answer to a client that takes no bytes.
	answerTimeout = 10 * time.Second
	// lastAnswers bounds the wait for answers at the end of the process, drainPoll is the time between two looks.
	lastAnswers = 300 * time.Millisecond
	drainPoll   = 5 * time.Millisecond
)

// session is the runtime side of a client's session. Its goroutine reads a statement, waits for the answer, and writes
// it.
type session struct {
	client  currantloom.Session
	answers chan currantloom.Reply

	mu sync.Mutex
	// closing says that the session ends before the next statement.
	closing bool
}

// serveSession starts the goroutine of a session.
func (n *Node) serveSession(client currantloom.Session) {
	n.mu.Lock()
	n.number++
	id := loomfleet.SessionID(n.number)
	sn := &session{client: client, answers: make(chan currantloom.Reply, 1)}
	n.sessions[id] = sn
	n.mu.Unlock()
	n.tasks.Go(func() {
		defer n.endSession(id, sn)
		n.runSession(id, sn)
	})
}

func (n *Node) endSession(id loomfleet.SessionID, sn *session) {
	n.mu.Lock()
	delete(n.sessions, id)
	n.mu.Unlock()
	sn.close()
	n.post(loomfleet.SessionClosed{Stamp: n.stamp(), Session: id})
}

func (n *Node) runSession(id loomfleet.SessionID, sn *session) {
	_ = sn.client.SetReadDeadline(time.Now().Add(startupTimeout))
	database, err := sn.client.Startup()
	if err != nil {
		return
	}
	n.post(loomfleet.SessionOpened{Stamp: n.stamp(), Session: id, Database: database})
	for sn.writeAnswer(n) && sn.awaitStatement() {
		st, err := sn.client.Next()
		if err != nil {
			return
		}
		n.post(loomfleet.StatementReceived{Stamp: n.stamp(), Session: id, Statement: st})
	}
}

// writeAnswer waits for the next answer and writes it.
func (sn *session) writeAnswer(n *Node) bool {
	select {
	case reply := <-sn.answers:
		_ = sn.client.SetWriteDeadline(time.Now().Add(answerTimeout))
		return sn.client.WriteReply(reply) == nil
	case <-n.background.Done():
		return false
	}
}

// awaitStatement lets the client take its time, unless the session ends.
func (sn *session) awaitStatement() bool {
	sn.mu.Lock()
	defer sn.mu.Unlock()
	if sn.closing {
		return false
	}
	_ = sn.client.SetReadDeadline(time.Time{})
	return true
}

// answer hands the reply to the goroutine of the session, which waits for exactly one.
func (sn *session) answer(r currantloom.Reply) {
	select {
	case sn.answers <- r:
	default:
	}
}

// finish ends the session after the answer that is due, or at once if the client has sent nothing. A statement that
// was read is still answered.
func (sn *session) finish() {
	sn.mu.Lock()
	defer sn.mu.Unlock()
	sn.closing = true
	_ = sn.client.SetReadDeadline(time.Now())
}

// drainSessions ends all sessions and waits until the answers that are due are written.
func (n *Node) drainSessions() {
	n.mu.Lock()
	for _, sn := range n.sessions {
		sn.finish()
	}
	n.mu.Unlock()
	for limit := time.Now().Add(lastAnswers); time.Now().Before(limit); time.Sleep(drainPoll) {
		n.mu.Lock()
		left := len(n.sessions)
		n.mu.Unlock()
		if left == 0 {
			return
		}
	}
}

func (sn *session) close() { _ = sn.client.Close() }
