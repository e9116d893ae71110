package loommeasure

import (
	"errors"
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomcore"
	"currantloom.example/currantloom/loomrules"
)

// fewDatabases is the number of databases in measures of requests.
const fewDatabases = 100

// bench runs states of the core with a clock of its own.
type bench struct {
	now    time.Duration
	random uint64
	number uint64
	set    currantloom.VMSet
	list   []currantloom.Database
}

func newBench(vms, databases int) *bench {
	return &bench{set: fleetVMs(vms), list: fleetDatabases(databases)}
}

// stamp returns the stamp of the next event. The random numbers are the same in each run.
func (b *bench) stamp() loomcore.Stamp {
	b.random = b.random*6364136223846793005 + 1442695040888963407
	return loomcore.Stamp{Now: b.now, Random: b.random >> 8}
}

// state returns a state that knows the VM list.
func (b *bench) state(vm int) *loomcore.State {
	s := loomcore.New(loomcore.Config{
		Self: b.set.VMs[vm].Name(), Location: b.set.VMs[vm].Location(), Databases: b.list,
	})
	s.Reduce(loomcore.VMsReceived{Stamp: b.stamp(), Set: b.set})
	return s
}

// tick passes the time to the next tick and answers the polls: the first server of each database leads term 1. It
// returns the number of polls.
func (b *bench) tick(s *loomcore.State) int {
	b.now += loomcore.TickInterval
	var polled []currantloom.UpstreamName
	for _, e := range s.Reduce(loomcore.Tick{Stamp: b.stamp()}) {
		if p, ok := e.(loomcore.PollStatus); ok {
			polled = append(polled, p.Upstream)
		}
	}
	for _, name := range polled {
		s.Reduce(loomcore.StatusReceived{Stamp: b.stamp(), Upstream: name, SentAt: b.now, Status: b.status(name)})
	}
	return len(polled)
}

// status returns the report of a server whose log grows by one entry each tick.
func (b *bench) status(name currantloom.UpstreamName) currantloom.PostgresStatus {
	status := currantloom.PostgresStatus{
		Term: 1, GrantedTerm: 1, Position: currantloom.NewLogPosition(1, currantloom.LogIndex(b.now/loomcore.TickInterval)),
	}
	if name[len(name)-1] == 'a' {
		status.Role = currantloom.RolePrimary
	}
	return status
}

// settle runs ticks until the samples of the groups are complete.
func (b *bench) settle(s *loomcore.State, ticks int) {
	for range ticks {
		b.tick(s)
	}
}

// carrying returns the state of the only VM of a fleet, which carries all servers.
func carrying(databases int) (*bench, *loomcore.State) {
	b := newBench(1, databases)
	return b, b.state(0)
}

// samplesTicks is the number of ticks in which a group collects all its 64 samples, one for each poll.
const samplesTicks = 800

func stateMeasures() []capacityMeasure {
	return []capacityMeasure{
		{"memory of a state", "bytes", "VM in the list", []int{75, 300, 1200}, designVMs, memoryOfVMs},
		{"memory of a state", "bytes", "database known", []int{94, 375, 1500}, designDatabases, memoryOfDatabases},
		{"memory of a state", "bytes", "database carried", []int{4, 8, 16}, 4, memoryOfCarried},
		{"memory at the entry", "bytes", "request in flight", []int{256, 1024, 4096}, designStatements, memoryOfRequests},
		{"memory at the carrier", "bytes", "request queued", []int{256, 1024, 4096}, designStatements, memoryOfWork},
		{"processor time of a tick", "us", "VM in the list", []int{75, 300, 1200}, designVMs, tickOverVMs},
		{"processor time of a tick", "us", "database known", []int{94, 375, 1500}, designDatabases, tickOverDatabases},
		{"processor time of a tick and polls", "us", "database carried", []int{4, 8, 16}, 4, tickOverCarried},
		{"processor time of a write, both cores", "us", "VM in the list", []int{75, 300, 1200}, designVMs, timeOfWrite},
		{"processor time of a VM list change", "us", "VM in the list", []int{75, 300, 1200}, designVMs, listChangeOverVMs},
		{
			"processor time of a VM list change", "us", "database known", []int{94, 375, 1500}, designDatabases,
			listChangeOverDatabases,
		},
		{
			"status polls a second, mean of the nodes", "polls", "VM, 5 databases for 4 VMs", []int{75, 300, 1200}, designVMs,
			func(n int) (float64, error) {
				mean, _ := pollRate(n)
				return mean, nil
			},
		},
		{
			"status polls a second, most of a node", "polls", "VM, 5 databases for 4 VMs", []int{75, 300, 1200}, designVMs,
			func(n int) (float64, error) {
				_, most := pollRate(n)
				return most, nil
			},
		},
		{"processor time of a rules change, with parsing", "us", "line", []int{94, 375, 1500}, rulesLines, timeOfRules},
	}
}

