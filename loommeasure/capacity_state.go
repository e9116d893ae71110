package loommeasure

import (
	"errors"
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomcore"
	"currantloom.example/currantloom/loomrules"
)

// requestDatabases is the number of databases in the measures of requests.
const requestDatabases = 100

// coreBench runs states of loomcore on a virtual clock.
type coreBench struct {
	now         time.Duration
	lastRandom  uint64
	lastRequest uint64
	vmSet       currantloom.VMSet
	databases   []currantloom.Database
}

func newCoreBench(vms, databases int) *coreBench {
	return &coreBench{vmSet: fleetVMs(vms), databases: fleetDatabases(databases)}
}

// stamp returns the stamp of the next event. The random numbers are the same in every run.
func (b *coreBench) stamp() loomcore.Stamp {
	b.lastRandom = b.lastRandom*6364136223846793005 + 1442695040888963407
	return loomcore.Stamp{Now: b.now, Random: b.lastRandom >> 8}
}

// state returns the state of the VM with the index, with the VM list delivered.
func (b *coreBench) state(vm int) *loomcore.State {
	s := loomcore.New(loomcore.Config{
		Self: b.vmSet.VMs[vm].Name(), Location: b.vmSet.VMs[vm].Location(), Databases: b.databases,
	})
	s.Reduce(loomcore.VMsReceived{Stamp: b.stamp(), Set: b.vmSet})
	return s
}

