package loomcore

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"currantloom.example/currantloom"
)

// requestOracle checks the decisions of an entry node on its requests against a simple model.
type requestOracle struct {
	t        *rapid.T
	state    *State
	now      time.Duration
	requests []*oracleRequest
	retries  int
	term     currantloom.Term
}

type oracleRequest struct {
	request         currantloom.Request
	arrivedAt       time.Duration
	attempts        int
	vm              currantloom.VMName
	inFlight        bool
	mayHaveRun      bool
	responseStarted bool
	lastFailed      bool
	failures        int
	answered        bool
	last            currantloom.ResponseTrailer
}

// TestFuzzRequest guards against an entry node that repeats a request although it must not, reports a false verdict or
// leaves a request without an answer. It runs an entry node in virtual time with random requests, outcomes, failures
// and terms.
func TestFuzzRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := &requestOracle{t: t, term: 1}
		o.state = New(Config{
			Self: "vm-1", Location: currantloom.NewLocation("ost", "linz"),
			Databases: []currantloom.Database{scriptDatabase(2, 16)},
		})
		o.apply(VMsReceived{Stamp: o.stamp(), Set: currantloom.VMSet{VMs: scriptVMs()}})
		t.Repeat(map[string]func(*rapid.T){
			"arrive": o.arrive, "finish": o.finish, "cancel": o.cancel, "wait": o.wait,
			"": func(*rapid.T) { o.check() },
		})
		o.drain()
	})
}

func (o *requestOracle) stamp() Stamp { return Stamp{Now: o.now} }

func (o *requestOracle) apply(e Event) {
	for _, f := range slices.Clone(o.state.Reduce(e)) {
		switch f := f.(type) {
		case Forward:
			o.checkForward(o.requests[f.Header.Key.Number], f)
		case Respond:
			o.checkRespond(o.requests[f.Key.Number], f.Trailer)
		}
	}
}

// checkForward checks that an attempt may be made.
func (o *requestOracle) checkForward(r *oracleRequest, f Forward) {
	key := r.request.Key
	switch {
	case r.inFlight || r.answered:
		o.t.Fatalf("%v: an attempt while another one runs, or after the answer", key)
	case r.responseStarted:
		o.t.Fatalf("%v: repeated after a part of the response", key)
	case r.mayHaveRun && f.Header.Kind == currantloom.WriteRequest && r.request.RequestID == "":
		o.t.Fatalf("%v: a write without request id is repeated although it may have run", key)
	case r.last.RetryAfter > 0:
		o.t.Fatalf("%v: repeated after a refusal with a time to retry", key)
	case f.Header.Remaining <= 0:
		o.t.Fatalf("%v: forwarded after its deadline", key)
	}
	r.attempts++
	if f.Attempt != r.attempts {
		o.t.Fatalf("%v: attempt %d has number %d", key, r.attempts, f.Attempt)
	}
	if r.lastFailed {
		r.lastFailed = false
		r.failures++
		o.retries++
	}
	if r.failures > maxRetries {
		o.t.Fatalf("%v: %d retries", key, r.failures)
	}
	r.inFlight, r.vm = true, f.VM
}

// checkRespond checks that a request is answered once and that the verdict is true.
func (o *requestOracle) checkRespond(r *oracleRequest, t currantloom.ResponseTrailer) {
	if r.answered {
		o.t.Fatalf("%v: answered twice", r.request.Key)
	}
	r.answered = true
	if t.Verdict == currantloom.NotRun && r.mayHaveRun {
		o.t.Fatalf("%v: answered as not run after an attempt that may have run", r.request.Key)
	}
	if t.Verdict == currantloom.Ran && r.last.Verdict != currantloom.Ran {
		o.t.Fatalf("%v: answered as run", r.request.Key)
	}
}

func (o *requestOracle) arrive(t *rapid.T) {
	r := &oracleRequest{arrivedAt: o.now, request: currantloom.Request{
		Key: currantloom.RequestKey{VM: "vm-1", Number: uint64(len(o.requests))}, Database: "wheel", Organisation: "steyr",
		Deadline: time.Duration(rapid.IntRange(60, 10000).Draw(t, "deadline")) * time.Millisecond,
	}}
	if rapid.Bool().Draw(t, "id") {
		r.request.RequestID = "x"
	}
	if rapid.Bool().Draw(t, "read") {
		r.request.Kind = currantloom.ReadRequest
		r.request.MaxAge = time.Second
		r.request.Token = currantloom.NewToken("wheel", currantloom.NewLogPosition(1, 1))
	}
	o.requests = append(o.requests, r)
	o.apply(RequestArrived{Stamp: o.stamp(), Request: r.request})
}

