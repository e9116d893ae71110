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

// carrierOracle is a simple account of what a carrier may do. It follows the effects, not the core's own state, except
// for the classes that the history gives to statements.
type carrierOracle struct {
	t       *rapid.T
	state   *State
	now     time.Duration
	next    uint64
	works   map[uint64]*oracleWork
	running []*oracleWork
	open    []uint64
	maxTerm currantloom.Term
	slots   int
	// connections is the number that work may use.
	connections int
	polls       []currantloom.UpstreamName
}

type oracleWork struct {
	key       uint64
	header    currantloom.RequestHeader
	tx        uint64
	arrivedAt time.Duration
	ran       bool
	ranAt     time.Duration
	ended     bool
	answered  bool
	answer    currantloom.PostgresResult
	confirmed map[currantloom.UpstreamName]bool
	result    *currantloom.PostgresResult
	slotFree  bool
	decided   bool
}

// TestFuzzCarrier drives a carrier in virtual time with random work, answers, failures and terms.
func TestFuzzCarrier(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := &carrierOracle{
			t: t, works: make(map[uint64]*oracleWork), maxTerm: 1, slots: rapid.IntRange(1, 3).Draw(t, "slots"),
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
		o.lead("a", 1)
		t.Repeat(map[string]func(*rapid.T){
			"arrive": o.arrive, "continue": o.continueTransaction, "answer": o.answer, "confirm": o.confirm,
			"finish": o.finish, "cancel": o.cancel, "end": o.end, "wait": o.wait, "term": o.newTerm,
			"": func(*rapid.T) { o.check() },
		})
		o.drain()
	})
}

func (o *carrierOracle) stamp() Stamp { return Stamp{Now: o.now, Random: o.next} }

func (o *carrierOracle) apply(e Event) {
	polls := len(o.polls)
	for _, f := range slices.Clone(o.state.Reduce(e)) {
		o.follow(f)
	}
	if len(o.polls) > polls {
		// The servers answer after the effects of this event.
		o.reportAll()
	}
}

// follow applies one effect to the account and checks what must hold at that moment.
func (o *carrierOracle) follow(f Effect) {
	switch f := f.(type) {
	case PollStatus:
		o.polls = append(o.polls, f.Upstream)
	case Run:
		o.ran(o.works[f.Key.Number])
	case Acknowledge:
		o.acknowledged(o.works[f.Key.Number])
	case Reject:
		w := o.works[f.Key.Number]
		o.ends(w, f.Trailer)
		if w.ran {
			o.finishRun(w, currantloom.PostgresResult{
				Verdict: currantloom.MayHaveRun, Err: errors.New("rejected"), TransactionStatus: currantloom.TransactionIdle,
			})
		}
	case Complete:
		o.ends(o.works[f.Key.Number], f.Trailer)
	case ConfirmPosition:
		o.works[f.Key.Number].slotFree = true
	case CloseConnection:
		o.endTransaction(f.Transaction.Number)
	}
}

func (o *carrierOracle) ran(w *oracleWork) {
	if w.ran || w.ended {
		o.t.Fatalf("work %d runs twice or after its end", w.key)
	}
	if w.tx != 0 && !slices.Contains(o.open, w.tx) {
		o.t.Fatalf("work %d runs outside of its transaction %d", w.key, w.tx)
	}
	w.ran, w.ranAt = true, o.now
	o.running = append(o.running, w)
}

// acknowledged checks invariant 2: a majority at the newest term that the node knows of.
func (o *carrierOracle) acknowledged(w *oracleWork) {
	w.decided = true
	held := w.answer.ConfirmedCopies
	if held < 2 && held > 0 {
		held = 1 + len(w.confirmed)
	}
	if w.answer.Wrote && (w.answer.Term < o.maxTerm || held < 2) {
		o.t.Fatalf("work %d acknowledged with %d servers in term %d of %d", w.key, held, w.answer.Term, o.maxTerm)
	}
}