func memoryOfVMs(n int) (float64, error) {
	return retained(func() any { return newBench(n, 0).state(0) }), nil
}

func memoryOfDatabases(n int) (float64, error) {
	return retained(func() any { return newBench(designVMs, n).state(0) }), nil
}

// memoryOfCarried measures the views alone, with what the state keeps for the databases already built.
func memoryOfCarried(n int) (float64, error) {
	b, s := carrying(n)
	size := retained(func() any { b.settle(s, samplesTicks); return []any{b, s} })
	return size, nil
}

// request returns a write to one of the databases.
func (b *bench) request(entry currantloom.VMName, database int) currantloom.Request {
	b.number++
	return currantloom.Request{
		Key: currantloom.RequestKey{VM: entry, Number: b.number}, Organisation: "caller-001",
		Database: b.list[database].Name(), Kind: currantloom.WriteRequest,
		Statement: "update orders set n = n + 1 where id = $1",
	}
}

func memoryOfRequests(n int) (float64, error) {
	b := newBench(designVMs, fewDatabases)
	s := b.state(0)
	return retained(func() any {
		for i := range n {
			s.Reduce(loomcore.RequestArrived{Stamp: b.stamp(), Request: b.request(b.set.VMs[0].Name(), i%fewDatabases)})
		}
		return []any{b, s}
	}), nil
}

// memoryOfWork queues work at one server. Its deadline is so late that none is refused.
func memoryOfWork(n int) (float64, error) {
	b, s := carrying(4)
	b.settle(s, 20)
	refused := 0
	size := retained(func() any {
		for range n {
			r := b.request(b.set.VMs[0].Name(), 0)
			for _, e := range s.Reduce(loomcore.AttemptArrived{Stamp: b.stamp(), Header: currantloom.RequestHeader{
				Key: r.Key, Upstream: b.list[0].Upstreams()[0].Name(), Organisation: r.Organisation, Database: r.Database,
				Statement: r.Statement, Remaining: time.Hour,
			}}) {
				if _, ok := e.(loomcore.Reject); ok {
					refused++
				}
			}
		}
		return []any{b, s}
	})
	if refused > 0 {
		return 0, currantloom.ErrInput.New("%d of %d requests were refused", refused, n)
	}
	return size, nil
}

func tickOverVMs(n int) (float64, error)       { return timeOfTick(newBench(n, 0)) }
func tickOverDatabases(n int) (float64, error) { return timeOfTick(newBench(designVMs, n)) }

func timeOfTick(b *bench) (float64, error) {
	s := b.state(0)
	b.settle(s, 20)
	return leastTime(2000, func() { b.tick(s) }), nil
}

func tickOverCarried(n int) (float64, error) {
	b, s := carrying(n)
	b.settle(s, samplesTicks)
	return leastTime(2000, func() { b.tick(s) }), nil
}

// listChange is the time of a list in which one VM is leaving or not, in turn.
func (b *bench) listChange() (float64, error) {
	s := b.state(0)
	changed := currantloom.VMSet{VMs: append([]currantloom.VM(nil), b.set.VMs...), Index: 2}
	last := &changed.VMs[len(changed.VMs)-1]
	*last = currantloom.NewVM(
		last.Name(), last.Location(), last.LinkAddress(), last.ControlAddress(), currantloom.VMLeaving)
	sets := []currantloom.VMSet{changed, b.set}
	i := 0
	return leastTime(20, func() {
		s.Reduce(loomcore.VMsReceived{Stamp: b.stamp(), Set: sets[i%2]})
		i++
	}), nil
}

func listChangeOverVMs(n int) (float64, error)       { return newBench(n, 0).listChange() }
func listChangeOverDatabases(n int) (float64, error) { return newBench(designVMs, n).listChange() }