func (o *requestOracle) drawInFlight(t *rapid.T) *oracleRequest {
	var out []*oracleRequest
	for _, r := range o.requests {
		if r.inFlight {
			out = append(out, r)
		}
	}
	if len(out) == 0 {
		t.Skip("no attempt")
	}
	return rapid.SampledFrom(out).Draw(t, "request")
}

// finish ends an attempt in one of the ways that links and owners can.
func (o *requestOracle) finish(t *rapid.T) {
	r := o.drawInFlight(t)
	e := ForwardFinished{Sent: true}
	e.Trailer.Term, e.Trailer.Primary = o.term, "a"
	if rapid.IntRange(0, 9).Draw(t, "promotion") == 0 {
		o.term++
		e.Trailer.Term = o.term
		e.Trailer.Primary = rapid.SampledFrom([]currantloom.UpstreamName{"a", "b", "c", ""}).Draw(t, "primary")
	}
	failed := false
	switch rapid.IntRange(0, 5).Draw(t, "outcome") {
	case 0:
		e.Trailer.Verdict, e.Trailer.UpstreamAnswered = currantloom.Ran, true
	case 1:
		e.Sent, failed = false, true
		e.Trailer = currantloom.ResponseTrailer{SQLState: currantloom.SQLStateConnectionFailure}
	case 2:
		failed, r.mayHaveRun = true, true
		e.Trailer = currantloom.ResponseTrailer{
			SQLState: currantloom.SQLStateConnectionFailure, ResponseStarted: rapid.IntRange(0, 3).Draw(t, "started") == 0,
		}
		r.responseStarted = e.Trailer.ResponseStarted
	case 3:
		e.Trailer.Verdict, e.Trailer.SQLState = currantloom.NotRun, currantloom.SQLStateTooManyConnections
		if rapid.Bool().Draw(t, "shed") {
			e.Trailer.RetryAfter = time.Second
		} else {
			failed = true
		}
	default:
		e.Trailer.Verdict = currantloom.NotRun
		e.Trailer.SQLState = rapid.SampledFrom([]currantloom.SQLState{
			currantloom.SQLStateCannotConnectNow, currantloom.SQLStateReadOnly, currantloom.SQLStateConnectionFailure,
			currantloom.SQLStateShuttingDown, currantloom.SQLStateInvalidParameter,
		}).Draw(t, "code")
	}
	o.finishWith(r, e, failed)
}

func (o *requestOracle) finishWith(r *oracleRequest, e ForwardFinished, failed bool) {
	e.Stamp, e.Key, e.Attempt = o.stamp(), r.request.Key, r.attempts
	r.inFlight, r.lastFailed, r.last = false, failed, e.Trailer
	o.apply(e)
	// The same end of an attempt once more must change nothing.
	o.apply(e)
}

func (o *requestOracle) cancel(t *rapid.T) {
	if len(o.requests) == 0 {
		t.Skip("no request")
	}
	r := rapid.SampledFrom(o.requests).Draw(t, "request")
	o.apply(RequestCancelled{Stamp: o.stamp(), Key: r.request.Key})
	if !r.inFlight && !r.answered {
		t.Fatalf("%v: waits on after it was cancelled", r.request.Key)
	}
}

func (o *requestOracle) wait(t *rapid.T) {
	for range rapid.IntRange(1, 40).Draw(t, "ticks") {
		o.now += TickInterval
		o.apply(Tick{Stamp: o.stamp()})
		o.check()
	}
}

func (o *requestOracle) check() {
	for _, r := range o.requests {
		if !r.inFlight && !r.answered && o.now > r.arrivedAt+r.request.Deadline {
			o.t.Fatalf("%v: waits past its deadline", r.request.Key)
		}
	}
	if budget := 11 + len(o.requests)/10 + int(o.now/time.Second)*10 + 10; o.retries > budget {
		o.t.Fatalf("%d retries exceed the budget of %d", o.retries, budget)
	}
}

// drain ends all attempts and checks that every request is answered.
func (o *requestOracle) drain() {
	for range 30 {
		for _, r := range o.requests {
			if r.inFlight {
				o.finishWith(r, ForwardFinished{Sent: true, Trailer: currantloom.ResponseTrailer{
					Verdict: currantloom.Ran, UpstreamAnswered: true, Term: o.term, Primary: "a",
				}}, false)
			}
		}
		for range 10 {
			o.now += TickInterval
			o.apply(Tick{Stamp: o.stamp()})
		}
	}
	for _, r := range o.requests {
		if !r.answered {
			o.t.Fatalf("%v: never answered", r.request.Key)
		}
	}
	if len(o.state.requests.open) != 0 {
		o.t.Fatalf("%d requests are still open", len(o.state.requests.open))
	}
}