// ends checks that work ends once and that its verdict is true.
func (o *carrierOracle) ends(w *oracleWork, trailer currantloom.ResponseTrailer) {
	if w.ended {
		o.t.Fatalf("work %d ended twice", w.key)
	}
	w.ended = true
	if trailer.Verdict == currantloom.NotRun && w.ran && (w.result == nil || w.result.Verdict != currantloom.NotRun) {
		o.t.Fatalf("work %d that ran ended as not run", w.key)
	}
	if trailer.Verdict == currantloom.Ran && w.result.Wrote && !w.decided {
		o.t.Fatalf("write %d reported as run without an acknowledgement", w.key)
	}
}

func (o *carrierOracle) arrive(t *rapid.T) {
	h := o.header(t)
	h.OpensTransaction = rapid.IntRange(0, 4).Draw(t, "begins") == 0
	if rapid.Bool().Draw(t, "read") {
		h.Kind = currantloom.ReadRequest
	}
	o.submit(h, 0)
}

func (o *carrierOracle) header(t *rapid.T) currantloom.RequestHeader {
	o.next++
	h := currantloom.RequestHeader{
		Key: currantloom.RequestKey{VM: "vm-2", Number: o.next}, Upstream: "a", Database: "wheel",
		Organisation: currantloom.OrganisationName(rapid.SampledFrom([]string{"steyr", "enns", "traun"}).Draw(t, "caller")),
		Statement:    rapid.SampledFrom([]string{"s", "t", "u"}).Draw(t, "statement"),
		Remaining:    time.Duration(rapid.IntRange(1, 20000).Draw(t, "remaining")) * time.Millisecond,
	}
	if rapid.IntRange(0, 3).Draw(t, "long") == 0 {
		h.Class, h.Statement = currantloom.LongRequest, "l"
	}
	return h
}

func (o *carrierOracle) submit(h currantloom.RequestHeader, tx uint64) {
	w := &oracleWork{
		key: h.Key.Number, header: h, tx: tx, arrivedAt: o.now, confirmed: make(map[currantloom.UpstreamName]bool),
	}
	o.works[w.key] = w
	e := AttemptArrived{Stamp: o.stamp(), Header: h}
	if tx != 0 {
		e.InTransaction, e.Transaction = true, currantloom.RequestKey{VM: "vm-2", Number: tx}
	}
	o.apply(e)
}

// continueTransaction sends a statement of an open transaction, or of one that has ended.
func (o *carrierOracle) continueTransaction(t *rapid.T) {
	tx := uint64(rapid.IntRange(1, int(o.next)+1).Draw(t, "transaction"))
	if len(o.open) > 0 {
		tx = rapid.SampledFrom(o.open).Draw(t, "open")
	}
	o.submit(o.header(t), tx)
}

// pick draws running work. Skip on a rapid.T, here and in the actions, discards one drawn action that does not apply in
// the current state; it never skips the test.
func (o *carrierOracle) pick(t *rapid.T) *oracleWork {
	if len(o.running) == 0 {
		t.Skip("nothing runs")
	}
	return rapid.SampledFrom(o.running).Draw(t, "work")
}

func (o *carrierOracle) answer(t *rapid.T) {
	w := o.pick(t)
	if w.answered {
		t.Skip("already answered")
	}
	w.answered = true
	w.answer = currantloom.PostgresResult{
		Verdict: currantloom.Ran, Wrote: w.header.Kind == currantloom.WriteRequest && rapid.Bool().Draw(t, "wrote"),
		Term:            currantloom.Term(rapid.IntRange(1, int(o.maxTerm)).Draw(t, "term")),
		ConfirmedCopies: rapid.IntRange(0, 3).Draw(t, "confirmed"), Position: currantloom.NewLogPosition(1, 101),
		TransactionStatus: currantloom.TransactionIdle,
	}
	o.apply(RunAnswered{Stamp: o.stamp(), Key: w.header.Key, Result: w.answer})
}

