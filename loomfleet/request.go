package loomfleet

import (
	"fmt"
	"slices"
	"time"

	"currantloom.example/currantloom"
)

const (
	// patience is how long a request waits for an upstream, in the queue or without one: a change of primary takes 2 to
	// 3 s.
	patience = 3500 * time.Millisecond
	// outagePatience is how long after the loss of a primary new requests still wait for the next one.
	outagePatience = 5 * time.Second
	// parkInterval is the time between two looks for an upstream, if nothing says that an earlier one helps.
	parkInterval = 60 * time.Millisecond
	// fastAttempts is the number of attempts that follow each other without a pause.
	fastAttempts = 4
	// defaultTimeout bounds a statement whose route states no timeout.
	defaultTimeout = 2 * time.Second
)

// purpose says what a request does.
type purpose uint8

const (
	purposeRead purpose = iota
	purposeWrite
	// purposeOpen is the first statement of a transaction, purposeContinue a later one.
	purposeOpen
	purposeContinue
	purposeCommit
	// purposeEmptyCommit commits a transaction without statements.
	purposeEmptyCommit
)

// request is a statement that needs an upstream.
type request struct {
	session   *session
	statement currantloom.Statement
	route     currantloom.Route
	group     *group
	purpose   purpose
	arrived   time.Duration
	attempt   int
	calls     []*call
	// tried holds the upstreams that refused, until when they are passed over.
	tried map[currantloom.UpstreamName]time.Duration
	// parked says that the request waits, until retryAt or until another leader than that of epoch is believed.
	parked  bool
	epoch   uint64
	retryAt time.Duration
	hedged  bool
	last    currantloom.CallFailureReason
	done    bool
}

// requests holds what has no answer yet.
type requests struct {
	parked      []*request
	calls       map[currantloom.RequestKey]*call
	hedgeCredit int
}

func (r *requests) init() { r.calls = make(map[currantloom.RequestKey]*call) }

// open makes a request of a statement.
func (s *State) open(sn *session, st currantloom.Statement, route currantloom.Route, p purpose) {
	r := &request{
		session: sn, statement: st, route: route, group: s.groupOf(route.Service), purpose: p, arrived: s.now,
		tried: make(map[currantloom.UpstreamName]time.Duration),
	}
	if r.route.Timeout <= 0 {
		r.route.Timeout = defaultTimeout
	}
	sn.request = r
	r.group.usedAt = s.now
	s.requests.hedgeCredit = min(s.requests.hedgeCredit+hedgeShare, maxHedges)
	s.place(r)
}

// place makes the next attempt, or lets the request wait.
func (s *State) place(r *request) {
	if r.done {
		return
	}
	if r.purpose == purposeContinue || r.purpose == purposeCommit {
		t := r.session.transaction
		s.attempt(r, choice{upstream: t.upstream, vm: t.vm, mode: currantloom.CallInTransaction})
		return
	}
	if c, ok := s.choose(r); ok && r.attempt < fastAttempts {
		s.attempt(r, c)
		return
	}
	s.park(r)
}

// attempt makes a call for the request.
func (s *State) attempt(r *request, c choice) {
	r.attempt++
	command := r.command()
	timeout := r.route.Timeout
	wait := max(0, r.giveUpAt()-s.now)
	m := currantloom.Call{
		Key: s.nextKey(), Service: r.group.name, Upstream: c.upstream.Name, Mode: c.mode, Command: command,
		Settings: r.session.settings(), Timeout: timeout, QueueTimeout: wait,
		LatencyBudget:          max(0, r.arrived+r.route.LatencyTarget-s.now),
		Priority:               r.route.Priority,
		IdleTransactionTimeout: s.transactionIdle(), MinPosition: c.after, MaxAge: c.maxAge,
	}
	if command.Kind == currantloom.CommandExecute {
		m.Prepared = r.session.prepared[r.statement.Name]
	}
	if c.mode == currantloom.CallInTransaction {
		m.Transaction = r.session.transaction.key
	}
	made := s.sendCall(c.upstream, c.vm, m)
	made.request = r
	r.calls = append(r.calls, made)
}

// command returns what the upstream is asked for.
func (r *request) command() currantloom.Command {
	if r.statement.Kind != currantloom.StatementExecute {
		return currantloom.Command{
			Kind: currantloom.CommandStatement, ID: r.statement.ID, Text: r.statement.Text,
			Writes:  r.statement.Kind == currantloom.StatementWrite,
			Commits: r.statement.Kind == currantloom.StatementCommit,
		}
	}
	p := r.session.prepared[r.statement.Name]
	return currantloom.Command{
		Kind: currantloom.CommandExecute, ID: r.statement.ID, Name: preparedName(p), Argument: r.statement.Parameters,
		Writes: p.Writes,
	}
}

// preparedName is the name of a prepared statement at the upstreams. It says what the statement does, so that
// sessions share it and their own names never meet.
func preparedName(p currantloom.PreparedStatement) string {
	if p.Writes {
		return "w" + p.Definition
	}
	return "r" + p.Definition
}

