package loomfleet

import (
	"testing"
	"time"

	"currantloom.example/currantloom"
)

// load is a swing of the load at one upstream: for a time more work arrives than the slots can run.
type load struct {
	// runs are the times of the runs, in turn.
	runs []time.Duration
	// wayBack is the time from the end of a run to the client.
	wayBack time.Duration
}

func (l load) averageRun() time.Duration {
	sum := time.Duration(0)
	for _, r := range l.runs {
		sum += r
	}
	return sum / time.Duration(len(l.runs))
}

// replay returns the share of the work whose answer arrives within the wanted latency, in percent.
func (l load) replay(next func(q *queue, now, run time.Duration) *job) int {
	const (
		slots    = 2
		goal     = 800 * time.Millisecond
		overload = 6 * time.Millisecond // two slots run a statement every 7.5 ms
		arrivals = 1000
	)
	var q queue
	free := make([]time.Duration, slots)
	met, started := 0, 0
	work := func(i int) *job {
		at := time.Duration(i) * overload
		return &job{latencyTargetAt: at + goal, call: currantloom.Call{Priority: 1, LatencyBudget: goal}}
	}
	arrived := 0
	for now := time.Duration(0); now < 30*time.Second; now += time.Millisecond {
		for arrived < arrivals && time.Duration(arrived)*overload <= now {
			q.add(work(arrived))
			arrived++
		}
		for i := range free {
			if free[i] > now {
				continue
			}
			if j := next(&q, now, l.averageRun()); j != nil {
				free[i] = now + l.runs[started%len(l.runs)]
				started++
				if free[i]+l.wayBack <= j.latencyTargetAt {
					met++
				}
			}
		}
	}
	return 100 * met / arrivals
}

func firstCome(q *queue, _, _ time.Duration) *job {
	if len(q.waiting) == 0 {
		return nil
	}
	return q.take(0)
}

func byGoal(q *queue, now, run time.Duration) *job {
	return q.next(now, run, func(*job) bool { return true })
}

// TestCrest guards against a queue that lets everybody wait until it is too late for all, or hands work out so late
// that only a short run still ends in time. The slots run 80% of what arrives in time.
func TestCrest(t *testing.T) {
	for name, l := range map[string]load{
		"equal runs": {runs: []time.Duration{15 * time.Millisecond}},
		"long runs and a long way back": {
			runs:    []time.Duration{5 * time.Millisecond, 8 * time.Millisecond, 32 * time.Millisecond},
			wayBack: 33 * time.Millisecond,
		},
	} {
		t.Run(name, func(t *testing.T) {
			first, got := l.replay(firstCome), l.replay(byGoal)
			if got < 75 {
				t.Errorf("%d%% of the work met its goal, want 75%%", got)
			}
			if first >= got {
				t.Errorf("first come, first served: %d%%, with goals: %d%%", first, got)
			}
			t.Logf("met their goal: first come, first served %d%%, with goals %d%%", first, got)
		})
	}
}

// TestTransactionReserve guards against a transaction that starts in time and whose later statements are late.
func TestTransactionReserve(t *testing.T) {
	goal := 800 * time.Millisecond
	single := &job{latencyTargetAt: goal, call: currantloom.Call{LatencyBudget: goal}}
	first := &job{latencyTargetAt: goal, call: currantloom.Call{LatencyBudget: goal, Mode: currantloom.CallBegin}}
	now := goal * 55 / 100
	if single.isLate(now, 0) || !first.isLate(now, 0) {
		t.Errorf("at 55%% of the goal: statement late %t, transaction late %t; want the transaction only",
			single.isLate(now, 0), first.isLate(now, 0))
	}
}

// TestHerd guards against a connection for each statement that waits: after an outage their opening would occupy the
// slots of the upstream for seconds.
func TestHerd(t *testing.T) {
	const waiting, slots = 200, 4
	f := newFixture(t)
	f.configure(currantloom.ReadLatest)
	u := f.state.catalog.upstreams["a"]
	u.Slots = slots
	p := f.state.poolOf(u)
	call := currantloom.Call{
		Service: testService, Upstream: "a", Mode: currantloom.CallPrimaryRead, QueueTimeout: time.Second,
		LatencyBudget: time.Second,
		Timeout:       time.Second,
	}
	for i := range uint64(waiting) {
		call.Key.Number = i + 1
		f.reduce(MessageReceived{Stamp: f.stamp(), From: "vm-2", Link: 1, Message: call})
	}
	if got := len(p.conns); got > max(slots/2, warmConnections) {
		t.Errorf("%d connections are opened at once, want half of the %d slots", got, slots)
	}
	for range waiting {
		for _, cn := range p.conns {
			if cn.state == connOpening {
				f.reduce(ConnOpened{Stamp: f.stamp(), Conn: cn.id})
			}
		}
	}
	if got := len(p.conns); got > slots+extraJobs+probeConnections {
		t.Errorf("%d connections, want one for each of %d slots and runs to spare", got, slots+extraJobs+probeConnections)
	}
	if p.running != slots+extraJobs {
		t.Errorf("%d statements run, want %d", p.running, slots+extraJobs)
	}
}
