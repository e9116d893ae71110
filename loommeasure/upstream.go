package loommeasure

import (
	"time"

	"currantloom.example/currantloom"
)

const (
	heartbeatInterval = 100 * time.Millisecond
	// commitTimeout is how long a primary waits for a majority before it reports a commit with the copies it has.
	commitTimeout = time.Second
	// stallTimeout is the time after which a connection without progress counts as lost.
	stallTimeout = 2 * time.Second
	// throughputLossPerExcess is the fraction of the throughput that each running statement beyond the slots costs;
	// minThroughput is the fraction that always remains.
	throughputLossPerExcess = 0.05
	minThroughput           = 0.5
)

// logEntry is an entry of an upstream's log. Its number is unique in the simulation.
type logEntry struct {
	term      currantloom.Term
	number    uint64
	writtenAt time.Duration
}

// upstream models a database server: its slots, connections, log and role in the replication group.
type upstream struct {
	sim         *simulation
	description currantloom.PostgresUpstream
	up          bool
	// unresponsive is set when the VM of the upstream is lost: connections get no answer, not even a refusal.
	unresponsive   bool
	role           currantloom.Role
	term           currantloom.Term
	grantedTerm    currantloom.Term
	log            []logEntry
	primaryHeardAt time.Duration
	primary        *upstream
	// lastMessage is the number of the last replication message sent by this upstream as primary; appliedMessage holds
	// the highest number that each replica has acknowledged.
	lastMessage    int
	appliedMessage map[*upstream]int
	pendingCommits []*commit
	running        []*statement
	progressAt     time.Duration
	timerVersion   int
	// connections is the number of open connections from all nodes, in use or idle; idleConnections counts the idle
	// ones of each node.
	connections     int
	idleConnections map[*node]int
	lagUntil        time.Duration
}

// statement is a running statement. confirmTerm makes it wait until a majority has confirmed the primary's term.
type statement struct {
	write       bool
	confirmTerm bool
	remaining   time.Duration
	done        func(currantloom.PostgresResult)
}

// commit is a commit that waits until a majority has applied a replication message.
type commit struct {
	message int
	done    func(confirmed int)
	fail    func()
}

func (u *upstream) position() currantloom.LogPosition {
	if len(u.log) == 0 {
		return currantloom.LogPosition{}
	}
	return currantloom.NewLogPosition(u.log[len(u.log)-1].term, currantloom.LogIndex(len(u.log)))
}

// writtenAt returns when the log entry at the zero-based index was written.
func (u *upstream) writtenAt(index int) time.Duration { return u.log[index].writtenAt }

func (u *upstream) status() currantloom.PostgresStatus {
	status := currantloom.PostgresStatus{Role: u.role, Term: u.term, GrantedTerm: u.grantedTerm, Position: u.position()}
	if u.role != currantloom.RolePrimary {
		status.PrimarySilence = u.sim.now - u.primaryHeardAt
	}
	return status
}

// speed returns the speed of each running statement; it is 1 while there is a slot for each.
func (u *upstream) speed() float64 {
	n, slots := len(u.running), u.sim.deployment.slots
	if n <= slots {
		return 1
	}
	return float64(slots) / float64(n) * max(minThroughput, 1-throughputLossPerExcess*float64(n-slots))
}

// updateProgress subtracts the work done since the last call from the remaining time of the running statements.
func (u *upstream) updateProgress() {
	passed := time.Duration(float64(u.sim.now-u.progressAt) * u.speed())
	u.progressAt = u.sim.now
	for _, st := range u.running {
		st.remaining -= passed
	}
}

// start adds a statement to the running ones.
func (u *upstream) start(st *statement) {
	u.updateProgress()
	u.running = append(u.running, st)
	u.scheduleCompletion()
}

// scheduleCompletion sets a timer for the statement that ends first. It replaces the previous timer.
func (u *upstream) scheduleCompletion() {
	u.timerVersion++
	version := u.timerVersion
	if len(u.running) == 0 {
		return
	}
	minRemaining := u.running[0].remaining
	for _, st := range u.running {
		minRemaining = min(minRemaining, st.remaining)
	}
	u.sim.after(time.Duration(float64(max(minRemaining, 0))/u.speed())+time.Nanosecond, func() {
		if u.timerVersion == version {
			u.updateProgress()
			u.finishStatements()
		}
	})
}

func (u *upstream) finishStatements() {
	var finished []*statement
	kept := u.running[:0:0]
	for _, st := range u.running {
		if st.remaining <= 0 {
			finished = append(finished, st)
		} else {
			kept = append(kept, st)
		}
	}
	u.running = kept
	u.scheduleCompletion()
	for _, st := range finished {
		u.finish(st)
	}
}

// finish ends a statement. A read without confirmation of the term returns at once. Other statements fail unless the
// upstream is the primary, and return once a majority has confirmed them.
func (u *upstream) finish(st *statement) {
	result := currantloom.PostgresResult{
		Verdict: currantloom.Ran, Term: u.term, Position: u.position(), ConfirmedCopies: 1,
		TransactionStatus: currantloom.TransactionIdle,
	}
	if !st.write && !st.confirmTerm {
		st.done(result)
		return
	}
	if u.role != currantloom.RolePrimary {
		result.Verdict, result.Code = currantloom.NotRun, currantloom.SQLStateReadOnly
		result.Err = currantloom.NewRequestError(result.Verdict, result.Code, 0, "not the primary")
		st.done(result)
		return
	}
	if st.write {
		u.log = append(u.log, logEntry{u.term, u.sim.nextEntryNumber(), u.sim.now})
	}
	result.Wrote, result.Position = st.write, u.position()
	u.awaitMajority(func(confirmed int) {
		result.ConfirmedCopies = confirmed
		st.done(result)
	}, func() { st.done(connectionLost(currantloom.MayHaveRun)) })
}

