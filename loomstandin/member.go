package loomstandin

import (
	"context"
	"sync"
	"time"
)

// confirmLimit is how long a commit or group_confirm waits for a majority (assumptions D5 and D6).
const confirmLimit = time.Second

// member is a server's part in its group: its term and role, its log and the tables that the log yields.
type member struct {
	name     string
	size     int
	journal  *journal
	mu       sync.Mutex
	changed  chan struct{}
	term     uint64
	granted  uint64
	proposer string
	leading  bool
	primary  string
	// refilling says that the server lost its log and has not caught up.
	refilling bool
	log       []entry
	// due holds the times at which the entries after the applied ones may be applied.
	due     []time.Time
	lag     time.Duration
	applied int
	tables  tables
	heard   time.Time
	// epoch changes when the role changes or applied entries are dropped; open transactions end with it.
	epoch     int
	locks     map[rowKey]*transaction
	followers map[string]*follower
	sequence  uint64
}

// follower is what a primary knows of a replica: the position it holds and the last message it answered.
type follower struct {
	position  int
	sequence  uint64
	refilling bool
}

// notify wakes everything that waits for a change of the member; the lock is held.
func (m *member) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// await waits with the lock held until the condition holds, the context ends, or the limit has passed.
func (m *member) await(ctx context.Context, limit time.Duration, condition func() bool) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for !condition() {
		changed := m.changed
		m.mu.Unlock()
		stop := false
		select {
		case <-changed:
		case <-ctx.Done():
			stop = true
		case <-timer.C:
			stop = true
		}
		m.mu.Lock()
		if stop {
			return
		}
	}
}

func (m *member) majority() int { return m.size/2 + 1 }

// fenced reports whether a newer term was granted than the one the server has a role in.
func (m *member) fenced() bool { return m.granted > m.term }

// writable reports whether the server may commit.
func (m *member) writable() bool { return m.leading && !m.fenced() }

func (m *member) termAt(position int) uint64 {
	if position == 0 {
		return 0
	}
	return m.log[position-1].Term
}

// status is the answer to group_status.
type status struct {
	role                   string
	term, granted, logTerm uint64
	position               int
	silence                time.Duration
}

func (m *member) status() status {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := status{
		role: "replica", term: m.term, granted: m.granted, logTerm: m.termAt(m.applied), position: m.applied,
		silence: time.Since(m.heard),
	}
	switch {
	case m.fenced():
		s.role = "fenced"
	case m.leading:
		s.role, s.silence = "primary", 0
	}
	return s
}

// grant is the answer to group_raise_term.
type grant struct {
	granted          bool
	highest, logTerm uint64
	position         int
}

// raiseTerm grants a term that is above every granted one, or repeats a grant to the same proposer.
func (m *member) raiseTerm(term uint64, proposer string) grant {
	m.mu.Lock()
	defer m.mu.Unlock()
	granted := false
	switch {
	case m.refilling:
	case term > m.granted && term > m.term:
		m.granted, m.proposer = term, proposer
		m.journal.write(record{Granted: term, Proposer: proposer})
		m.applyThrough(len(m.log))
		m.epoch++
		granted = true
	case term == m.granted && proposer == m.proposer:
		granted = true
	}
	m.notify()
	return grant{granted: granted, highest: m.granted, logTerm: m.termAt(len(m.log)), position: len(m.log)}
}

// lead makes the server the primary of a term that it granted.
func (m *member) lead(term uint64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leading && m.term == term && m.granted == term {
		return nil
	}
	if term != m.granted || term <= m.term || m.proposer == "" {
		return newError("55000", "term %d was not granted for leading, highest is %d in role of term %d",
			term, m.granted, m.term)
	}
	m.startTerm(term, m.name)
	m.append(entry{Term: term})
	return nil
}

// follow makes the server a replica of the primary of a term.
func (m *member) follow(term uint64, primary string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if term < m.granted || term < m.term || m.leading && term == m.term {
		return newError("55000", "cannot follow in term %d, highest granted term is %d", term, m.granted)
	}
	if term == m.term && primary == m.primary && !m.fenced() {
		return nil
	}
	if term > m.granted {
		m.granted, m.proposer = term, ""
		m.journal.write(record{Granted: term})
	}
	m.startTerm(term, primary)
	m.notify()
	return nil
}

