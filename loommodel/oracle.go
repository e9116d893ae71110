package loommodel

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"currantloom.example/currantloom"
)

// Stats holds the counters of a simulation.
type Stats struct {
	// Replies counts the replies that clients received, by code.
	Replies       map[string]int
	StatementsRun int
	Commits       int
	Promotions    int
	// Restores is the number of times that the store came back from a copy.
	Restores int
	Timeouts int
	// ConnectionsRefused is the number of connections that upstreams refused because of their limit.
	ConnectionsRefused int
	// MaxLatency is the longest time from a statement to its reply.
	MaxLatency time.Duration
}

// sentStatement is a statement that a client sent, with the state of its session at that time.
type sentStatement struct {
	currantloom.Statement
	client    *client
	operation *operation
	sentAt    time.Duration
	// startedAt is when the statement was sent, or the BEGIN of its transaction.
	startedAt      time.Duration
	sessionCommits []*ackedCommit
	settings       map[string]string
	// prepared is the prepared statement that the client executes.
	prepared currantloom.PreparedStatement
}

// isWrite reports whether the statement is a write or executes one.
func (st *sentStatement) isWrite() bool {
	return st.Kind == currantloom.StatementWrite || st.Kind == currantloom.StatementExecute && st.prepared.Writes
}

// ackedCommit is a commit that was acknowledged to a client.
type ackedCommit struct {
	entry   *logEntry
	ackedAt time.Duration
	// reportedLost says that a promotion lost the commit and that this is already in the violations.
	reportedLost bool
}

// oracle checks the statements that upstreams run and the replies that clients receive, and collects the violations.
type oracle struct {
	sim        *Simulation
	statements map[string]*sentStatement
	// entryOfWrite holds the log entry of each write, by the id of its statement.
	entryOfWrite map[string]*logEntry
	ackedCommits map[currantloom.ServiceName][]*ackedCommit
	decisions    decisionRing
	violations   []string
	stats        Stats
}

// maxViolations is the number of violations that are kept.
const maxViolations = 20

func newOracle(sim *Simulation) *oracle {
	return &oracle{
		sim: sim, statements: make(map[string]*sentStatement), entryOfWrite: make(map[string]*logEntry),
		ackedCommits: make(map[currantloom.ServiceName][]*ackedCommit), stats: Stats{Replies: make(map[string]int)},
	}
}

func (o *oracle) addViolation(format string, args ...any) {
	if len(o.violations) < maxViolations {
		o.violations = append(o.violations, fmt.Sprintf("%s: ", o.sim.now)+fmt.Sprintf(format, args...))
	}
}

// recordStatement records a statement that a client sends.
func (o *oracle) recordStatement(c *client, st currantloom.Statement) *sentStatement {
	sent := &sentStatement{
		Statement: st, client: c, operation: c.operation, sentAt: o.sim.now, startedAt: o.sim.now,
		sessionCommits: slices.Clone(c.sessionCommits), settings: maps.Clone(c.settings),
	}
	if st.Kind == currantloom.StatementExecute {
		sent.prepared = c.prepared[st.Name]
	}
	if c.operation != nil && c.operation.transaction {
		sent.startedAt = c.operation.startedAt
	}
	o.statements[st.ID] = sent
	return sent
}

// checkRun checks that a statement runs with the settings of its session, in the right transaction, and on fresh data.
func (o *oracle) checkRun(u *upstream, conn *upstreamConn, c currantloom.Command, sent *sentStatement) {
	o.stats.StatementsRun++
	if !maps.Equal(conn.settings, sent.settings) {
		o.addViolation("upstream %s runs %s with settings %v, the session has %v", u.name, c.ID, conn.settings, sent.settings)
	}
	if c.Kind == currantloom.CommandExecute {
		o.checkShape(u, conn, c, sent)
	} else if c.Text != sent.Text {
		o.addViolation("upstream %s runs %s as %q, the client sent %q", u.name, c.ID, c.Text, sent.Text)
	}
	o.checkTransaction(u, conn, c, sent)
	if !c.Writes && !c.Commits {
		o.checkFreshness(u, sent)
	}
}

