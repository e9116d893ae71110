package loomcore

import (
	"errors"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomrules"
)

// ownerOracle checks the decisions of an owner against a simple model. The model follows the effects and not the state
// of the reducer, except for the classes of statements that come from their run times.
type ownerOracle struct {
	t                *rapid.T
	state            *State
	now              time.Duration
	lastNumber       uint64
	attempts         map[uint64]*oracleAttempt
	running          []*oracleAttempt
	openTransactions []uint64
	maxTerm          currantloom.Term
	slots            int
	// connections is the number of connections that requests may use.
	connections  int
	pendingPolls []currantloom.UpstreamName
}

type oracleAttempt struct {
	key          uint64
	header       currantloom.RequestHeader
	transaction  uint64
	arrivedAt    time.Duration
	ran          bool
	ranAt        time.Duration
	ended        bool
	answered     bool
	answer       currantloom.PostgresResult
	confirmedBy  map[currantloom.UpstreamName]bool
	result       *currantloom.PostgresResult
	slotReleased bool
	acknowledged bool
}

// TestFuzzOwner guards against an owner that exceeds its limits, loses an attempt or reports a false verdict. It runs
// an owner in virtual time with random attempts, results, failures and terms.
func TestFuzzOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := &ownerOracle{
			t: t, attempts: make(map[uint64]*oracleAttempt), maxTerm: 1, slots: rapid.IntRange(1, 3).Draw(t, "slots"),
			connections: rapid.IntRange(1, 8).Draw(t, "connections"),
		}
		o.state = New(Config{
			Self: "vm-1", Location: currantloom.NewLocation("ost", "linz"),
			Databases: []currantloom.Database{scriptDatabase(o.slots, o.connections+reservedControlConnections)},
		})
		o.apply(VMsReceived{Stamp: o.stamp(), Set: currantloom.VMSet{VMs: scriptVMs()}})
		rules, err := loomrules.Parse("class wheel long \"l\" # ops\n")
		if err != nil {
			t.Fatal(err)
		}
		o.apply(RulesReceived{Stamp: o.stamp(), Document: currantloom.NewRulesDocument(1, "", ""), Rules: rules})
		o.reportPrimary("a", 1)
		t.Repeat(map[string]func(*rapid.T){
			"arrive": o.arrive, "continue": o.continueTransaction, "answer": o.answer, "confirm": o.confirm,
			"finish": o.finish, "cancel": o.cancel, "end": o.end, "wait": o.wait, "term": o.newTerm,
			"": func(*rapid.T) { o.check() },
		})
		o.drain()
	})
}

func (o *ownerOracle) stamp() Stamp { return Stamp{Now: o.now, Random: o.lastNumber} }

func (o *ownerOracle) apply(e Event) {
	polls := len(o.pendingPolls)
	for _, f := range slices.Clone(o.state.Reduce(e)) {
		o.recordEffect(f)
	}
	if len(o.pendingPolls) > polls {
		// The upstreams answer the polls after the other effects of this event.
		o.reportAll()
	}
}

// recordEffect applies one effect to the model and checks what must hold at that moment.
func (o *ownerOracle) recordEffect(f Effect) {
	switch f := f.(type) {
	case PollStatus:
		o.pendingPolls = append(o.pendingPolls, f.Upstream)
	case Run:
		o.checkRun(o.attempts[f.Key.Number])
	case Acknowledge:
		o.checkAcknowledge(o.attempts[f.Key.Number])
	case Reject:
		a := o.attempts[f.Key.Number]
		o.checkEnd(a, f.Trailer)
		if a.ran {
			o.finishRun(a, currantloom.PostgresResult{
				Verdict: currantloom.MayHaveRun, Err: errors.New("rejected"), TransactionStatus: currantloom.TransactionIdle,
			})
		}
	case Complete:
		o.checkEnd(o.attempts[f.Key.Number], f.Trailer)
	case ConfirmPosition:
		o.attempts[f.Key.Number].slotReleased = true
	case CloseConnection:
		o.endTransaction(f.Transaction.Number)
	}
}

func (o *ownerOracle) checkRun(a *oracleAttempt) {
	if a.ran || a.ended {
		o.t.Fatalf("attempt %d runs twice or after its end", a.key)
	}
	if a.transaction != 0 && !slices.Contains(o.openTransactions, a.transaction) {
		o.t.Fatalf("attempt %d runs outside of its transaction %d", a.key, a.transaction)
	}
	a.ran, a.ranAt = true, o.now
	o.running = append(o.running, a)
}

