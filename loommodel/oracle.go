package loommodel

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"currantloom.example/currantloom"
)

// Stats counts what happened in a world.
type Stats struct {
	// Replies counts the answers by code.
	Replies       map[string]int
	StatementsRun int
	Commits       int
	Promotions    int
	Timeouts      int
	// MaxLatency is the longest time to an answer.
	MaxLatency time.Duration
}

// statement is what the oracle knows of a statement that a client sent.
type statement struct {
	currantloom.Statement
	client    *client
	operation *operation
	sentAt    time.Duration
	// since is when the read, or its transaction, was sent.
	since  time.Duration
	acked  []*commit
	values map[string]string
	shape  string
}

// commit is an entry that a client was told of.
type commit struct {
	entry   *entry
	ackedAt time.Duration
	// lost says that a promotion lost it, which was reported.
	lost bool
}

// oracle checks what servers run and what clients are told.
type oracle struct {
	world      *World
	statements map[string]*statement
	// entries holds the entry of each write that is in a log.
	entries  map[string]*entry
	acked    map[currantloom.ServiceName][]*commit
	failures []string
	report   Stats
}

// maxFailures bounds the failures that are kept.
const maxFailures = 20

func newOracle(w *World) *oracle {
	return &oracle{
		world: w, statements: make(map[string]*statement), entries: make(map[string]*entry),
		acked: make(map[currantloom.ServiceName][]*commit), report: Stats{Replies: make(map[string]int)},
	}
}

func (o *oracle) fail(format string, args ...any) {
	if len(o.failures) < maxFailures {
		o.failures = append(o.failures, fmt.Sprintf("%s: ", o.world.now)+fmt.Sprintf(format, args...))
	}
}

// sent notes a statement.
func (o *oracle) sent(c *client, st currantloom.Statement) *statement {
	info := &statement{
		Statement: st, client: c, operation: c.op, sentAt: o.world.now, since: o.world.now,
		acked: slices.Clone(c.acked), values: maps.Clone(c.values), shape: st.Argument,
	}
	if c.op != nil && c.op.transaction {
		info.since = c.op.sentAt
	}
	o.statements[st.ID] = info
	return info
}

// runs checks a statement when a server runs it.
func (o *oracle) runs(s *server, cn *serverConn, c currantloom.Command, info *statement) {
	o.report.StatementsRun++
	if !maps.Equal(cn.values, info.values) {
		o.fail("server %s runs %s with values %v, the session has %v", s.name, c.ID, cn.values, info.values)
	}
	o.checkTransaction(s, cn, c, info)
	if !c.Writes && !c.Commits {
		o.checkAge(s, info)
	}
}

// checkTransaction checks that a statement runs in its own client's transaction, or in none.
func (o *oracle) checkTransaction(s *server, cn *serverConn, c currantloom.Command, info *statement) {
	inTransaction := info.operation != nil && info.operation.transaction
	switch {
	case cn.tx == nil:
		if inTransaction {
			o.fail("server %s runs %s outside its transaction", s.name, c.ID)
		}
	case cn.tx.owner == nil:
		cn.tx.owner = info.client
	case cn.tx.owner != info.client:
		o.fail("server %s runs %s of %s in a transaction of %s", s.name, c.ID, info.client.name, cn.tx.owner.name)
	}
}

// checkAge checks that the log of the server holds what the read has to see.
func (o *oracle) checkAge(s *server, info *statement) {
	before := info.since
	if info.client.policy != currantloom.ReadLatest {
		before -= maxAge
	}
	held := make(map[*entry]bool, s.applied)
	for _, e := range s.log[:s.applied] {
		held[e] = true
	}
	for _, k := range o.acked[s.group.name] {
		if k.ackedAt < before && !k.lost && !held[k.entry] {
			o.fail("read %s (%s) at %s lacks commit %d.%d acknowledged at %s", info.ID, info.client.policy, s.name,
				k.entry.term, k.entry.number, k.ackedAt)
			return
		}
	}
	if info.client.policy == currantloom.ReadBoundedStaleness {
		return
	}
	for _, k := range info.acked {
		if !k.lost && !held[k.entry] {
			o.fail("read %s at %s lacks the session's own commit %d.%d", info.ID, s.name, k.entry.term, k.entry.number)
		}
	}
}