func timeOfRules(lines int) (float64, error) {
	b := newBench(designVMs, designDatabases)
	s := b.state(0)
	texts := []string{rulesText(lines, 0), rulesText(lines, 1)}
	revision := 0
	var failure error
	t := leastTime(5, func() {
		revision++
		text := texts[revision%2]
		rules, err := loomrules.Parse(text)
		failure = errors.Join(failure, err)
		document := currantloom.NewRulesDocument(currantloom.RulesRevision(revision), "change", text)
		s.Reduce(loomcore.RulesReceived{Stamp: b.stamp(), Document: document, Rules: rules})
	})
	return t, failure
}

// timeOfWrite is the time of all events of a write at its entry node and at its carrier.
func timeOfWrite(n int) (float64, error) {
	b := newBench(n, fewDatabases)
	entry, name := b.state(0), b.set.VMs[0].Name()
	forward, ok := findEffect[loomcore.Forward](entry.Reduce(loomcore.RequestArrived{
		Stamp: b.stamp(), Request: b.request(name, 1),
	}))
	if !ok {
		return 0, currantloom.ErrInput.New("request was not forwarded")
	}
	carrier := entry
	for i, vm := range b.set.VMs {
		if vm.Name() == forward.VM && i > 0 {
			carrier = b.state(i)
		}
	}
	b.settle(carrier, 40)
	entry.Reduce(loomcore.ForwardFinished{Stamp: b.stamp(), Key: forward.Header.Key.Request(), Attempt: forward.Attempt})
	failed := 0
	t := leastTime(2000, func() {
		if !b.write(entry, carrier, b.request(name, 1)) {
			failed++
		}
	})
	if failed > 0 {
		return 0, currantloom.ErrInput.New("%d writes were not acknowledged", failed)
	}
	return t, nil
}

// write passes the events of a write through both states and reports whether it was acknowledged.
func (b *bench) write(entry, carrier *loomcore.State, r currantloom.Request) bool {
	b.now += time.Millisecond
	forward, ok := findEffect[loomcore.Forward](entry.Reduce(loomcore.RequestArrived{Stamp: b.stamp(), Request: r}))
	if !ok {
		return false
	}
	effects := carrier.Reduce(loomcore.AttemptArrived{Stamp: b.stamp(), Header: forward.Header})
	if _, ok := findEffect[loomcore.Run](effects); !ok {
		return false
	}
	result := currantloom.PostgresResult{
		Verdict: currantloom.Ran, Term: 1, Position: currantloom.NewLogPosition(1, currantloom.LogIndex(b.number+1_000_000)),
		ConfirmedCopies: 2, Wrote: true, TransactionStatus: currantloom.TransactionIdle,
	}
	effects = carrier.Reduce(loomcore.RunAnswered{Stamp: b.stamp(), Key: forward.Header.Key, Result: result})
	if _, ok := findEffect[loomcore.Acknowledge](effects); !ok {
		return false
	}
	complete, ok := findEffect[loomcore.Complete](
		carrier.Reduce(loomcore.RunFinished{Stamp: b.stamp(), Key: forward.Header.Key, Result: result}))
	if !ok {
		return false
	}
	_, ok = findEffect[loomcore.Respond](entry.Reduce(loomcore.ForwardFinished{
		Stamp: b.stamp(), Key: r.Key, Attempt: forward.Attempt, Sent: true, Trailer: complete.Trailer,
	}))
	return ok
}

// findEffect returns the first effect of a type.
func findEffect[E loomcore.Effect](effects []loomcore.Effect) (E, bool) {
	for _, e := range effects {
		if found, ok := e.(E); ok {
			return found, true
		}
	}
	var none E
	return none, false
}

// pollSample is the number of nodes whose polls are counted at most twice over.
const pollSample = 100

// pollRate returns the polls that a node sends a second, the mean and the most over a sample of the nodes. The fleet
// has as many databases for a VM as at the design scale.
func pollRate(vms int) (mean, most float64) {
	b := newBench(vms, vms*designDatabases/designVMs)
	sampled := 0.0
	for i := 0; i < vms; i += max(1, vms/pollSample) {
		s := b.state(i)
		const settled, counted = 40, 40
		polls := 0
		for tick := range settled + counted {
			if n := b.tick(s); tick >= settled {
				polls += n
			}
		}
		rate := float64(polls) / (counted * loomcore.TickInterval).Seconds()
		mean += rate
		most = max(most, rate)
		sampled++
	}
	return mean / sampled, most
}