// startTerm gives the server its role in a term.
func (m *member) startTerm(term uint64, primary string) {
	m.term, m.primary, m.leading = term, primary, primary == m.name
	m.heard = time.Now()
	m.epoch++
	m.followers = make(map[string]*follower)
	m.applyThrough(len(m.log))
	m.journal.write(record{Term: term, Primary: primary})
}

// append adds an entry of the primary to the log and applies it.
func (m *member) append(e entry) {
	m.log = append(m.log, e)
	m.journal.write(record{Entry: &e})
	m.applyThrough(len(m.log))
	m.notify()
}

// receive adds entries of the primary to the log of a replica; they are applied after the lag.
func (m *member) receive(entries []entry) {
	due := time.Now().Add(m.lag)
	for _, e := range entries {
		m.log = append(m.log, e)
		m.due = append(m.due, due)
		m.journal.write(record{Entry: &e})
	}
	m.applyDue()
	m.notify()
}

func (m *member) applyThrough(position int) {
	for m.applied < position {
		m.tables.apply(m.applied+1, m.log[m.applied])
		m.applied++
		if len(m.due) > 0 {
			m.due = m.due[1:]
		}
	}
}

// applyDue applies the entries whose lag has passed and returns the time until the next one, at most a second.
func (m *member) applyDue() time.Duration {
	now := time.Now()
	for len(m.due) > 0 && !m.due[0].After(now) {
		m.applyThrough(m.applied + 1)
	}
	if len(m.due) > 0 {
		return min(time.Second, m.due[0].Sub(now))
	}
	return time.Second
}

// truncate drops the entries after the position.
func (m *member) truncate(position int) {
	if position >= len(m.log) {
		return
	}
	m.log = m.log[:position:position]
	m.journal.write(record{Truncate: &position})
	if m.applied > position {
		m.tables, m.applied, m.due = newTables(), 0, nil
		m.applyThrough(position)
		m.epoch++
	} else {
		m.due = m.due[:position-m.applied]
	}
	m.notify()
}

// applyLoop applies entries as their lag passes.
func (m *member) applyLoop(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for ctx.Err() == nil {
		next := m.applyDue()
		pending := len(m.due)
		m.await(ctx, next, func() bool { return len(m.due) > pending })
	}
}

// holders returns how many servers hold the position and answered the sequence. Servers that lost their log do not
// count, because they may lose it again before they can vote with it.
func (m *member) holders(position int, sequence uint64) int {
	n := 1
	for _, f := range m.followers {
		if !f.refilling && f.position >= position && f.sequence >= sequence {
			n++
		}
	}
	return n
}

// report is the value of group_position.
type report struct {
	term, logTerm uint64
	position      int
	confirmed     int
}

// reportAt returns the report for a position without waiting; the lock is held.
func (m *member) reportAt(position int) report {
	r := report{term: m.term, logTerm: m.termAt(position), position: position, confirmed: 1}
	if m.leading {
		r.confirmed = m.holders(position, 0)
	}
	return r
}

func (m *member) readReport() report {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reportAt(m.applied)
}

// confirm waits until a majority holds the position. With fresh it also waits until a majority has answered a message
// that was sent after the call, which proves that no newer term had a majority at that time.
func (m *member) confirm(ctx context.Context, position, epoch int, fresh bool) (report, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if fresh {
		position, epoch = len(m.log), m.epoch
		if !m.writable() {
			return report{}, newError("25006", "group_confirm runs on the primary only")
		}
		m.sequence++
		m.notify()
	}
	var sequence uint64
	if fresh {
		sequence = m.sequence
	}
	r := report{term: m.term, logTerm: m.termAt(min(position, len(m.log))), position: position, confirmed: 1}
	m.await(ctx, confirmLimit, func() bool {
		return m.epoch != epoch || m.holders(position, sequence) >= m.majority()
	})
	if m.epoch == epoch {
		r.confirmed = m.holders(position, sequence)
	}
	return r, nil
}
