package loomstandin

import (
	"context"
	"sync"
	"time"
)

// confirmTimeout is how long a commit or group_confirm waits for a majority (docs/design.md, section 3, D5 and D6).
const confirmTimeout = time.Second

// member is the replication state of a server: its term and role in its group, its log, and the tables computed from
// the log.
type member struct {
	name    string
	size    int
	journal *journal
	mu      sync.Mutex
	// changed is closed and replaced at every change.
	changed chan struct{}
	term    uint64
	// grantedTerm is the highest granted term, proposer the proposer it was granted to. proposer is empty if the server
	// learned the term from its role.
	grantedTerm uint64
	proposer    string
	isPrimary   bool
	// primary is the address of the primary of the term.
	primary string
	// logLost says that the server lost its log and has not caught up.
	logLost bool
	log     []entry
	// applyTimes holds the times at which the entries that are not yet applied become due.
	applyTimes []time.Time
	applyDelay time.Duration
	// applied is the index of the last applied entry.
	applied int
	tables  tables
	// lastContact is the time of the last batch from the primary, or of the last role change.
	lastContact time.Time
	// roleEpoch changes when the role changes or applied entries are dropped. Transactions of an earlier epoch fail.
	roleEpoch int
	keyLocks  map[rowKey]*transaction
	followers map[string]*follower
	// sequence is the sequence number of the batches that are sent now. Every verification of the primary role and every
	// new stream increments it.
	sequence uint64
}

// follower is what a primary knows of a replica: the log index it holds and the sequence of the last batch it
// acknowledged.
type follower struct {
	index    int
	sequence uint64
	logLost  bool
}

