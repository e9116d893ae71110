package loomstandin

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

const (
	// heartbeatInterval is the longest time between two batches from a primary to a replica. A primary is suspected after
	// 700 ms of silence, so several heartbeats may be lost.
	heartbeatInterval = 100 * time.Millisecond
	// maxBatchEntries is the maximum number of entries of a batch.
	maxBatchEntries = 512
	// redialInterval is the time between two attempts of a replica to connect to its primary.
	redialInterval = 50 * time.Millisecond
	// replicationParameter is the parameter of the startup message that requests a replication stream.
	replicationParameter = "standin_replication"
)

// termRange is a part of a log whose entries have the same term. Last is the index of its last entry.
type termRange struct {
	Term uint64 `json:"term"`
	Last int    `json:"last"`
}

// hello is the first message of a replica. It describes the replica's log.
type hello struct {
	Name    string      `json:"name"`
	Term    uint64      `json:"term"`
	Log     []termRange `json:"log"`
	LogLost bool        `json:"refilling"`
}

// batch is a message of a primary with the entries after index From. A batch without entries is a heartbeat.
type batch struct {
	Term     uint64  `json:"term"`
	Sequence uint64  `json:"sequence"`
	From     int     `json:"from"`
	Entries  []entry `json:"entries,omitempty"`
	// CaughtUp tells a server that lost its log that it holds the primary's log as of the hello, and that a majority has
	// confirmed that log and the primary's role since then. It therefore holds every entry that was confirmed before.
	CaughtUp bool `json:"caught_up,omitempty"`
}

// ack is a replica's acknowledgement of a batch. Index is the end of its log.
type ack struct {
	Sequence uint64 `json:"sequence"`
	Index    int    `json:"position"`
	LogLost  bool   `json:"refilling"`
}

// termRanges returns the log as ranges of equal terms.
func (m *member) termRanges() []termRange {
	var log []termRange
	for i, e := range m.log {
		if len(log) == 0 || log[len(log)-1].Term != e.Term {
			log = append(log, termRange{Term: e.Term})
		}
		log[len(log)-1].Last = i + 1
	}
	return log
}

// commonPrefix returns the index up to which a log with the given ranges agrees with the member's log. Terms increase
// along a log and all entries of a term come from one primary, so equal terms at an index mean equal entries.
func (m *member) commonPrefix(log []termRange) int {
	index := 0
	for _, r := range log {
		for index < r.Last && index < len(m.log) && m.log[index].Term == r.Term {
			index++
		}
		if index < r.Last {
			break
		}
	}
	return index
}

// serveReplication runs the primary's side of a replication stream.
func (s *Server) serveReplication(ctx context.Context, b *pgproto3.Backend) {
	m := s.member
	var h hello
	if receiveJSON(b, &h) != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.writable() || h.Term != m.term {
		return
	}
	term, sent := m.term, m.commonPrefix(h.Log)
	f := &follower{logLost: h.LogLost}
	m.followers[h.Name] = f
	m.sequence++
	helloSequence, targetIndex := m.sequence, len(m.log)
	ctx, cancel := context.WithCancel(ctx)
	s.goroutines.Go(func() {
		defer cancel()
		s.receiveAcks(b, f)
	})
	var sequence uint64
	for ctx.Err() == nil && m.writable() && m.term == term && m.followers[h.Name] == f {
		entries := m.log[sent:min(len(m.log), sent+maxBatchEntries)]
		sequence = m.sequence
		message := batch{Term: term, Sequence: sequence, From: sent, Entries: entries}
		message.CaughtUp = f.index >= targetIndex && m.countConfirmed(targetIndex, helloSequence) >= m.majority()
		sent += len(entries)
		m.mu.Unlock()
		err := s.awaitResumed(ctx)
		if err == nil {
			err = sendJSON(b, message)
		}
		m.mu.Lock()
		if err != nil {
			break
		}
		m.await(ctx, heartbeatInterval, func() bool {
			return len(m.log) > sent || m.sequence > sequence || !m.writable() || m.term != term
		})
	}
	cancel()
	if m.followers[h.Name] == f {
		delete(m.followers, h.Name)
	}
}

// receiveAcks records the acknowledgements of a replica until the stream ends.
func (s *Server) receiveAcks(b *pgproto3.Backend, f *follower) {
	for {
		var a ack
		if receiveJSON(b, &a) != nil {
			return
		}
		s.member.mu.Lock()
		f.index, f.sequence, f.logLost = a.Index, a.Sequence, a.LogLost
		s.member.notify()
		s.member.mu.Unlock()
	}
}