// tick advances the clock by a tick and answers the polls: the first upstream of each database is the primary in
// term 1. It returns the number of polls.
func (b *coreBench) tick(s *loomcore.State) int {
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

// status returns the status of an upstream whose log grows by one entry per tick.
func (b *coreBench) status(name currantloom.UpstreamName) currantloom.PostgresStatus {
	status := currantloom.PostgresStatus{
		Term: 1, GrantedTerm: 1, Position: currantloom.NewLogPosition(1, currantloom.LogIndex(b.now/loomcore.TickInterval)),
	}
	if name[len(name)-1] == 'a' {
		status.Role = currantloom.RolePrimary
	}
	return status
}

// runTicks runs a number of ticks, for example until the groups have collected their samples.
func (b *coreBench) runTicks(s *loomcore.State, ticks int) {
	for range ticks {
		b.tick(s)
	}
}

// newOwner returns the state of the only VM of a fleet, which owns all upstreams.
func newOwner(databases int) (*coreBench, *loomcore.State) {
	b := newCoreBench(1, databases)
	return b, b.state(0)
}

// ticksToFillSamples is the number of ticks in which a group collects all of its 64 position samples, one per poll.
const ticksToFillSamples = 800

func stateMeasures() []capacityMeasure {
	return []capacityMeasure{
		{"memory of a state", "bytes", "VM in the list", []int{75, 300, 1200}, designVMs, vmMemory},
		{"memory of a state", "bytes", "database known", []int{94, 375, 1500}, designDatabases, databaseMemory},
		{"memory of a state", "bytes", "database carried", []int{4, 8, 16}, 4, ownedDatabaseMemory},
		{
			"memory at the entry", "bytes", "request in flight", []int{256, 1024, 4096}, designStatementsPerSecond,
			requestMemory,
		},
		{
			"memory at the carrier", "bytes", "request queued", []int{256, 1024, 4096}, designStatementsPerSecond,
			queuedAttemptMemory,
		},
		{"processor time of a tick", "us", "VM in the list", []int{75, 300, 1200}, designVMs, tickTimeByVMs},
		{"processor time of a tick", "us", "database known", []int{94, 375, 1500}, designDatabases, tickTimeByDatabases},
		{"processor time of a tick and polls", "us", "database carried", []int{4, 8, 16}, 4, tickTimeByOwnedDatabases},
		{"processor time of a write, both cores", "us", "VM in the list", []int{75, 300, 1200}, designVMs, writeTime},
		{
			"processor time of a VM list change", "us", "VM in the list", []int{75, 300, 1200}, designVMs,
			vmListChangeTimeByVMs,
		},
		{
			"processor time of a VM list change", "us", "database known", []int{94, 375, 1500}, designDatabases,
			vmListChangeTimeByDatabases,
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
		{
			"processor time of a rules change, with parsing", "us", "line", []int{94, 375, 1500}, rulesLineCount,
			rulesChangeTime,
		},
	}
}

func vmMemory(n int) (float64, error) {
	return heapGrowth(func() any { return newCoreBench(n, 0).state(0) }), nil
}

func databaseMemory(n int) (float64, error) {
	return heapGrowth(func() any { return newCoreBench(designVMs, n).state(0) }), nil
}

// ownedDatabaseMemory measures only what ticks and polls add to a state; the memory of the configured databases is in
// use before.
func ownedDatabaseMemory(n int) (float64, error) {
	b, s := newOwner(n)
	size := heapGrowth(func() any { b.runTicks(s, ticksToFillSamples); return []any{b, s} })
	return size, nil
}

// newRequest returns a write to the database with the index.
func (b *coreBench) newRequest(entry currantloom.VMName, database int) currantloom.Request {
	b.lastRequest++
	return currantloom.Request{
		Key: currantloom.RequestKey{VM: entry, Number: b.lastRequest}, Organisation: "caller-001",
		Database: b.databases[database].Name(), Kind: currantloom.WriteRequest,
		Statement: "update orders set n = n + 1 where id = $1",
	}
}

func requestMemory(n int) (float64, error) {
	b := newCoreBench(designVMs, requestDatabases)
	s := b.state(0)
	return heapGrowth(func() any {
		for i := range n {
			s.Reduce(loomcore.RequestArrived{Stamp: b.stamp(), Request: b.newRequest(b.vmSet.VMs[0].Name(), i%requestDatabases)})
		}
		return []any{b, s}
	}), nil
}

// queuedAttemptMemory queues attempts at one upstream. Their deadline is so late that none is refused.
func queuedAttemptMemory(n int) (float64, error) {
	b, s := newOwner(4)
	b.runTicks(s, 20)
	refused := 0
	size := heapGrowth(func() any {
		for range n {
			r := b.newRequest(b.vmSet.VMs[0].Name(), 0)
			for _, e := range s.Reduce(loomcore.AttemptArrived{Stamp: b.stamp(), Header: currantloom.RequestHeader{
				Key: r.Key, Upstream: b.databases[0].Upstreams()[0].Name(), Organisation: r.Organisation, Database: r.Database,
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

func tickTimeByVMs(n int) (float64, error)       { return tickTime(newCoreBench(n, 0)) }
func tickTimeByDatabases(n int) (float64, error) { return tickTime(newCoreBench(designVMs, n)) }

func tickTime(b *coreBench) (float64, error) {
	s := b.state(0)
	b.runTicks(s, 20)
	return minCPUTime(2000, func() { b.tick(s) }), nil
}

func tickTimeByOwnedDatabases(n int) (float64, error) {
	b, s := newOwner(n)
	b.runTicks(s, ticksToFillSamples)
	return minCPUTime(2000, func() { b.tick(s) }), nil
}

// vmListChangeTime returns the processor time of receiving a VM list in which one VM starts or stops leaving.
func (b *coreBench) vmListChangeTime() (float64, error) {
	s := b.state(0)
	changed := currantloom.VMSet{VMs: append([]currantloom.VM(nil), b.vmSet.VMs...), Index: 2}
	last := &changed.VMs[len(changed.VMs)-1]
	*last = currantloom.NewVM(
		last.Name(), last.Location(), last.LinkAddress(), last.ControlAddress(), currantloom.VMLeaving)
	sets := []currantloom.VMSet{changed, b.vmSet}
	i := 0
	return minCPUTime(20, func() {
		s.Reduce(loomcore.VMsReceived{Stamp: b.stamp(), Set: sets[i%2]})
		i++
	}), nil
}

func vmListChangeTimeByVMs(n int) (float64, error) { return newCoreBench(n, 0).vmListChangeTime() }

func vmListChangeTimeByDatabases(n int) (float64, error) {
	return newCoreBench(designVMs, n).vmListChangeTime()
}

func rulesChangeTime(lines int) (float64, error) {
	b := newCoreBench(designVMs, designDatabases)
	s := b.state(0)
	texts := []string{rulesText(lines, 0), rulesText(lines, 1)}
	revision := 0
	var failure error
	microseconds := minCPUTime(5, func() {
		revision++
		text := texts[revision%2]
		rules, err := loomrules.Parse(text)
		failure = errors.Join(failure, err)
		document := currantloom.NewRulesDocument(currantloom.RulesRevision(revision), "change", text)
		s.Reduce(loomcore.RulesReceived{Stamp: b.stamp(), Document: document, Rules: rules})
	})
	return microseconds, failure
}

// writeTime returns the processor time of all events of a write, at its entry node and at the owner of the primary.
func writeTime(n int) (float64, error) {
	b := newCoreBench(n, requestDatabases)
	entry, name := b.state(0), b.vmSet.VMs[0].Name()
	forward, ok := findEffect[loomcore.Forward](entry.Reduce(loomcore.RequestArrived{
		Stamp: b.stamp(), Request: b.newRequest(name, 1),
	}))
	if !ok {
		return 0, currantloom.ErrInput.New("request was not forwarded")
	}
	owner := entry
	for i, vm := range b.vmSet.VMs {
		if vm.Name() == forward.VM && i > 0 {
			owner = b.state(i)
		}
	}
	b.runTicks(owner, 40)
	entry.Reduce(loomcore.ForwardFinished{Stamp: b.stamp(), Key: forward.Header.Key.Request(), Attempt: forward.Attempt})
	failed := 0
	microseconds := minCPUTime(2000, func() {
		if !b.runWrite(entry, owner, b.newRequest(name, 1)) {
			failed++
		}
	})
	if failed > 0 {
		return 0, currantloom.ErrInput.New("%d writes were not acknowledged", failed)
	}
	return microseconds, nil
}

// runWrite delivers the events of a write to both states and reports whether the write was acknowledged.
func (b *coreBench) runWrite(entry, owner *loomcore.State, r currantloom.Request) bool {
	b.now += time.Millisecond
	forward, ok := findEffect[loomcore.Forward](entry.Reduce(loomcore.RequestArrived{Stamp: b.stamp(), Request: r}))
	if !ok {
		return false
	}
	effects := owner.Reduce(loomcore.AttemptArrived{Stamp: b.stamp(), Header: forward.Header})
	if _, ok := findEffect[loomcore.Run](effects); !ok {
		return false
	}
	result := currantloom.PostgresResult{
		Verdict: currantloom.Ran, Term: 1,
		Position:        currantloom.NewLogPosition(1, currantloom.LogIndex(b.lastRequest+1_000_000)),
		ConfirmedCopies: 2, Wrote: true, TransactionStatus: currantloom.TransactionIdle,
	}
	effects = owner.Reduce(loomcore.RunAnswered{Stamp: b.stamp(), Key: forward.Header.Key, Result: result})
	if _, ok := findEffect[loomcore.Acknowledge](effects); !ok {
		return false
	}
	complete, ok := findEffect[loomcore.Complete](
		owner.Reduce(loomcore.RunFinished{Stamp: b.stamp(), Key: forward.Header.Key, Result: result}))
	if !ok {
		return false
	}
	_, ok = findEffect[loomcore.Respond](entry.Reduce(loomcore.ForwardFinished{
		Stamp: b.stamp(), Key: r.Key, Attempt: forward.Attempt, Sent: true, Trailer: complete.Trailer,
	}))
	return ok
}

// findEffect returns the first effect of type E.
func findEffect[E loomcore.Effect](effects []loomcore.Effect) (E, bool) {
	for _, e := range effects {
		if found, ok := e.(E); ok {
			return found, true
		}
	}
	var none E
	return none, false
}

// polledNodeSample is the number of nodes whose polls are counted. The sample may have up to twice as many.
const polledNodeSample = 100

// pollRate returns how many polls a node sends per second: the mean and the maximum over a sample of the nodes. The
// fleet has as many databases per VM as the design scale.
func pollRate(vms int) (mean, most float64) {
	b := newCoreBench(vms, vms*designDatabases/designVMs)
	sampled := 0.0
	for i := 0; i < vms; i += max(1, vms/polledNodeSample) {
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