// awaitMajority replicates the log and calls done once a majority has applied it, or after commitTimeout. If the
// upstream crashes first, it calls failed.
func (u *upstream) awaitMajority(done func(confirmed int), failed func()) {
	u.replicate()
	c := &commit{message: u.lastMessage, done: done, fail: failed}
	u.pendingCommits = append(u.pendingCommits, c)
	u.sim.after(commitTimeout, func() { u.completeCommit(c) })
}

// copies returns the number of upstreams, including this primary, that have applied a replication message.
func (u *upstream) copies(message int) int {
	n := 1
	for _, applied := range u.appliedMessage {
		if applied >= message {
			n++
		}
	}
	return n
}

func (u *upstream) completeCommit(c *commit) {
	for i, pending := range u.pendingCommits {
		if pending == c {
			u.pendingCommits = append(u.pendingCommits[:i:i], u.pendingCommits[i+1:]...)
			c.done(u.copies(c.message))
			return
		}
	}
}

// completeMajorityCommits completes the pending commits that a majority has applied.
func (u *upstream) completeMajorityCommits() {
	for _, c := range append([]*commit(nil), u.pendingCommits...) {
		if u.copies(c.message) >= 2 {
			u.completeCommit(c)
		}
	}
}

// replicate sends the log to the other members of the group.
func (u *upstream) replicate() {
	u.lastMessage++
	term, length, message := u.term, len(u.log), u.lastMessage
	for _, replica := range u.sim.otherMembers(u) {
		replica := replica
		u.sim.send(u.description.Location(), replica.description.Location(), 100, trafficReplication, func() {
			u.sim.after(replica.applyDelay(), func() { u.applyAtReplica(replica, term, length, message) })
		})
	}
}

// applyAtReplica appends the missing entries up to the length at a replica and sends its acknowledgement. A replica
// that has granted a later term or follows another primary ignores the message.
func (u *upstream) applyAtReplica(replica *upstream, term currantloom.Term, length, message int) {
	if !replica.up || !u.up || replica.grantedTerm > term || replica.primary != u || u.term != term {
		return
	}
	replica.primaryHeardAt = u.sim.now
	if length > len(replica.log) {
		replica.log = append(replica.log, u.log[len(replica.log):length]...)
	}
	u.sim.send(replica.description.Location(), u.description.Location(), 60, trafficReplication, func() {
		if u.up && u.term == term && u.role == currantloom.RolePrimary {
			u.appliedMessage[replica] = max(u.appliedMessage[replica], message)
			u.completeMajorityCommits()
		}
	})
}

// applyDelay returns the time that a replica takes to apply a message. At random times the replica falls behind by up
// to the simulation's maximum lag.
func (u *upstream) applyDelay() time.Duration {
	sim := u.sim
	if sim.now >= u.lagUntil && sim.random.Float64() < 0.0005 {
		u.lagUntil = sim.now + time.Duration(sim.random.Float64()*float64(sim.maxReplicaLag))
	}
	if sim.now < u.lagUntil {
		return u.lagUntil - sim.now
	}
	return time.Duration(float64(time.Millisecond) * (0.5 + 2*sim.random.Float64()))
}

func (u *upstream) heartbeat() {
	if u.up && u.role == currantloom.RolePrimary {
		u.replicate()
	}
	u.sim.after(heartbeatInterval, u.heartbeat)
}

func (u *upstream) raiseTerm(term currantloom.Term) currantloom.TermGrant {
	grant := currantloom.TermGrant{Position: u.position()}
	if term > u.grantedTerm {
		u.grantedTerm = term
		u.role = currantloom.RoleFenced
		u.primary = nil
		grant.Granted = true
	}
	grant.HighestTerm = u.grantedTerm
	return grant
}

func (u *upstream) promote(term currantloom.Term) bool {
	if u.grantedTerm != term {
		return false
	}
	u.role, u.term = currantloom.RolePrimary, term
	u.appliedMessage = make(map[*upstream]int)
	u.log = append(u.log, logEntry{term, u.sim.nextEntryNumber(), u.sim.now})
	return true
}

func (u *upstream) follow(term currantloom.Term, primary *upstream) {
	if term < u.grantedTerm || primary.term != term {
		return
	}
	u.grantedTerm, u.term, u.role, u.primary = term, term, currantloom.RoleReplica, primary
	u.primaryHeardAt = u.sim.now
	common := 0
	for common < len(u.log) && common < len(primary.log) && u.log[common] == primary.log[common] {
		common++
	}
	u.log = u.log[:common:common]
}

// loseVM ends the VM of the upstream: connections stay open and get no answer.
func (u *upstream) loseVM() {
	u.unresponsive = true
	u.crash()
}

// crash ends the process of the upstream: its statements, connections and pending commits are lost.
func (u *upstream) crash() {
	u.up = false
	u.timerVersion++
	statements, commits := u.running, u.pendingCommits
	u.running, u.pendingCommits = nil, nil
	if !u.unresponsive {
		u.connections = 0
		u.idleConnections = make(map[*node]int)
	}
	delay := time.Duration(0)
	if u.unresponsive {
		delay = stallTimeout
	}
	u.sim.after(delay, func() {
		for _, st := range statements {
			st.done(connectionLost(currantloom.MayHaveRun))
		}
		for _, c := range commits {
			c.fail()
		}
	})
}

func connectionLost(v currantloom.Verdict) currantloom.PostgresResult {
	return currantloom.PostgresResult{
		Verdict: v, Code: currantloom.SQLStateConnectionFailure,
		Err: currantloom.NewRequestError(v, currantloom.SQLStateConnectionFailure, 0, "connection to the server lost"),
	}
}
