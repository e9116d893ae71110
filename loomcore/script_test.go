package loomcore

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomrules"
)

// script sends events to a State as lines of the form "command arguments => effects" say. It simulates the upstreams,
// which report their status as soon as they are polled, unless they are silent or down.
type script struct {
	t      *testing.T
	state  *State
	now    time.Duration
	status map[currantloom.UpstreamName]currantloom.PostgresStatus
	down   map[currantloom.UpstreamName]bool
	silent map[currantloom.UpstreamName]bool
	shown  []string
}

// scriptVMs returns the VMs of the nodes. The first choices for the owner of upstream a are vm-1, vm-2 and vm-3, in
// this order.
func scriptVMs() []currantloom.VM {
	return []currantloom.VM{
		currantloom.NewVM("vm-1", currantloom.NewLocation("ost", "linz"), "", "", currantloom.VMLive),
		currantloom.NewVM("vm-2", currantloom.NewLocation("ost", "steyr"), "", "", currantloom.VMLive),
		currantloom.NewVM("vm-3", currantloom.NewLocation("west", "ibk"), "", "", currantloom.VMLive),
	}
}

func scriptDatabase(slots, connections int) currantloom.Database {
	return currantloom.NewDatabase("wheel", slots, connections, []currantloom.PostgresUpstream{
		currantloom.NewPostgresUpstream("a", "wheel", "", currantloom.NewLocation("ost", "linz")),
		currantloom.NewPostgresUpstream("b", "wheel", "", currantloom.NewLocation("ost", "steyr")),
		currantloom.NewPostgresUpstream("c", "wheel", "", currantloom.NewLocation("west", "ibk")),
	})
}

// newScript returns a script for node vm-1, which knows a as the primary of term 1 at log position 1/100.
func newScript(t *testing.T, slots, connections int, rules string) *script {
	x := &script{
		t: t, status: make(map[currantloom.UpstreamName]currantloom.PostgresStatus),
		down: make(map[currantloom.UpstreamName]bool), silent: make(map[currantloom.UpstreamName]bool),
	}
	x.state = New(Config{
		Self: "vm-1", Location: currantloom.NewLocation("ost", "linz"),
		Databases: []currantloom.Database{scriptDatabase(slots, connections)},
	})
	for i, upstream := range []currantloom.UpstreamName{"a", "b", "c"} {
		role := currantloom.RoleReplica
		if i == 0 {
			role = currantloom.RolePrimary
		}
		x.status[upstream] = currantloom.PostgresStatus{
			Role: role, Term: 1, GrantedTerm: 1, Position: currantloom.NewLogPosition(1, 100),
		}
	}
	parsed, err := loomrules.Parse(rules)
	if err != nil {
		t.Fatal(err)
	}
	x.apply(RulesReceived{Stamp: x.stamp(), Document: currantloom.NewRulesDocument(1, "", rules), Rules: parsed})
	x.apply(VMsReceived{Stamp: x.stamp(), Set: currantloom.VMSet{VMs: scriptVMs()}})
	x.wait(time.Second)
	x.shown = nil
	return x
}

func (x *script) stamp() Stamp { return Stamp{Now: x.now, Random: uint64(x.now)} }

// apply reduces an event, answers the polls that it causes and collects the other effects.
func (x *script) apply(e Event) {
	var polls []currantloom.UpstreamName
	for _, f := range x.state.Reduce(e) {
		if p, ok := f.(PollStatus); ok {
			polls = append(polls, p.Upstream)
		}
		if text := show(f); text != "" {
			x.shown = append(x.shown, text)
		}
	}
	for _, upstream := range polls {
		switch {
		case x.silent[upstream]:
		case x.down[upstream]:
			x.apply(StatusFailed{Stamp: x.stamp(), Upstream: upstream, SentAt: x.now})
		default:
			x.apply(StatusReceived{Stamp: x.stamp(), Upstream: upstream, SentAt: x.now, Status: x.status[upstream]})
		}
	}
}

func (x *script) wait(d time.Duration) {
	for end := x.now + d; x.now < end; {
		x.now += TickInterval
		x.apply(Tick{Stamp: x.stamp()})
	}
}

// run executes the lines of a script and compares the effects of each line.
func (x *script) run(lines string) {
	x.t.Helper()
	for _, line := range strings.Split(strings.TrimSpace(lines), "\n") {
		command, want, _ := strings.Cut(strings.TrimSpace(line), "=>")
		x.shown = nil
		fields := strings.Fields(command)
		x.execute(fields[0], fields[1:])
		got := strings.Join(x.shown, ", ")
		if got != strings.TrimSpace(want) {
			x.t.Fatalf("%s: got effects %q, want %q", strings.TrimSpace(command), got, strings.TrimSpace(want))
		}
	}
}