// checkShape checks that a prepared statement runs with the definition and the parameters that its client sent.
func (o *oracle) checkShape(u *upstream, conn *upstreamConn, c currantloom.Command, sent *sentStatement) {
	if got := conn.prepared[c.Name]; got.Argument != sent.prepared.Definition ||
		got.Writes != sent.prepared.Writes || c.Writes != sent.prepared.Writes {
		o.addViolation("upstream %s runs %s with the definition %q, writes %t; its client prepared %q, writes %t", u.name,
			c.ID, got.Argument, got.Writes, sent.prepared.Definition, sent.prepared.Writes)
	}
	if c.Argument != sent.Parameters {
		o.addViolation("upstream %s runs %s for %q, the client sent %q", u.name, c.ID, c.Argument, sent.Parameters)
	}
}

// checkTransaction checks that a statement of a transaction runs in one, and only in one of its own client.
func (o *oracle) checkTransaction(u *upstream, conn *upstreamConn, c currantloom.Command, sent *sentStatement) {
	inTransaction := sent.operation != nil && sent.operation.transaction
	switch {
	case conn.tx == nil:
		if inTransaction {
			o.addViolation("upstream %s runs %s outside its transaction", u.name, c.ID)
		}
	case conn.tx.client == nil:
		conn.tx.client = sent.client
	case conn.tx.client != sent.client:
		o.addViolation("upstream %s runs %s of %s in a transaction of %s", u.name, c.ID, sent.client.name,
			conn.tx.client.name)
	}
}

// checkFreshness checks that the upstream has applied every commit that the read policy requires the read to see.
func (o *oracle) checkFreshness(u *upstream, sent *sentStatement) {
	ackedBefore := sent.startedAt
	if sent.client.policy != currantloom.ReadLatest {
		ackedBefore -= maxReadAge
	}
	held := make(map[*logEntry]bool, u.applied)
	for _, e := range u.log[:u.applied] {
		held[e] = true
	}
	for _, commit := range o.ackedCommits[u.service.name] {
		if commit.ackedAt < ackedBefore && !commit.reportedLost && !held[commit.entry] {
			o.addViolation("read %s (%s) at %s lacks commit %d.%d acknowledged at %s", sent.ID, sent.client.policy, u.name,
				commit.entry.term, commit.entry.index, commit.ackedAt)
			return
		}
	}
	if sent.client.policy == currantloom.ReadBoundedStaleness {
		return
	}
	for _, commit := range sent.sessionCommits {
		if !commit.reportedLost && !held[commit.entry] {
			o.addViolation("read %s at %s lacks the session's own commit %d.%d", sent.ID, u.name, commit.entry.term,
				commit.entry.index)
		}
	}
}

// checkCommit checks that no commit runs after its client was told that nothing is kept.
func (o *oracle) checkCommit(writes []string, sent *sentStatement) {
	if sent.operation != nil && sent.operation.reportedNotKept {
		o.addViolation("commit of %v although the client was told that nothing is kept", writes)
	}
}

// recordEntry records a new entry of a primary's log and checks that none of its writes is already in that log or was
// reported as not kept.
func (o *oracle) recordEntry(u *upstream, e *logEntry) {
	o.stats.Commits++
	for _, id := range e.writes {
		if other, ok := o.entryOfWrite[id]; ok && slices.Contains(u.log, other) {
			o.addViolation("write %s takes effect twice", id)
		}
		o.entryOfWrite[id] = e
		if st := o.statements[id]; st != nil && st.operation != nil && st.operation.reportedNotKept {
			o.addViolation("write %s takes effect although the client was told that nothing is kept", id)
		}
	}
}