// giveUpAt is when a request without an attempt under way is refused.
func (r *request) giveUpAt() time.Duration { return r.arrived + patience }

// needsPrimary reports whether only the primary may run the request.
func (r *request) needsPrimary() bool {
	switch r.purpose {
	case purposeWrite:
		return true
	case purposeRead:
		return r.route.ReadPolicy == currantloom.ReadLatest
	default:
		t := r.session.transaction
		return t == nil || !t.readOnly || r.route.ReadPolicy == currantloom.ReadLatest
	}
}

// park lets the request wait for an upstream, or refuses it if none is to be expected.
func (s *State) park(r *request) {
	g := r.group
	if s.now >= r.giveUpAt() || r.needsPrimary() && g.leader == "" && s.now-g.lostAt > outagePatience {
		s.giveUp(r, 0)
		return
	}
	r.parked, r.epoch, r.retryAt = true, g.epoch, s.now+parkInterval
	s.requests.parked = append(s.requests.parked, r)
}

// reviewRequests looks again for upstreams for parked requests, where something changed or the time has come.
func (s *State) reviewRequests() {
	waiting := s.requests.parked
	s.requests.parked = nil
	for _, r := range waiting {
		switch {
		case r.done:
		case r.epoch != r.group.epoch || s.now >= r.retryAt:
			r.parked = false
			r.attempt = min(r.attempt, fastAttempts-1)
			s.place(r)
		default:
			s.requests.parked = append(s.requests.parked, r)
		}
	}
}

// giveUp refuses a request of which nothing ran, or nothing is kept, with the time after which a retry makes sense.
func (s *State) giveUp(r *request, retryAfter time.Duration) {
	if retryAfter <= 0 {
		retryAfter = time.Second
	}
	s.finish(r, currantloom.Reply{
		Code: currantloom.ReplyBusy, Detail: fmt.Sprintf("retry after %d ms", retryAfter.Milliseconds()),
	}, nil)
}

// ran passes the upstream's answer on.
func (s *State) ran(r *request, c *call, a currantloom.CallResult) {
	reply, sn := a.Reply, r.session
	if r.purpose == purposeRead && reply.Code != currantloom.ReplyOK && s.readAgain(r, c) {
		return
	}
	if opens(c.mode) && reply.TransactionStatus != currantloom.TransactionIdle {
		t := sn.transaction
		t.opened, t.key, t.upstream, t.vm = true, c.key, c.upstream, c.vm
	}
	if reply.Code == currantloom.ReplyOK && (r.purpose == purposeWrite || r.purpose == purposeCommit) {
		r.group.acknowledged(reply.Position)
		if reply.Position.Compare(sn.own) > 0 {
			sn.own = reply.Position
		}
	}
	s.finish(r, reply, c)
}

// readAgain makes another attempt of a read that failed at one upstream.
func (s *State) readAgain(r *request, c *call) bool {
	r.tried[c.upstream.Name] = s.now + avoidFor
	if len(r.calls) > 0 {
		return true
	}
	if r.attempt >= fastAttempts {
		return false
	}
	next, ok := s.choose(r)
	if !ok || next.upstream == c.upstream {
		return false
	}
	s.attempt(r, next)
	return true
}

// notRun looks for another upstream or carrier.
func (s *State) notRun(r *request, c *call, a currantloom.CallResult) {
	u := c.upstream
	switch a.Reason {
	case currantloom.ReasonRefused:
		s.refusedBy(r, c, a)
	case currantloom.ReasonQueueWait:
		r.tried[u.Name] = s.now + avoidFor
	case currantloom.ReasonNoSample:
		r.tried[u.Name] = s.now + parkInterval
	case currantloom.ReasonUnreachable:
		u.avoid[c.vm] = s.now + avoidFor
		r.tried[u.Name] = s.now + parkInterval
	case currantloom.ReasonUnknownUpstream, currantloom.ReasonShuttingDown, currantloom.ReasonLinkFailed:
		u.avoid[c.vm] = s.now + avoidFor/4
	case currantloom.ReasonWritesBlocked:
		r.tried[u.Name] = s.now + parkInterval
	}
	switch {
	case len(r.calls) > 0:
	case r.purpose == purposeContinue || r.purpose == purposeCommit:
		s.lostTransaction(r, a)
	case a.Reason == currantloom.ReasonQueueWait && !s.hasOther(r):
		s.giveUp(r, a.QueueWait)
	default:
		s.place(r)
	}
}

// lostTransaction answers a statement of a transaction that is over. Its commit never reached an upstream.
func (s *State) lostTransaction(r *request, a currantloom.CallResult) {
	code := currantloom.ReplyAborted
	if a.Reason == currantloom.ReasonRefused {
		code = a.Reply.Code
	}
	s.finish(r, currantloom.Reply{Code: code, Detail: a.Reason.String()}, nil)
}