func (o *carrierOracle) confirm(t *rapid.T) {
	w := o.pick(t)
	if !w.slotFree || w.ended || w.decided {
		t.Skip("nothing to confirm")
	}
	e := ConfirmPositionAnswered{
		Stamp: o.stamp(), Key: w.header.Key, Upstream: "b",
		Status: currantloom.PostgresStatus{
			Term: w.answer.Term, GrantedTerm: w.answer.Term,
			Position: currantloom.NewLogPosition(1, currantloom.LogIndex(rapid.IntRange(100, 102).Draw(t, "position"))),
		},
	}
	if e.Status.Position.Covers(w.answer.Position) {
		w.confirmed["b"] = true
	}
	o.apply(e)
}

func (o *carrierOracle) finish(t *rapid.T) {
	w := o.pick(t)
	if w.slotFree && !w.ended && !w.decided {
		t.Skip("the core decides first")
	}
	r := currantloom.PostgresResult{Verdict: currantloom.Ran, TransactionStatus: currantloom.TransactionIdle}
	switch {
	case w.answered:
		r = w.answer
	case rapid.Bool().Draw(t, "failed"):
		r.Verdict = rapid.SampledFrom([]currantloom.Verdict{currantloom.NotRun, currantloom.MayHaveRun}).Draw(t, "verdict")
		r.Err = errors.New("failed")
		r.Code = rapid.SampledFrom([]currantloom.SQLState{
			currantloom.SQLStateTooManyConnections, currantloom.SQLStateQueryCanceled,
		}).Draw(t, "code")
	}
	if r.Err == nil && !w.answered {
		r.Wrote = rapid.Bool().Draw(t, "wrote")
	}
	if r.Err == nil && (w.tx != 0 || w.header.OpensTransaction) && rapid.Bool().Draw(t, "open") {
		r.TransactionStatus = currantloom.TransactionOpen
	}
	o.finishRun(w, r)
}

func (o *carrierOracle) finishRun(w *oracleWork, r currantloom.PostgresResult) {
	for i, other := range o.running {
		if other == w {
			o.running = append(o.running[:i:i], o.running[i+1:]...)
			break
		}
	}
	w.result = &r
	if r.TransactionStatus == currantloom.TransactionOpen && w.tx == 0 {
		o.open = append(o.open, w.key)
	}
	o.apply(RunFinished{Stamp: o.stamp(), Key: w.header.Key, Result: r})
	o.apply(RunFinished{Stamp: o.stamp(), Key: w.header.Key, Result: r})
	if w.tx != 0 && r.TransactionStatus == currantloom.TransactionIdle {
		o.endTransaction(w.tx)
	}
}

func (o *carrierOracle) endTransaction(tx uint64) {
	for i, other := range o.open {
		if other == tx {
			o.open = append(o.open[:i:i], o.open[i+1:]...)
			o.apply(TransactionEnded{Stamp: o.stamp(), Transaction: currantloom.RequestKey{VM: "vm-2", Number: tx}})
			return
		}
	}
}

func (o *carrierOracle) end(t *rapid.T) {
	if len(o.open) == 0 {
		t.Skip("no transaction")
	}
	tx := rapid.SampledFrom(o.open).Draw(t, "open")
	for _, w := range o.running {
		if w.tx == tx {
			t.Skip("a statement runs")
		}
	}
	o.endTransaction(tx)
}

func (o *carrierOracle) cancel(t *rapid.T) {
	n := uint64(rapid.IntRange(1, int(o.next)+1).Draw(t, "key"))
	o.apply(AttemptCancelled{Stamp: o.stamp(), Key: currantloom.RequestKey{VM: "vm-2", Number: n}})
}

func (o *carrierOracle) wait(t *rapid.T) {
	o.pass(time.Duration(rapid.IntRange(1, 40).Draw(t, "ticks")) * TickInterval)
}

func (o *carrierOracle) pass(d time.Duration) {
	for end := o.now + d; o.now < end; {
		o.now += TickInterval
		o.apply(Tick{Stamp: o.stamp()})
		o.check()
	}
}