// notify wakes all goroutines that wait for a change of the member; the lock is held.
func (m *member) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// await waits until the condition holds, the context ends, or the timeout has passed. The lock is held at the call, at
// the return and while the condition is evaluated.
func (m *member) await(ctx context.Context, timeout time.Duration, condition func() bool) {
	timer := time.NewTimer(timeout)
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

// fenced reports whether the server granted a newer term than the one it has a role in.
func (m *member) fenced() bool { return m.grantedTerm > m.term }

// writable reports whether the server may commit.
func (m *member) writable() bool { return m.isPrimary && !m.fenced() }

// termAt returns the term of the entry at an index, zero for index zero.
func (m *member) termAt(index int) uint64 {
	if index == 0 {
		return 0
	}
	return m.log[index-1].Term
}

// status is the result of group_status.
type status struct {
	role                       string
	term, grantedTerm, logTerm uint64
	index                      int
	silence                    time.Duration
}

func (m *member) status() status {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := status{
		role: "replica", term: m.term, grantedTerm: m.grantedTerm, logTerm: m.termAt(m.applied), index: m.applied,
		silence: time.Since(m.lastContact),
	}
	switch {
	case m.fenced():
		s.role = "fenced"
	case m.isPrimary:
		s.role, s.silence = "primary", 0
	}
	return s
}

// grant is the result of group_raise_term.
type grant struct {
	granted              bool
	highestTerm, logTerm uint64
	index                int
}

// raiseTerm grants a term that is higher than all granted ones, or repeats a grant to the same proposer. A server that
// lost its log grants no term.
func (m *member) raiseTerm(term uint64, proposer string) grant {
	m.mu.Lock()
	defer m.mu.Unlock()
	granted := false
	switch {
	case m.logLost:
	case term > m.grantedTerm && term > m.term:
		m.grantedTerm, m.proposer = term, proposer
		m.journal.write(record{GrantedTerm: term, Proposer: proposer})
		m.applyThrough(len(m.log))
		m.roleEpoch++
		granted = true
	case term == m.grantedTerm && proposer == m.proposer:
		granted = true
	}
	m.notify()
	return grant{granted: granted, highestTerm: m.grantedTerm, logTerm: m.termAt(len(m.log)), index: len(m.log)}
}

// promote makes the server the primary of a term that it granted, and appends the first, empty entry of the term.
func (m *member) promote(term uint64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.isPrimary && m.term == term && m.grantedTerm == term {
		return nil
	}
	if term != m.grantedTerm || term <= m.term || m.proposer == "" {
		return newSQLError("55000", "term %d was not granted for leading, highest is %d in role of term %d",
			term, m.grantedTerm, m.term)
	}
	m.startTerm(term, m.name)
	m.append(entry{Term: term})
	return nil
}

// follow makes the server a replica of the primary of a term.
func (m *member) follow(term uint64, primary string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if term < m.grantedTerm || term < m.term || m.isPrimary && term == m.term {
		return newSQLError("55000", "cannot follow in term %d, highest granted term is %d", term, m.grantedTerm)
	}
	if term == m.term && primary == m.primary && !m.fenced() {
		return nil
	}
	if term > m.grantedTerm {
		m.grantedTerm, m.proposer = term, ""
		m.journal.write(record{GrantedTerm: term})
	}
	m.startTerm(term, primary)
	m.notify()
	return nil
}

// startTerm sets the server's role in a term.
func (m *member) startTerm(term uint64, primary string) {
	m.term, m.primary, m.isPrimary = term, primary, primary == m.name
	m.lastContact = time.Now()
	m.roleEpoch++
	m.followers = make(map[string]*follower)
	m.applyThrough(len(m.log))
	m.journal.write(record{Term: term, Primary: primary})
}

// append appends an entry to the primary's log and applies it.
func (m *member) append(e entry) {
	m.log = append(m.log, e)
	m.journal.write(record{Entry: &e})
	m.applyThrough(len(m.log))
	m.notify()
}

// receive appends entries of the primary to the log of a replica. They are applied after applyDelay.
func (m *member) receive(entries []entry) {
	due := time.Now().Add(m.applyDelay)
	for _, e := range entries {
		m.log = append(m.log, e)
		m.applyTimes = append(m.applyTimes, due)
		m.journal.write(record{Entry: &e})
	}
	m.applyDue()
	m.notify()
}

// applyThrough applies the entries up to and including the index.
func (m *member) applyThrough(index int) {
	for m.applied < index {
		m.tables.apply(m.applied+1, m.log[m.applied])
		m.applied++
		if len(m.applyTimes) > 0 {
			m.applyTimes = m.applyTimes[1:]
		}
	}
}

// applyDue applies the entries that are due and returns the time until the next one is due, at most a second.
func (m *member) applyDue() time.Duration {
	now := time.Now()
	for len(m.applyTimes) > 0 && !m.applyTimes[0].After(now) {
		m.applyThrough(m.applied + 1)
	}
	if len(m.applyTimes) > 0 {
		return min(time.Second, m.applyTimes[0].Sub(now))
	}
	return time.Second
}

// truncate drops the entries after the index.
func (m *member) truncate(index int) {
	if index >= len(m.log) {
		return
	}
	m.log = m.log[:index:index]
	m.journal.write(record{Truncate: &index})
	if m.applied > index {
		m.tables, m.applied, m.applyTimes = newTables(), 0, nil
		m.applyThrough(index)
		m.roleEpoch++
	} else {
		m.applyTimes = m.applyTimes[:index-m.applied]
	}
	m.notify()
}

// applyLoop applies entries when they become due.
func (m *member) applyLoop(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for ctx.Err() == nil {
		next := m.applyDue()
		pending := len(m.applyTimes)
		m.await(ctx, next, func() bool { return len(m.applyTimes) > pending })
	}
}

// countConfirmed returns how many servers hold the log up to the index and have acknowledged the sequence. Servers that
// lost their log and have not caught up do not count, because they may lose it again before they can grant a term.
func (m *member) countConfirmed(index int, sequence uint64) int {
	n := 1
	for _, f := range m.followers {
		if !f.logLost && f.index >= index && f.sequence >= sequence {
			n++
		}
	}
	return n
}

// positionReport is the value of group_position.
type positionReport struct {
	term, logTerm uint64
	index         int
	confirmed     int
}

// positionAt returns the report for an index without waiting for confirmations; the lock is held.
func (m *member) positionAt(index int) positionReport {
	r := positionReport{term: m.term, logTerm: m.termAt(index), index: index, confirmed: 1}
	if m.isPrimary {
		r.confirmed = m.countConfirmed(index, 0)
	}
	return r
}

// currentPosition returns the report for the last applied entry.
func (m *member) currentPosition() positionReport {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.positionAt(m.applied)
}

// confirm waits until a majority holds the log up to the index, the role changes, or confirmTimeout has passed. With
// verifyRole it uses the end of the log, and also waits until a majority has acknowledged a batch that was sent after
// the call, which proves that no newer term had a majority at that time.
func (m *member) confirm(ctx context.Context, index, roleEpoch int, verifyRole bool) (positionReport, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if verifyRole {
		index, roleEpoch = len(m.log), m.roleEpoch
		if !m.writable() {
			return positionReport{}, newSQLError("25006", "group_confirm runs on the primary only")
		}
		m.sequence++
		m.notify()
	}
	var sequence uint64
	if verifyRole {
		sequence = m.sequence
	}
	r := positionReport{term: m.term, logTerm: m.termAt(min(index, len(m.log))), index: index, confirmed: 1}
	m.await(ctx, confirmTimeout, func() bool {
		return m.roleEpoch != roleEpoch || m.countConfirmed(index, sequence) >= m.majority()
	})
	if m.roleEpoch == roleEpoch {
		r.confirmed = m.countConfirmed(index, sequence)
	}
	return r, nil
}
