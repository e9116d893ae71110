package loommeasure

import (
	"time"

	"currantloom.example/currantloom"
)

const (
	heartbeatInterval = 100 * time.Millisecond
	// reportWait is how long a primary waits for a majority before it reports a commit.
	reportWait = time.Second
	// progressTime is when a connection without progress is given up.
	progressTime = 2 * time.Second
	// excessLoss is the part of the throughput that each statement beyond the slots costs.
	excessLoss = 0.05
	minRate    = 0.5
)

// entry is one entry of a log: the term and the time it was written in, and a number that is unique in the run.
type entry struct {
	term   currantloom.Term
	number uint64
	at     time.Duration
}

// server is a fake of one database server.
type server struct {
	world  *world
	server currantloom.PostgresUpstream
	up     bool
	// mute says that the VM of the server is gone: nothing answers, not even with a refusal.
	mute    bool
	role    currantloom.Role
	term    currantloom.Term
	granted currantloom.Term
	log     []entry
	heardAt time.Duration
	follows *server
	// sent numbers the replication messages; match holds the highest number that each replica has applied.
	sent     int
	match    map[*server]int
	commits  []*commit
	running  []*statement
	advanced time.Duration
	version  int
	// connections counts those in use and idle ones of all nodes; idle counts those of each node.
	connections int
	idle        map[*node]int
	slowUntil   time.Duration
}

// statement is a statement that runs.
type statement struct {
	write   bool
	confirm bool
	left    time.Duration
	done    func(currantloom.PostgresResult)
}

// commit waits until a majority has applied a replication message.
type commit struct {
	sent int
	done func(confirmed int)
	fail func()
}

func (s *server) mark() currantloom.LogPosition {
	if len(s.log) == 0 {
		return currantloom.LogPosition{}
	}
	return currantloom.NewLogPosition(s.log[len(s.log)-1].term, currantloom.LogIndex(len(s.log)))
}

// writtenAt returns when the entry after the given position was written.
func (s *server) writtenAt(position int) time.Duration { return s.log[position].at }

func (s *server) status() currantloom.PostgresStatus {
	r := currantloom.PostgresStatus{Role: s.role, Term: s.term, GrantedTerm: s.granted, Position: s.mark()}
	if s.role != currantloom.RolePrimary {
		r.PrimarySilence = s.world.now - s.heardAt
	}
	return r
}

// rate is the speed of each running statement.
func (s *server) rate() float64 {
	n, slots := len(s.running), s.world.deployment.slots
	if n <= slots {
		return 1
	}
	return float64(slots) / float64(n) * max(minRate, 1-excessLoss*float64(n-slots))
}

// advance lets the running statements progress up to now.
func (s *server) advance() {
	passed := time.Duration(float64(s.world.now-s.advanced) * s.rate())
	s.advanced = s.world.now
	for _, x := range s.running {
		x.left -= passed
	}
}

// run starts a statement.
func (s *server) run(x *statement) {
	s.advance()
	s.running = append(s.running, x)
	s.schedule()
}

// schedule waits for the statement that ends first.
func (s *server) schedule() {
	s.version++
	version := s.version
	if len(s.running) == 0 {
		return
	}
	least := s.running[0].left
	for _, x := range s.running {
		least = min(least, x.left)
	}
	s.world.after(time.Duration(float64(max(least, 0))/s.rate())+time.Nanosecond, func() {
		if s.version == version {
			s.advance()
			s.endStatements()
		}
	})
}

func (s *server) endStatements() {
	var ended []*statement
	kept := s.running[:0:0]
	for _, x := range s.running {
		if x.left <= 0 {
			ended = append(ended, x)
		} else {
			kept = append(kept, x)
		}
	}
	s.running = kept
	s.schedule()
	for _, x := range ended {
		s.end(x)
	}
}

// end finishes a statement: a write is refused on other servers than the primary, and reported once a majority holds
// it.
func (s *server) end(x *statement) {
	r := currantloom.PostgresResult{
		Verdict: currantloom.Ran, Term: s.term, Position: s.mark(), ConfirmedCopies: 1,
		TransactionStatus: currantloom.TransactionIdle,
	}
	if !x.write && !x.confirm {
		x.done(r)
		return
	}
	if s.role != currantloom.RolePrimary {
		r.Verdict, r.Code = currantloom.NotRun, currantloom.SQLStateReadOnly
		r.Err = currantloom.NewRequestError(r.Verdict, r.Code, 0, "not the primary")
		x.done(r)
		return
	}
	if x.write {
		s.log = append(s.log, entry{s.term, s.world.nextEntry(), s.world.now})
	}
	r.Wrote, r.Position = x.write, s.mark()
	s.await(func(confirmed int) {
		r.ConfirmedCopies = confirmed
		x.done(r)
	}, func() { x.done(connectionLost(currantloom.MayHaveRun)) })
}