// newTerm makes a the primary of a newer term, so that answers of the older ones must not be acknowledged.
func (o *carrierOracle) newTerm(t *rapid.T) {
	if rapid.IntRange(0, 5).Draw(t, "rarely") > 0 {
		t.Skip("rare")
	}
	o.maxTerm++
	o.lead("a", o.maxTerm)
}

func (o *carrierOracle) lead(server currantloom.UpstreamName, term currantloom.Term) {
	o.apply(StatusReceived{Stamp: o.stamp(), Upstream: server, SentAt: o.now, Status: currantloom.PostgresStatus{
		Role: currantloom.RolePrimary, Term: term, GrantedTerm: term, Position: currantloom.NewLogPosition(1, 100),
	}})
}

// reportAll answers the polls that the core asked for.
func (o *carrierOracle) reportAll() {
	polls := o.polls
	o.polls = nil
	for _, server := range polls {
		status := currantloom.PostgresStatus{
			Term: o.maxTerm, GrantedTerm: o.maxTerm, Position: currantloom.NewLogPosition(1, 100),
		}
		if server == "a" {
			status.Role = currantloom.RolePrimary
		}
		o.apply(StatusReceived{Stamp: o.stamp(), Upstream: server, SentAt: o.now, Status: status})
	}
}

// check compares what runs and waits with what the limits allow.
func (o *carrierOracle) check() {
	occupied, short, long, held, pinned := 0, 0, 0, len(o.open), len(o.open)
	for _, w := range o.running {
		if w.tx == 0 {
			held++
		}
		if w.header.OpensTransaction {
			pinned++
		}
		if w.slotFree {
			continue
		}
		occupied++
		switch {
		case w.header.Class == currantloom.LongRequest:
			long++
		case o.state.owner.attempts[w.header.Key].class == currantloom.ShortRequest:
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
	if held > o.connections {
		o.t.Fatalf("%d connections are in use, %d allowed", held, o.connections)
	}
	if pinned > max(1, o.connections/2) {
		o.t.Fatalf("%d of %d connections are pinned", pinned, o.connections)
	}
	o.checkWaiting(occupied)
}

// checkWaiting checks that short work that may start does not wait for a slot that is free.
func (o *carrierOracle) checkWaiting(occupied int) {
	for _, w := range o.works {
		if w.ran || w.ended {
			continue
		}
		if o.now > w.arrivedAt+w.header.Remaining+TickInterval {
			o.t.Fatalf("work %d waits past its deadline", w.key)
		}
		c := o.state.owner.attempts[w.header.Key]
		q := o.state.owner.queues["a"]
		if c.class != currantloom.ShortRequest || !o.state.canStart(q.group, q, c) {
			continue
		}
		short := 0
		for _, r := range o.running {
			if !r.slotFree && o.state.owner.attempts[r.header.Key].class == currantloom.ShortRequest {
				short++
			}
		}
		if short < o.slots && occupied < max(2, 2*o.slots-1) {
			o.t.Fatalf("short work %d waits although a slot for short work is free", w.key)
		}
	}
}

// drain lets all work end and checks that nothing is left.
func (o *carrierOracle) drain() {
	for round := 0; round < 200 && len(o.state.owner.attempts) > 0; round++ {
		for len(o.running) > 0 {
			w := o.running[0]
			if w.slotFree && !w.ended && !w.decided {
				break
			}
			r := w.answer
			r.TransactionStatus = currantloom.TransactionIdle
			o.finishRun(w, r)
		}
		o.pass(500 * time.Millisecond)
	}
	for _, w := range o.works {
		if !w.ended {
			o.t.Fatalf("work %d never ended: %+v", w.key, w)
		}
	}
	o.pass(maxTransactionIdle + time.Second)
	for _, q := range o.state.owner.orderedQueues {
		if q.connections != 0 || q.openTransactions != 0 || q.openingTransactions != 0 || len(q.running) != 0 || len(q.connectionsByOrganisation) != 0 {
			o.t.Fatalf("queue of %s still counts held=%d pinned=%d", q.upstream, q.connections, q.openTransactions)
		}
	}
}