// commits checks a commit when its server carries it out.
func (o *oracle) commits(writes []string, info *statement) {
	if info.operation != nil && info.operation.promise {
		o.fail("commit of %v although the client was told that nothing is kept", writes)
	}
}

// appended notes an entry of a primary's log.
func (o *oracle) appended(s *server, e *entry) {
	o.report.Commits++
	for _, id := range e.writes {
		if other, ok := o.entries[id]; ok && slices.Contains(s.log, other) {
			o.fail("write %s takes effect twice", id)
		}
		o.entries[id] = e
		if st := o.statements[id]; st != nil && st.operation != nil && st.operation.promise {
			o.fail("write %s takes effect although the client was told that nothing is kept", id)
		}
	}
}

// promoted checks that the new primary holds every acknowledged commit.
func (o *oracle) promoted(s *server) {
	o.report.Promotions++
	for _, k := range o.acked[s.group.name] {
		if !k.lost && !slices.Contains(s.log, k.entry) {
			k.lost = true
			o.fail("%s becomes primary of term %d without commit %d.%d", s.name, s.group.term, k.entry.term, k.entry.number)
		}
	}
}

// isPromise reports whether the code says that nothing of the operation is kept.
func isPromise(code currantloom.ReplyCode) bool {
	switch code {
	case currantloom.ReplyBusy, currantloom.ReplyAborted, currantloom.ReplyLagging, currantloom.ReplyNotPrimary,
		currantloom.ReplyMisrouted, currantloom.ReplyNoConnections:
		return true
	default:
		return false
	}
}

// answered checks what a client is told.
func (o *oracle) answered(c *client, st *statement, r currantloom.Reply) {
	o.report.Replies[r.Code.String()]++
	o.report.MaxLatency = max(o.report.MaxLatency, o.world.now-st.sentAt)
	switch {
	case isPromise(r.Code):
		o.promised(st)
	case r.Code == currantloom.ReplyOK:
		o.succeeded(c, st, r)
	}
}

func (o *oracle) promised(st *statement) {
	op := st.operation
	if op == nil {
		return
	}
	op.promise = true
	for _, id := range append(slices.Clone(op.writes), st.ID) {
		if e, ok := o.entries[id]; ok && o.inPrimary(e) {
			o.fail("write %s was kept although the client is told that nothing is", id)
		}
	}
}

func (o *oracle) inPrimary(e *entry) bool {
	for _, s := range o.world.servers {
		if s.primary && slices.Contains(s.log, e) {
			return true
		}
	}
	return false
}

func (o *oracle) succeeded(c *client, st *statement, r currantloom.Reply) {
	switch st.Kind {
	case currantloom.StatementRead, currantloom.StatementExecute:
		o.checkSignature(st, r)
	case currantloom.StatementWrite:
		o.checkSignature(st, r)
		if st.operation != nil {
			st.operation.writes = append(st.operation.writes, st.ID)
		}
		if st.operation == nil || !st.operation.transaction {
			o.acknowledge(c, []string{st.ID})
		}
	case currantloom.StatementCommit:
		o.checkSignature(st, r)
		o.acknowledge(c, st.operation.writes)
	}
}

func (o *oracle) checkSignature(st *statement, r currantloom.Reply) {
	if r.Signature != "run-"+st.ID {
		o.fail("client %s: success of %s (%s) with signature %q", st.client.name, st.ID, st.Kind, r.Signature)
	}
}

// acknowledge notes a commit that the client was told of.
func (o *oracle) acknowledge(c *client, writes []string) {
	if len(writes) == 0 {
		return
	}
	e, ok := o.entries[writes[0]]
	if !ok {
		o.fail("client %s: commit of %v was acknowledged and is in no log", c.name, writes)
		return
	}
	k := &commit{entry: e, ackedAt: o.world.now}
	name := o.world.servers[c.service*len(places)].group.name
	o.acked[name] = append(o.acked[name], k)
	c.acked = append(c.acked, k)
}