// replicationLoop keeps a replication stream to the primary open while the server is a replica.
func (s *Server) replicationLoop(ctx context.Context) {
	m := s.member
	m.mu.Lock()
	defer m.mu.Unlock()
	for ctx.Err() == nil {
		m.await(ctx, time.Hour, func() bool { return m.primary != "" && !m.isPrimary && !m.fenced() })
		if ctx.Err() != nil {
			return
		}
		primary, term := m.primary, m.term
		m.mu.Unlock()
		streamCtx, cancel := context.WithCancel(ctx)
		s.goroutines.Go(func() {
			defer cancel()
			m.awaitRoleChange(streamCtx, term)
		})
		s.streamFromPrimary(streamCtx, primary, term)
		cancel()
		select {
		case <-ctx.Done():
		case <-time.After(redialInterval):
		}
		m.mu.Lock()
	}
}

// awaitRoleChange returns when the server is no longer a replica in the term. Its stream is then canceled, so that a
// slow or unresponsive primary does not delay the next stream.
func (m *member) awaitRoleChange(ctx context.Context, term uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for ctx.Err() == nil && m.term == term && !m.isPrimary && !m.fenced() {
		m.await(ctx, time.Hour, func() bool { return m.term != term || m.isPrimary || m.fenced() })
	}
}

// streamFromPrimary runs the replica's side of a replication stream. It returns when the stream fails or is refused.
func (s *Server) streamFromPrimary(ctx context.Context, primary string, term uint64) {
	m := s.member
	dialer := net.Dialer{Timeout: time.Second}
	conn, err := dialer.DialContext(ctx, "tcp", primary)
	if err != nil {
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	f := pgproto3.NewFrontend(conn, conn)
	f.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{replicationParameter: "on"},
	})
	m.mu.Lock()
	h := hello{Name: m.name, Term: term, Log: m.termRanges(), LogLost: m.logLost}
	m.mu.Unlock()
	if sendJSON(f, h) != nil {
		return
	}
	delayed := make(chan receivedBatch, 1024)
	s.goroutines.Go(func() {
		defer close(delayed)
		readBatches(ctx, conn, f, delayed)
	})
	for received := range delayed {
		if !s.sleep(ctx, time.Until(received.receivedAt.Add(s.messageDelay()))) || s.awaitResumed(ctx) != nil {
			break
		}
		reply, ok := m.acceptBatch(received.batch, term)
		if !ok || sendJSON(f, reply) != nil {
			break
		}
	}
	_ = conn.Close()
	for range delayed {
		// Drain the channel: readBatches ends because the connection is closed, and its last batches are dropped.
	}
}

// receivedBatch is a batch with the time of its receipt. The network delay counts from that time, so it does not limit
// the throughput.
type receivedBatch struct {
	batch      batch
	receivedAt time.Time
}

// readBatches reads batches from the primary until the connection fails or the context ends.
func readBatches(ctx context.Context, conn net.Conn, f *pgproto3.Frontend, out chan<- receivedBatch) {
	for {
		// The deadline ends the stream if the primary is gone without having closed the connection.
		_ = conn.SetReadDeadline(time.Now().Add(20 * heartbeatInterval))
		var received receivedBatch
		if receiveJSON(f, &received.batch) != nil {
			return
		}
		received.receivedAt = time.Now()
		select {
		case out <- received:
		case <-ctx.Done():
			return
		}
	}
}

// acceptBatch adds a batch to the log. It refuses a batch of a term other than the current one.
func (m *member) acceptBatch(b batch, term uint64) (ack, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.term != term || b.Term != term || m.isPrimary || m.fenced() || b.From > len(m.log) {
		return ack{}, false
	}
	m.lastContact = time.Now()
	m.truncate(b.From)
	m.receive(b.Entries)
	if b.CaughtUp && m.logLost {
		m.logLost = false
		m.journal.write(record{CaughtUp: true})
	}
	return ack{Sequence: b.Sequence, Index: len(m.log), LogLost: m.logLost}, true
}

// flusher is a pgproto3 Frontend or Backend.
type flusher interface{ Flush() error }

// sendJSON sends a value in a CopyData message.
func sendJSON(to flusher, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	m := &pgproto3.CopyData{Data: data}
	switch to := to.(type) {
	case *pgproto3.Frontend:
		to.Send(m)
	case *pgproto3.Backend:
		to.Send(m)
	}
	return to.Flush()
}

// receiveJSON reads a value from a CopyData message.
func receiveJSON(from flusher, value any) error {
	var message any
	var err error
	switch from := from.(type) {
	case *pgproto3.Frontend:
		message, err = from.Receive()
	case *pgproto3.Backend:
		message, err = from.Receive()
	}
	if err != nil {
		return err
	}
	m, ok := message.(*pgproto3.CopyData)
	if !ok {
		return newSQLError("08P01", "unexpected message %T in a replication stream", message)
	}
	return json.Unmarshal(m.Data, value)
}