// await calls done once a majority has applied what is sent now, or after reportWait.
func (s *server) await(done func(confirmed int), fail func()) {
	s.replicate()
	c := &commit{sent: s.sent, done: done, fail: fail}
	s.commits = append(s.commits, c)
	s.world.after(reportWait, func() { s.report(c) })
}

// holding returns the number of servers that have applied a message, the primary included.
func (s *server) holding(sent int) int {
	n := 1
	for _, m := range s.match {
		if m >= sent {
			n++
		}
	}
	return n
}

func (s *server) report(c *commit) {
	for i, other := range s.commits {
		if other == c {
			s.commits = append(s.commits[:i:i], s.commits[i+1:]...)
			c.done(s.holding(c.sent))
			return
		}
	}
}

// reportHeld reports the commits that a majority holds.
func (s *server) reportHeld() {
	for _, c := range append([]*commit(nil), s.commits...) {
		if s.holding(c.sent) >= 2 {
			s.report(c)
		}
	}
}

// replicate sends the log to the replicas.
func (s *server) replicate() {
	s.sent++
	term, position, sent := s.term, len(s.log), s.sent
	for _, r := range s.world.siblings(s) {
		r := r
		s.world.send(s.server.Location(), r.server.Location(), 100, trafficReplication, func() {
			s.world.after(r.applyTime(), func() { s.applied(r, term, position, sent) })
		})
	}
}

// applied takes over the entries at a replica and sends its answer.
func (s *server) applied(r *server, term currantloom.Term, position, sent int) {
	if !r.up || !s.up || r.granted > term || r.follows != s || s.term != term {
		return
	}
	r.heardAt = s.world.now
	if position > len(r.log) {
		r.log = append(r.log, s.log[len(r.log):position]...)
	}
	s.world.send(r.server.Location(), s.server.Location(), 60, trafficReplication, func() {
		if s.up && s.term == term && s.role == currantloom.RolePrimary {
			s.match[r] = max(s.match[r], sent)
			s.reportHeld()
		}
	})
}

// applyTime is how long a replica takes to apply an entry. Now and then it falls behind by up to the world's lag.
func (s *server) applyTime() time.Duration {
	w := s.world
	if w.now >= s.slowUntil && w.random.Float64() < 0.0005 {
		s.slowUntil = w.now + time.Duration(w.random.Float64()*float64(w.lag))
	}
	if w.now < s.slowUntil {
		return s.slowUntil - w.now
	}
	return time.Duration(float64(time.Millisecond) * (0.5 + 2*w.random.Float64()))
}

func (s *server) heartbeat() {
	if s.up && s.role == currantloom.RolePrimary {
		s.replicate()
	}
	s.world.after(heartbeatInterval, s.heartbeat)
}

func (s *server) raise(term currantloom.Term) currantloom.TermGrant {
	g := currantloom.TermGrant{Position: s.mark()}
	if term > s.granted {
		s.granted = term
		s.role = currantloom.RoleFenced
		s.follows = nil
		g.Granted = true
	}
	g.HighestTerm = s.granted
	return g
}

func (s *server) lead(term currantloom.Term) bool {
	if s.granted != term {
		return false
	}
	s.role, s.term = currantloom.RolePrimary, term
	s.match = make(map[*server]int)
	s.log = append(s.log, entry{term, s.world.nextEntry(), s.world.now})
	return true
}

func (s *server) follow(term currantloom.Term, primary *server) {
	if term < s.granted || primary.term != term {
		return
	}
	s.granted, s.term, s.role, s.follows = term, term, currantloom.RoleReplica, primary
	s.heardAt = s.world.now
	common := 0
	for common < len(s.log) && common < len(primary.log) && s.log[common] == primary.log[common] {
		common++
	}
	s.log = s.log[:common:common]
}

// vanish ends the server's VM: connections stay open without an answer.
func (s *server) vanish() {
	s.mute = true
	s.stop()
}

// stop ends the server's process: statements and connections are lost.
func (s *server) stop() {
	s.up = false
	s.version++
	lost, commits := s.running, s.commits
	s.running, s.commits = nil, nil
	if !s.mute {
		s.connections = 0
		s.idle = make(map[*node]int)
	}
	delay := time.Duration(0)
	if s.mute {
		delay = progressTime
	}
	s.world.after(delay, func() {
		for _, x := range lost {
			x.done(connectionLost(currantloom.MayHaveRun))
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
