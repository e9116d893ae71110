package loommeasure

import (
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomcore"
)

const (
	// probeEvery keeps the load below what a primary confirms with the replica behind the link only.
	probeEvery    = 40 * time.Millisecond
	probeWork     = time.Millisecond
	failoverTime  = 20 * time.Second
	failoverAfter = 2 * time.Second
	// listLag is the most that a node's VM list lags behind.
	listLag = 2 * time.Second
)

// probes writes at short intervals and notes what became of the writes.
type probes struct {
	world     *world
	successes []time.Duration
	marks     []currantloom.LogPosition
	refused   int
	unknown   int
}

func (p *probes) start(until time.Duration) {
	w := p.world
	var next func()
	next = func() {
		if w.now >= until {
			return
		}
		q := w.write("steyr", probeWork)
		q.done = p.done
		w.issue(q)
		w.after(probeEvery, next)
	}
	next()
}

func (p *probes) done(_ *query, t currantloom.ResponseTrailer, _ time.Duration) {
	switch t.Verdict {
	case currantloom.Ran:
		p.successes = append(p.successes, p.world.now)
		p.marks = append(p.marks, t.Token.Position())
	case currantloom.NotRun:
		p.refused++
	default:
		p.unknown++
	}
}

// interruption returns the longest time between two successful answers.
func (p *probes) interruption() time.Duration {
	longest := time.Duration(0)
	for i := 1; i < len(p.successes); i++ {
		longest = max(longest, p.successes[i]-p.successes[i-1])
	}
	return longest
}

// lost returns the number of acknowledged writes that the last primary does not hold.
func (p *probes) lost() int {
	primary := p.world.primary(p.world.list[0].Name())
	n := 0
	for _, m := range p.marks {
		i := int(m.Index()) - 1
		if i < 0 || i >= len(primary.log) || primary.log[i].term != m.Term() {
			n++
		}
	}
	return n
}

func (p *probes) values() []value {
	return []value{
		{"interruption of writes", "ms", milliseconds(p.interruption())},
		{"refused writes", "", float64(p.refused)},
		{"writes with unknown outcome", "", float64(p.unknown)},
		{"acknowledged writes lost", "", float64(p.lost())},
	}
}

// measureCrash measures how long writes are interrupted when the primary's process dies.
func measureCrash(d deployment, policy policy, seed uint64) []value {
	return measureLoss(d, policy, seed, (*server).stop)
}

// measureSilence measures the same when the primary's VM is gone and connections to it get no answer.
func measureSilence(d deployment, policy policy, seed uint64) []value {
	return measureLoss(d, policy, seed, (*server).vanish)
}

func measureLoss(d deployment, policy policy, seed uint64, lose func(*server)) []value {
	w := newWorld(d, policy, seed, "")
	p := &probes{world: w}
	p.start(w.now + failoverTime)
	primary := w.primary(w.list[0].Name())
	w.after(failoverAfter+time.Duration(w.random.Int64N(int64(time.Second))), func() { lose(primary) })
	w.runUntil(w.now + failoverTime + 12*time.Second)
	return p.values()
}

// measurePlanned measures how long writes are interrupted when the primary is marked as leaving. Without handover its
// process is stopped once every node has the mark.
func measurePlanned(d deployment, policy policy, seed uint64) []value {
	w := newWorld(d, policy, seed, "")
	p := &probes{world: w}
	p.start(w.now + failoverTime)
	primary := w.primary(w.list[0].Name())
	if policy == policyNoHandover {
		w.after(failoverAfter+listLag, primary.stop)
	} else {
		w.set.LeavingUpstreams = []currantloom.UpstreamName{primary.server.Name()}
		for _, n := range w.nodes {
			lag := time.Duration(w.random.Int64N(int64(listLag)))
			w.after(failoverAfter+lag, func() { n.deliver(loomcore.VMsReceived{Set: w.set}) })
		}
	}
	w.runUntil(w.now + failoverTime + 12*time.Second)
	return p.values()
}