func (x *script) execute(command string, args []string) {
	o := options(args[1:])
	key := scriptKey(args[0])
	key.Attempt, _ = strconv.Atoi(o.get("attempt", "0"))
	switch command {
	case "wait":
		x.wait(duration(args[0]))
	case "pause":
		x.now += duration(args[0])
	case "arrive":
		x.apply(x.arrival(key, o))
	case "answer":
		x.apply(RunAnswered{Stamp: x.stamp(), Key: key, Result: o.result()})
	case "finish":
		x.apply(RunFinished{Stamp: x.stamp(), Key: key, Result: o.result()})
	case "confirmed":
		upstream := currantloom.UpstreamName(args[1])
		o = options(args[2:])
		x.apply(ConfirmPositionAnswered{
			Stamp: x.stamp(), Key: key, Upstream: upstream, Failed: o.has("failed"),
			Status: currantloom.PostgresStatus{Term: o.term(), GrantedTerm: o.granted(), Position: o.position("mark", "1/100")},
		})
	case "cancelwork":
		x.apply(AttemptCancelled{Stamp: x.stamp(), Key: key})
	case "ended":
		x.apply(TransactionEnded{Stamp: x.stamp(), Transaction: key})
	case "request":
		x.apply(RequestArrived{Stamp: x.stamp(), Request: o.request(key)})
	case "done":
		attempt, _ := strconv.Atoi(o.get("attempt", "1"))
		x.apply(ForwardFinished{
			Stamp: x.stamp(), Key: key, Attempt: attempt, Sent: !o.has("unsent"), Trailer: o.trailer(),
		})
	case "cancel":
		x.apply(RequestCancelled{Stamp: x.stamp(), Key: key})
	default:
		x.change(command, currantloom.UpstreamName(args[0]), o)
	}
}

// change alters the upstreams or the node.
func (x *script) change(command string, upstream currantloom.UpstreamName, o scriptOptions) {
	switch command {
	case "down":
		x.down[upstream] = true
	case "silent":
		x.silent[upstream] = true
	case "status":
		x.now += time.Millisecond
		x.status[upstream] = currantloom.PostgresStatus{
			Role: currantloom.ParseRole(o.get("role", "replica")), Term: o.term(), GrantedTerm: o.granted(),
			Position: o.position("mark", "1/100"),
		}
		x.apply(StatusReceived{Stamp: x.stamp(), Upstream: upstream, SentAt: x.now, Status: x.status[upstream]})
	case "leaving":
		x.apply(VMsReceived{Stamp: x.stamp(), Set: currantloom.VMSet{
			VMs: scriptVMs(), LeavingUpstreams: []currantloom.UpstreamName{upstream},
		}})
	case "stop":
		x.apply(ShutdownRequested{Stamp: x.stamp()})
	default:
		x.t.Fatalf("unknown command %q", command)
	}
}

func (x *script) arrival(key currantloom.RequestKey, o scriptOptions) AttemptArrived {
	q := o.request(key)
	h := currantloom.RequestHeader{
		Key: key, Upstream: currantloom.UpstreamName(o.get("server", "a")), Organisation: q.Organisation,
		Database: q.Database,
		Kind:     q.Kind, Statement: q.Statement, Token: q.Token, MaxAge: q.MaxAge, OpensTransaction: q.OpensTransaction,
		Remaining: loomrules.DefaultShortDeadline,
	}
	if o.has("long") {
		h.Class, h.Remaining = currantloom.LongRequest, loomrules.DefaultLongDeadline
	}
	if o.has("remaining") {
		h.Remaining = duration(o.get("remaining", ""))
	}
	e := AttemptArrived{Stamp: x.stamp(), Header: h}
	if o.has("tx") {
		e.InTransaction, e.Transaction = true, scriptKey(o.get("tx", ""))
	}
	return e
}

// scriptOptions are the arguments of a line: words and name=value pairs.
type scriptOptions map[string]string

func options(args []string) scriptOptions {
	o := make(scriptOptions)
	for _, arg := range args {
		name, value, _ := strings.Cut(arg, "=")
		o[name] = value
	}
	return o
}

func (o scriptOptions) has(name string) bool { _, ok := o[name]; return ok }