// checkPromotion checks that the new primary holds every acknowledged commit. The violation of the first one that it
// lacks names the decisions that led to the promotion.
func (o *oracle) checkPromotion(u *upstream) {
	o.stats.Promotions++
	if o.sim.options.Faultless {
		o.addViolation("%s is promoted although there is no fault", u.name)
	}
	decisions := o.decisions.describe(u.service.name)
	for _, commit := range o.ackedCommits[u.service.name] {
		if !commit.reportedLost && !slices.Contains(u.log, commit.entry) {
			commit.reportedLost = true
			o.addViolation("%s becomes primary of term %d without commit %d.%d%s", u.name, u.service.term,
				commit.entry.term, commit.entry.index, decisions)
			decisions = ""
		}
	}
}

// reportsNothingKept reports whether the code tells the client that nothing of its operation is kept.
func reportsNothingKept(code currantloom.ReplyCode) bool {
	switch code {
	case currantloom.ReplyBusy, currantloom.ReplyAborted, currantloom.ReplyLagging, currantloom.ReplyNotPrimary,
		currantloom.ReplyMisrouted, currantloom.ReplyNoConnections:
		return true
	default:
		return false
	}
}

// checkReply checks a reply that a client received.
func (o *oracle) checkReply(c *client, st *sentStatement, r currantloom.Reply) {
	o.stats.Replies[r.Code.String()]++
	o.checkFaultless(c, st, r)
	o.stats.MaxLatency = max(o.stats.MaxLatency, o.sim.now-st.sentAt)
	switch {
	case reportsNothingKept(r.Code):
		o.checkNothingKept(st)
	case r.Code == currantloom.ReplyOK:
		o.checkSuccess(c, st, r)
	}
}

func (o *oracle) checkNothingKept(st *sentStatement) {
	op := st.operation
	if op == nil {
		return
	}
	op.reportedNotKept = true
	for _, id := range append(slices.Clone(op.writes), st.ID) {
		if e, ok := o.entryOfWrite[id]; ok && o.inPrimaryLog(e) {
			o.addViolation("write %s was kept although the client is told that nothing is", id)
		}
	}
}

// inPrimaryLog reports whether an entry is in the log of a primary.
func (o *oracle) inPrimaryLog(e *logEntry) bool {
	for _, u := range o.sim.upstreams {
		if u.primary && slices.Contains(u.log, e) {
			return true
		}
	}
	return false
}

func (o *oracle) checkSuccess(c *client, st *sentStatement, r currantloom.Reply) {
	switch {
	case st.isWrite():
		o.checkSignature(st, r)
		if st.operation != nil {
			st.operation.writes = append(st.operation.writes, st.ID)
		}
		if st.operation == nil || !st.operation.transaction {
			o.recordAcknowledged(c, []string{st.ID})
		}
	case st.Kind == currantloom.StatementRead || st.Kind == currantloom.StatementExecute:
		o.checkSignature(st, r)
	case st.Kind == currantloom.StatementCommit:
		o.checkSignature(st, r)
		o.recordAcknowledged(c, st.operation.writes)
	}
}

// checkSignature checks that a successful reply belongs to the client's own statement. Upstreams sign replies with the
// id of the statement.
func (o *oracle) checkSignature(st *sentStatement, r currantloom.Reply) {
	if r.Signature != "run-"+st.ID {
		o.addViolation("client %s: success of %s (%s) with signature %q", st.client.name, st.ID, st.Kind, r.Signature)
	}
}

// recordAcknowledged records a commit that was acknowledged to a client.
func (o *oracle) recordAcknowledged(c *client, writes []string) {
	if len(writes) == 0 {
		return
	}
	e, ok := o.entryOfWrite[writes[0]]
	if !ok {
		o.addViolation("client %s: commit of %v was acknowledged and is in no log", c.name, writes)
		return
	}
	commit := &ackedCommit{entry: e, ackedAt: o.sim.now}
	name := o.sim.upstreams[c.serviceIndex*len(locations)].service.name
	o.ackedCommits[name] = append(o.ackedCommits[name], commit)
	c.sessionCommits = append(c.sessionCommits, commit)
}