// checkAcknowledge checks invariant 2 (docs/design.md, section 1.1): an acknowledged write has copies at a majority, in
// the newest term that the node knows of.
func (o *ownerOracle) checkAcknowledge(a *oracleAttempt) {
	a.acknowledged = true
	copies := a.answer.ConfirmedCopies
	if copies < 2 && copies > 0 {
		copies = 1 + len(a.confirmedBy)
	}
	if a.answer.Wrote && (a.answer.Term < o.maxTerm || copies < 2) {
		o.t.Fatalf("attempt %d acknowledged with %d copies in term %d of %d", a.key, copies, a.answer.Term, o.maxTerm)
	}
}

// checkEnd checks that an attempt ends once and that its verdict is true.
func (o *ownerOracle) checkEnd(a *oracleAttempt, trailer currantloom.ResponseTrailer) {
	if a.ended {
		o.t.Fatalf("attempt %d ended twice", a.key)
	}
	a.ended = true
	if trailer.Verdict == currantloom.NotRun && a.ran && (a.result == nil || a.result.Verdict != currantloom.NotRun) {
		o.t.Fatalf("attempt %d that ran ended as not run", a.key)
	}
	if trailer.Verdict == currantloom.Ran && a.result.Wrote && !a.acknowledged {
		o.t.Fatalf("write %d reported as run without an acknowledgement", a.key)
	}
}

func (o *ownerOracle) arrive(t *rapid.T) {
	h := o.header(t)
	h.OpensTransaction = rapid.IntRange(0, 4).Draw(t, "begins") == 0
	if rapid.Bool().Draw(t, "read") {
		h.Kind = currantloom.ReadRequest
	}
	o.submit(h, 0)
}

func (o *ownerOracle) header(t *rapid.T) currantloom.RequestHeader {
	o.lastNumber++
	h := currantloom.RequestHeader{
		Key: currantloom.RequestKey{VM: "vm-2", Number: o.lastNumber}, Upstream: "a", Database: "wheel",
		Organisation: currantloom.OrganisationName(rapid.SampledFrom([]string{"steyr", "enns", "traun"}).Draw(t, "caller")),
		Statement:    rapid.SampledFrom([]string{"s", "t", "u"}).Draw(t, "statement"),
		Remaining:    time.Duration(rapid.IntRange(1, 20000).Draw(t, "remaining")) * time.Millisecond,
	}
	if rapid.IntRange(0, 3).Draw(t, "long") == 0 {
		h.Class, h.Statement = currantloom.LongRequest, "l"
	}
	return h
}

func (o *ownerOracle) submit(h currantloom.RequestHeader, tx uint64) {
	a := &oracleAttempt{
		key: h.Key.Number, header: h, transaction: tx, arrivedAt: o.now, confirmedBy: make(map[currantloom.UpstreamName]bool),
	}
	o.attempts[a.key] = a
	e := AttemptArrived{Stamp: o.stamp(), Header: h}
	if tx != 0 {
		e.InTransaction, e.Transaction = true, currantloom.RequestKey{VM: "vm-2", Number: tx}
	}
	o.apply(e)
}

// continueTransaction sends a statement of an open transaction, or of one that has ended.
func (o *ownerOracle) continueTransaction(t *rapid.T) {
	tx := uint64(rapid.IntRange(1, int(o.lastNumber)+1).Draw(t, "transaction"))
	if len(o.openTransactions) > 0 {
		tx = rapid.SampledFrom(o.openTransactions).Draw(t, "open")
	}
	o.submit(o.header(t), tx)
}

// drawRunning draws a running attempt. Skip on a rapid.T, here and in the actions, discards one drawn action that does
// not apply in the current state; it never skips the test.
func (o *ownerOracle) drawRunning(t *rapid.T) *oracleAttempt {
	if len(o.running) == 0 {
		t.Skip("nothing runs")
	}
	return rapid.SampledFrom(o.running).Draw(t, "work")
}

func (o *ownerOracle) answer(t *rapid.T) {
	a := o.drawRunning(t)
	if a.answered {
		t.Skip("already answered")
	}
	a.answered = true
	a.answer = currantloom.PostgresResult{
		Verdict: currantloom.Ran, Wrote: a.header.Kind == currantloom.WriteRequest && rapid.Bool().Draw(t, "wrote"),
		Term:            currantloom.Term(rapid.IntRange(1, int(o.maxTerm)).Draw(t, "term")),
		ConfirmedCopies: rapid.IntRange(0, 3).Draw(t, "confirmed"), Position: currantloom.NewLogPosition(1, 101),
		TransactionStatus: currantloom.TransactionIdle,
	}
	o.apply(RunAnswered{Stamp: o.stamp(), Key: a.header.Key, Result: a.answer})
}