func (o scriptOptions) get(name, otherwise string) string {
	if v, ok := o[name]; ok {
		return v
	}
	return otherwise
}

func (o scriptOptions) term() currantloom.Term { return currantloom.Term(number(o.get("term", "1"))) }

func (o scriptOptions) granted() currantloom.Term {
	return currantloom.Term(number(o.get("granted", o.get("term", "1"))))
}

func (o scriptOptions) position(name, otherwise string) currantloom.LogPosition {
	position, err := currantloom.ParseLogPosition(o.get(name, otherwise))
	if err != nil {
		panic(err)
	}
	return position
}

func (o scriptOptions) request(key currantloom.RequestKey) currantloom.Request {
	q := currantloom.Request{
		Key: key, Organisation: currantloom.OrganisationName(o.get("caller", "steyr")),
		Database: currantloom.DatabaseName(o.get("database", "wheel")), Statement: o.get("stmt", "s"),
		RequestID: o.get("id", ""), OpensTransaction: o.has("begins"),
		MaxAge: duration(o.get("age", "0s")), Deadline: duration(o.get("deadline", "0s")),
	}
	if o.has("others") {
		q.OtherStatements = strings.Split(o["others"], ",")
	}
	if o.has("read") {
		q.Kind = currantloom.ReadRequest
	}
	if o.has("token") {
		q.Token = currantloom.NewToken("wheel", o.position("token", ""))
	}
	return q
}

func (o scriptOptions) result() currantloom.PostgresResult {
	r := currantloom.PostgresResult{
		Verdict: currantloom.ParseVerdict(o.get("verdict", "ran")), Code: currantloom.SQLState(o.get("code", "")),
		Term: o.term(), Position: o.position("mark", "1/101"), ConfirmedCopies: int(number(o.get("confirmed", "2"))),
		Wrote: o.has("wrote"), ConnectionRefused: o.has("refused"), TransactionStatus: currantloom.TransactionIdle,
		ResponseStarted: o.has("started"),
	}
	if o.has("open") {
		r.TransactionStatus = currantloom.TransactionOpen
	}
	if o.has("verdict") {
		r.Err = errors.New("failed")
	}
	return r
}

func (o scriptOptions) trailer() currantloom.ResponseTrailer {
	return currantloom.ResponseTrailer{
		Verdict: currantloom.ParseVerdict(o.get("verdict", "ran")), SQLState: currantloom.SQLState(o.get("code", "")),
		RetryAfter: duration(o.get("retry", "0s")), UpstreamAnswered: !o.has("verdict"), ResponseStarted: o.has("started"),
		Term: o.term(), Primary: currantloom.UpstreamName(o.get("primary", "a")),
	}
}

func scriptKey(number string) currantloom.RequestKey {
	n, _ := strconv.ParseUint(number, 10, 64)
	return currantloom.RequestKey{VM: "vm-1", Number: n}
}

func number(text string) uint64 {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		panic(err)
	}
	return n
}

func duration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		panic(err)
	}
	return d
}

// show returns the form of an effect in scripts, empty for effects that scripts leave out.
func show(e Effect) string {
	switch e := e.(type) {
	case Run:
		return fmt.Sprint("run ", e.Key.Number)
	case Acknowledge:
		return fmt.Sprint("ack ", e.Key.Number)
	case Reject:
		return "reject " + showTrailer(e.Key, e.Trailer)
	case Complete:
		return "complete " + showTrailer(e.Key, e.Trailer)
	case ConfirmPosition:
		return fmt.Sprint("confirm ", e.Key.Number, " ", e.Upstream)
	case CancelRun:
		return fmt.Sprint("cancel ", e.Key.Number)
	case CloseConnection:
		return fmt.Sprint("close ", e.Transaction.Number)
	case Forward:
		return fmt.Sprint("forward ", e.Header.Key.Number, " ", e.Header.Upstream, "@", e.VM)
	case Respond:
		return "answer " + showTrailer(e.Key, e.Trailer)
	case CancelForward:
		return fmt.Sprint("cancelforward ", e.Key.Number, " ", e.VM)
	}
	return ""
}

func showTrailer(key currantloom.RequestKey, t currantloom.ResponseTrailer) string {
	text := fmt.Sprint(key.Number, " ", t.Verdict)
	if t.SQLState != "" {
		text += " " + string(t.SQLState)
	}
	if t.RetryAfter > 0 {
		text += " retry"
	}
	return text
}
