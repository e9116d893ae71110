package loomstandin

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

const (
	// heartbeat is the longest time between two messages of a primary to a replica. Suspicion starts at 700 ms of
	// silence, so several heartbeats may be lost.
	heartbeat = 100 * time.Millisecond
	// batchSize bounds the entries of one message.
	batchSize = 512
	// redialInterval is the time between two attempts of a replica to reach its primary.
	redialInterval = 50 * time.Millisecond
	// replicationParameter marks the startup message of a replication stream.
	replicationParameter = "standin_replication"
)

// stretch is a part of a log with entries of one term, up to and including position last.
type stretch struct {
	Term uint64 `json:"term"`
	Last int    `json:"last"`
}

// hello is the first message of a replica.
type hello struct {
	Name      string    `json:"name"`
	Term      uint64    `json:"term"`
	Log       []stretch `json:"log"`
	Refilling bool      `json:"refilling"`
}

// batch is a message of a primary: the entries after From, or none as a heartbeat.
type batch struct {
	Term     uint64  `json:"term"`
	Sequence uint64  `json:"sequence"`
	From     int     `json:"from"`
	Entries  []entry `json:"entries,omitempty"`
	// CaughtUp tells a server that lost its log that it holds everything a majority confirmed since its hello.
	CaughtUp bool `json:"caught_up,omitempty"`
}

// ack is a replica's answer to a batch.
type ack struct {
	Sequence  uint64 `json:"sequence"`
	Position  int    `json:"position"`
	Refilling bool   `json:"refilling"`
}

func (m *member) stretches() []stretch {
	var log []stretch
	for i, e := range m.log {
		if len(log) == 0 || log[len(log)-1].Term != e.Term {
			log = append(log, stretch{Term: e.Term})
		}
		log[len(log)-1].Last = i + 1
	}
	return log
}

// common returns the position up to which a log with the given stretches agrees with the member's. Terms increase
// along a log and entries of one term come from one primary, so equal terms at a position mean equal entries.
func (m *member) common(log []stretch) int {
	position := 0
	for _, s := range log {
		for position < s.Last && position < len(m.log) && m.log[position].Term == s.Term {
			position++
		}
		if position < s.Last {
			break
		}
	}
	return position
}

// serveStream is the primary's side of a replication stream.
func (s *Server) serveStream(ctx context.Context, b *pgproto3.Backend) {
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
	term, sent := m.term, m.common(h.Log)
	f := &follower{refilling: h.Refilling}
	m.followers[h.Name] = f
	m.sequence++
	base, target := m.sequence, len(m.log)
	ctx, cancel := context.WithCancel(ctx)
	s.goroutines.Go(func() {
		defer cancel()
		s.receiveAcks(b, f)
	})
	var sequence uint64
	for ctx.Err() == nil && m.writable() && m.term == term && m.followers[h.Name] == f {
		entries := m.log[sent:min(len(m.log), sent+batchSize)]
		sequence = m.sequence
		message := batch{Term: term, Sequence: sequence, From: sent, Entries: entries}
		message.CaughtUp = f.position >= target && m.holders(target, base) >= m.majority()
		sent += len(entries)
		m.mu.Unlock()
		err := s.gate(ctx)
		if err == nil {
			err = sendJSON(b, message)
		}
		m.mu.Lock()
		if err != nil {
			break
		}
		m.await(ctx, heartbeat, func() bool {
			return len(m.log) > sent || m.sequence > sequence || !m.writable() || m.term != term
		})
	}
	cancel()
	if m.followers[h.Name] == f {
		delete(m.followers, h.Name)
	}
}

func (s *Server) receiveAcks(b *pgproto3.Backend, f *follower) {
	for {
		var a ack
		if receiveJSON(b, &a) != nil {
			return
		}
		s.member.mu.Lock()
		f.position, f.sequence, f.refilling = a.Position, a.Sequence, a.Refilling
		s.member.notify()
		s.member.mu.Unlock()
	}
}

// followLoop keeps a stream to the primary while the server is a replica.
func (s *Server) followLoop(ctx context.Context) {
	m := s.member
	m.mu.Lock()
	defer m.mu.Unlock()
	for ctx.Err() == nil {
		m.await(ctx, time.Hour, func() bool { return m.primary != "" && !m.leading && !m.fenced() })
		if ctx.Err() != nil {
			return
		}
		primary, term := m.primary, m.term
		m.mu.Unlock()
		streamCtx, cancel := context.WithCancel(ctx)
		s.goroutines.Go(func() {
			defer cancel()
			m.awaitNewRole(streamCtx, term)
		})
		s.followStream(streamCtx, primary, term)
		cancel()
		select {
		case <-ctx.Done():
		case <-time.After(redialInterval):
		}
		m.mu.Lock()
	}
}

// awaitNewRole returns when the server no longer follows in the term, so that a stream with a slow or silent primary
// does not delay the next one.
func (m *member) awaitNewRole(ctx context.Context, term uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for ctx.Err() == nil && m.term == term && !m.leading && !m.fenced() {
		m.await(ctx, time.Hour, func() bool { return m.term != term || m.leading || m.fenced() })
	}
}

// followStream is the replica's side of a replication stream; it returns when the stream fails or is refused.
func (s *Server) followStream(ctx context.Context, primary string, term uint64) {
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
	h := hello{Name: m.name, Term: term, Log: m.stretches(), Refilling: m.refilling}
	m.mu.Unlock()
	if sendJSON(f, h) != nil {
		return
	}
	delayed := make(chan arrival, 1024)
	s.goroutines.Go(func() {
		defer close(delayed)
		readBatches(ctx, conn, f, delayed)
	})
	for a := range delayed {
		if !s.pause(ctx, time.Until(a.at.Add(s.delay()))) || s.gate(ctx) != nil {
			break
		}
		answer, ok := m.take(a.batch, term)
		if !ok || sendJSON(f, answer) != nil {
			break
		}
	}
	_ = conn.Close()
	for range delayed {
		// The reader ends once the connection is closed; what it still read is dropped.
	}
}

// arrival is a batch with the time it was received, so that a delay of the network does not limit its throughput.
type arrival struct {
	batch batch
	at    time.Time
}

func readBatches(ctx context.Context, conn net.Conn, f *pgproto3.Frontend, out chan<- arrival) {
	for {
		// A primary that is gone without closing the connection must not hold the stream.
		_ = conn.SetReadDeadline(time.Now().Add(20 * heartbeat))
		var a arrival
		if receiveJSON(f, &a.batch) != nil {
			return
		}
		a.at = time.Now()
		select {
		case out <- a:
		case <-ctx.Done():
			return
		}
	}
}

// take applies a batch; it refuses one of a term that is not the current one.
func (m *member) take(b batch, term uint64) (ack, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.term != term || b.Term != term || m.leading || m.fenced() || b.From > len(m.log) {
		return ack{}, false
	}
	m.heard = time.Now()
	m.truncate(b.From)
	m.receive(b.Entries)
	if b.CaughtUp && m.refilling {
		m.refilling = false
		m.journal.write(record{Filled: true})
	}
	return ack{Sequence: b.Sequence, Position: len(m.log), Refilling: m.refilling}, true
}

// copySender is a pgproto3 Frontend or Backend.
type copySender interface{ Flush() error }

// sendJSON sends a value in a CopyData message.
func sendJSON(to copySender, value any) error {
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
func receiveJSON(from copySender, value any) error {
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
		return newError("08P01", "unexpected message %T in a replication stream", message)
	}
	return json.Unmarshal(m.Data, value)
}