func (o *ownerOracle) confirm(t *rapid.T) {
	a := o.drawRunning(t)
	if !a.slotReleased || a.ended || a.acknowledged {
		t.Skip("nothing to confirm")
	}
	e := ConfirmPositionAnswered{
		Stamp: o.stamp(), Key: a.header.Key, Upstream: "b",
		Status: currantloom.PostgresStatus{
			Term: a.answer.Term, GrantedTerm: a.answer.Term,
			Position: currantloom.NewLogPosition(1, currantloom.LogIndex(rapid.IntRange(100, 102).Draw(t, "position"))),
		},
	}
	if e.Status.Position.Covers(a.answer.Position) {
		a.confirmedBy["b"] = true
	}
	o.apply(e)
}

func (o *ownerOracle) finish(t *rapid.T) {
	a := o.drawRunning(t)
	if a.slotReleased && !a.ended && !a.acknowledged {
		t.Skip("the reducer decides first")
	}
	r := currantloom.PostgresResult{Verdict: currantloom.Ran, TransactionStatus: currantloom.TransactionIdle}
	switch {
	case a.answered:
		r = a.answer
	case rapid.Bool().Draw(t, "failed"):
		r.Verdict = rapid.SampledFrom([]currantloom.Verdict{currantloom.NotRun, currantloom.MayHaveRun}).Draw(t, "verdict")
		r.Err = errors.New("failed")
		r.Code = rapid.SampledFrom([]currantloom.SQLState{
			currantloom.SQLStateTooManyConnections, currantloom.SQLStateQueryCanceled,
		}).Draw(t, "code")
	}
	if r.Err == nil && !a.answered {
		r.Wrote = rapid.Bool().Draw(t, "wrote")
	}
	if r.Err == nil && (a.transaction != 0 || a.header.OpensTransaction) && rapid.Bool().Draw(t, "open") {
		r.TransactionStatus = currantloom.TransactionOpen
	}
	o.finishRun(a, r)
}

func (o *ownerOracle) finishRun(a *oracleAttempt, r currantloom.PostgresResult) {
	for i, other := range o.running {
		if other == a {
			o.running = append(o.running[:i:i], o.running[i+1:]...)
			break
		}
	}
	a.result = &r
	if r.TransactionStatus == currantloom.TransactionOpen && a.transaction == 0 {
		o.openTransactions = append(o.openTransactions, a.key)
	}
	o.apply(RunFinished{Stamp: o.stamp(), Key: a.header.Key, Result: r})
	o.apply(RunFinished{Stamp: o.stamp(), Key: a.header.Key, Result: r})
	if a.transaction != 0 && r.TransactionStatus == currantloom.TransactionIdle {
		o.endTransaction(a.transaction)
	}
}

func (o *ownerOracle) endTransaction(tx uint64) {
	for i, other := range o.openTransactions {
		if other == tx {
			o.openTransactions = append(o.openTransactions[:i:i], o.openTransactions[i+1:]...)
			o.apply(TransactionEnded{Stamp: o.stamp(), Transaction: currantloom.RequestKey{VM: "vm-2", Number: tx}})
			return
		}
	}
}

func (o *ownerOracle) end(t *rapid.T) {
	if len(o.openTransactions) == 0 {
		t.Skip("no transaction")
	}
	tx := rapid.SampledFrom(o.openTransactions).Draw(t, "open")
	for _, a := range o.running {
		if a.transaction == tx {
			t.Skip("a statement runs")
		}
	}
	o.endTransaction(tx)
}

func (o *ownerOracle) cancel(t *rapid.T) {
	n := uint64(rapid.IntRange(1, int(o.lastNumber)+1).Draw(t, "key"))
	o.apply(AttemptCancelled{Stamp: o.stamp(), Key: currantloom.RequestKey{VM: "vm-2", Number: n}})
}

func (o *ownerOracle) wait(t *rapid.T) {
	o.advance(time.Duration(rapid.IntRange(1, 40).Draw(t, "ticks")) * TickInterval)
}

func (o *ownerOracle) advance(d time.Duration) {
	for end := o.now + d; o.now < end; {
		o.now += TickInterval
		o.apply(Tick{Stamp: o.stamp()})
		o.check()
	}
}