// refusedBy learns from an upstream that refused.
func (s *State) refusedBy(r *request, c *call, a currantloom.CallResult) {
	until := s.now + parkInterval
	switch a.Reply.Code {
	case currantloom.ReplyNotPrimary:
		r.group.denied(s, c.upstream.Name)
	case currantloom.ReplyLagging:
		r.group.lag.turnedAway(c.upstream, sample{mark: c.required, takenAt: c.sentAt - c.fresh})
	case currantloom.ReplyMisrouted:
		until = s.now + avoidFor
	}
	r.tried[c.upstream.Name] = until
}

// hasOther reports whether an upstream is left that has not refused the request.
func (s *State) hasOther(r *request) bool {
	c, ok := s.choose(r)
	return ok && r.tried[c.upstream.Name] <= s.now
}

// mayHaveRun decides what follows an attempt without an answer. Whatever ran in a transaction that was not committed is
// rolled back; a write outside one and a commit are in doubt.
func (s *State) mayHaveRun(r *request, c *call, a currantloom.CallResult) {
	r.tried[c.upstream.Name] = s.now + avoidFor
	if a.Reason == currantloom.ReasonTimeout && r.purpose == purposeRead {
		c.upstream.slowUntil = s.now + avoidFor
	}
	switch r.purpose {
	case purposeRead:
		if len(r.calls) == 0 {
			s.place(r)
		}
	case purposeOpen, purposeEmptyCommit:
		s.sendEnd(c.vm, c.key)
		s.place(r)
	case purposeContinue:
		s.finish(r, currantloom.Reply{Code: currantloom.ReplyAborted, Detail: a.Reason.String()}, nil)
	default:
		s.finish(r, currantloom.Reply{Code: currantloom.ReplyInDoubt, Detail: a.Reason.String()}, nil)
	}
}

// finish answers the session.
func (s *State) finish(r *request, reply currantloom.Reply, c *call) {
	r.done = true
	sn := r.session
	sn.request, sn.lastAt = nil, s.now
	for _, other := range r.calls {
		s.cancelCall(other)
	}
	r.calls = nil
	s.settle(r, reply)
	reply.TransactionStatus = sn.status
	s.logRequest(r, reply, c)
	if s.sessions[sn.id] == sn {
		s.emit(ReplyToSession{Session: sn.id, Reply: reply})
		s.closeAnswered(sn)
	}
}

// settle updates the transaction of the session after an answer.
func (s *State) settle(r *request, reply currantloom.Reply) {
	sn := r.session
	switch r.purpose {
	case purposeRead, purposeWrite:
	case purposeCommit, purposeEmptyCommit:
		if sn.transaction != nil && reply.TransactionStatus == currantloom.TransactionIdle &&
			reply.Code == currantloom.ReplyOK {
			sn.transaction.opened = false
		}
		s.endTransaction(sn)
	default:
		if reply.Code != currantloom.ReplyOK {
			s.failTransaction(sn)
		}
	}
}

// logAttempt writes why an attempt did not answer its request.
func (s *State) logAttempt(r *request, c *call, a currantloom.CallResult) {
	reason := a.Reason.String()
	if a.Reason == currantloom.ReasonRefused {
		reason = a.Reply.Code.String()
	}
	s.log(Decision{
		Event: "attempt", Request: r.statement.ID, Service: r.group.name, Upstream: c.upstream.Name, VM: c.vm,
		Position: a.Reply.Position, Age: s.now - c.sentAt, Attempt: r.attempt, Reason: reason, Outcome: a.Verdict.String(),
		Routine: true,
	})
}

func (s *State) logRequest(r *request, reply currantloom.Reply, c *call) {
	d := Decision{
		Event: "statement", Request: r.statement.ID, Session: r.session.id, Service: r.group.name,
		Age: s.now - r.arrived, Attempt: r.attempt, Outcome: reply.Code.String(), Version: s.version(),
		Routine: reply.Code == currantloom.ReplyOK && r.attempt == 1,
	}
	if r.last != currantloom.ReasonNone {
		d.Reason = r.last.String()
	}
	if c != nil {
		d.Upstream, d.VM, d.Position, d.PositionAge = c.upstream.Name, c.vm, c.required, c.fresh
	}
	s.log(d)
}

// abandon ends a request whose client is gone.
func (s *State) abandon(r *request) {
	r.done = true
	for _, c := range r.calls {
		s.cancelCall(c)
		if opens(c.mode) {
			s.sendEnd(c.vm, c.key)
		}
	}
	r.calls = nil
}

// tickRequests ends calls whose time is over and hedges late reads.
func (s *State) tickRequests() {
	var late []*call
	for _, c := range s.requests.calls {
		switch {
		case s.now >= c.timeoutAt:
			late = append(late, c)
		case c.request != nil && s.now-c.sentAt >= hedgeAfter:
			s.doubt(c.vm)
			s.hedge(c)
		case s.now-c.sentAt >= doubtAfter:
			s.doubt(c.vm)
		}
	}
	slices.SortFunc(late, func(a, b *call) int { return int(a.key.Number) - int(b.key.Number) })
	for _, c := range late {
		s.callAnswered(currantloom.CallResult{Key: c.key, Reason: currantloom.ReasonTimeout})
	}
	s.reviewRequests()
}