// newTerm makes a the primary of a newer term, so that answers of the older ones must not be acknowledged.
func (o *ownerOracle) newTerm(t *rapid.T) {
	if rapid.IntRange(0, 5).Draw(t, "rarely") > 0 {
		t.Skip("rare")
	}
	o.maxTerm++
	o.reportPrimary("a", o.maxTerm)
}

func (o *ownerOracle) reportPrimary(upstream currantloom.UpstreamName, term currantloom.Term) {
	o.apply(StatusReceived{Stamp: o.stamp(), Upstream: upstream, SentAt: o.now, Status: currantloom.PostgresStatus{
		Role: currantloom.RolePrimary, Term: term, GrantedTerm: term, Position: currantloom.NewLogPosition(1, 100),
	}})
}

// reportAll answers the polls that the reducer asked for.
func (o *ownerOracle) reportAll() {
	polls := o.pendingPolls
	o.pendingPolls = nil
	for _, upstream := range polls {
		status := currantloom.PostgresStatus{
			Term: o.maxTerm, GrantedTerm: o.maxTerm, Position: currantloom.NewLogPosition(1, 100),
		}
		if upstream == "a" {
			status.Role = currantloom.RolePrimary
		}
		o.apply(StatusReceived{Stamp: o.stamp(), Upstream: upstream, SentAt: o.now, Status: status})
	}
}

// check compares what runs and waits with what the limits allow.
func (o *ownerOracle) check() {
	occupied, short, long, connections, transactions := 0, 0, 0, len(o.openTransactions), len(o.openTransactions)
	for _, a := range o.running {
		if a.transaction == 0 {
			connections++
		}
		if a.header.OpensTransaction {
			transactions++
		}
		if a.slotReleased {
			continue
		}
		occupied++
		switch {
		case a.header.Class == currantloom.LongRequest:
			long++
		case o.state.owner.attempts[a.header.Key].class == currantloom.ShortRequest:
			short++
		}
	}
	if limit := max(2, 2*o.slots-1); occupied > limit {
		o.t.Fatalf("%d statements run, at most %d may", occupied, limit)
	}
	if short > o.slots {
		o.t.Fatalf("%d short statements run in %d slots", short, o.slots)
	}
	if long > max(1, o.slots-1) {
		o.t.Fatalf("%d long statements run in %d slots", long, o.slots)
	}
	if connections > o.connections {
		o.t.Fatalf("%d connections are in use, %d allowed", connections, o.connections)
	}
	if transactions > max(1, o.connections/2) {
		o.t.Fatalf("%d of %d connections are held by transactions", transactions, o.connections)
	}
	o.checkWaiting(occupied)
}

// checkWaiting checks that no short request that may start waits while a slot is free.
func (o *ownerOracle) checkWaiting(occupied int) {
	for _, a := range o.attempts {
		if a.ran || a.ended {
			continue
		}
		if o.now > a.arrivedAt+a.header.Remaining+TickInterval {
			o.t.Fatalf("attempt %d waits past its deadline", a.key)
		}
		c := o.state.owner.attempts[a.header.Key]
		q := o.state.owner.queues["a"]
		if c.class != currantloom.ShortRequest || !o.state.canStart(q.group, q, c) {
			continue
		}
		short := 0
		for _, r := range o.running {
			if !r.slotReleased && o.state.owner.attempts[r.header.Key].class == currantloom.ShortRequest {
				short++
			}
		}
		if short < o.slots && occupied < max(2, 2*o.slots-1) {
			o.t.Fatalf("short request %d waits although a slot for short requests is free", a.key)
		}
	}
}

// drain lets all attempts end and checks that nothing is left.
func (o *ownerOracle) drain() {
	for round := 0; round < 200 && len(o.state.owner.attempts) > 0; round++ {
		for len(o.running) > 0 {
			a := o.running[0]
			if a.slotReleased && !a.ended && !a.acknowledged {
				break
			}
			r := a.answer
			r.TransactionStatus = currantloom.TransactionIdle
			o.finishRun(a, r)
		}
		o.advance(500 * time.Millisecond)
	}
	for _, a := range o.attempts {
		if !a.ended {
			o.t.Fatalf("attempt %d never ended: %+v", a.key, a)
		}
	}
	o.advance(idleTransactionTimeout + time.Second)
	for _, q := range o.state.owner.orderedQueues {
		if q.connections != 0 || q.openTransactions != 0 || q.openingTransactions != 0 || len(q.running) != 0 ||
			len(q.connectionsByOrganisation) != 0 {
			o.t.Fatalf("queue of %s still counts connections=%d transactions=%d", q.upstream, q.connections, q.openTransactions)
		}
	}
}
