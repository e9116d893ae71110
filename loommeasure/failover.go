package loommeasure

import (
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomcore"
)

const (
	// probeInterval keeps the load below the rate at which a primary commits when only the replica in the other region
	// is left.
	probeInterval    = 40 * time.Millisecond
	probeServiceTime = time.Millisecond
	probeDuration    = 20 * time.Second
	faultDelay       = 2 * time.Second
	// maxVMListLag is the maximum delay until a node sees a change of the VM list.
	maxVMListLag = 2 * time.Second
)

// writeProbe issues writes at a fixed interval and records their outcomes.
type writeProbe struct {
	sim            *simulation
	acknowledgedAt []time.Duration
	positions      []currantloom.LogPosition
	refused        int
	unknown        int
}

func (p *writeProbe) start(until time.Duration) {
	sim := p.sim
	var issueNext func()
	issueNext = func() {
		if sim.now >= until {
			return
		}
		q := sim.newWrite("steyr", probeServiceTime)
		q.onResponse = p.record
		sim.issue(q)
		sim.after(probeInterval, issueNext)
	}
	issueNext()
}

func (p *writeProbe) record(_ *query, t currantloom.ResponseTrailer, _ time.Duration) {
	switch t.Verdict {
	case currantloom.Ran:
		p.acknowledgedAt = append(p.acknowledgedAt, p.sim.now)
		p.positions = append(p.positions, t.Token.Position())
	case currantloom.NotRun:
		p.refused++
	default:
		p.unknown++
	}
}

// longestInterruption returns the longest time between two acknowledgements.
func (p *writeProbe) longestInterruption() time.Duration {
	longest := time.Duration(0)
	for i := 1; i < len(p.acknowledgedAt); i++ {
		longest = max(longest, p.acknowledgedAt[i]-p.acknowledgedAt[i-1])
	}
	return longest
}

// lostWrites returns the number of acknowledged writes that are missing from the log of the final primary.
func (p *writeProbe) lostWrites() int {
	primary := p.sim.primary(p.sim.databases[0].Name())
	count := 0
	for _, position := range p.positions {
		index := int(position.Index()) - 1
		if index < 0 || index >= len(primary.log) || primary.log[index].term != position.Term() {
			count++
		}
	}
	return count
}

func (p *writeProbe) results() []result {
	return []result{
		{"interruption of writes", "ms", milliseconds(p.longestInterruption())},
		{"refused writes", "", float64(p.refused)},
		{"writes with unknown outcome", "", float64(p.unknown)},
		{"acknowledged writes lost", "", float64(p.lostWrites())},
	}
}

// measureProcessLoss measures how long writes are interrupted when the primary's process dies.
func measureProcessLoss(d deployment, policy policy, seed uint64) []result {
	return measurePrimaryLoss(d, policy, seed, (*upstream).crash)
}

// measureVMLoss measures how long writes are interrupted when the primary's VM is lost and connections to it stay open
// without an answer.
func measureVMLoss(d deployment, policy policy, seed uint64) []result {
	return measurePrimaryLoss(d, policy, seed, (*upstream).loseVM)
}

func measurePrimaryLoss(d deployment, policy policy, seed uint64, fail func(*upstream)) []result {
	sim := newSimulation(d, policy, seed, "")
	probe := &writeProbe{sim: sim}
	probe.start(sim.now + probeDuration)
	primary := sim.primary(sim.databases[0].Name())
	sim.after(faultDelay+time.Duration(sim.random.Int64N(int64(time.Second))), func() { fail(primary) })
	sim.runUntil(sim.now + probeDuration + 12*time.Second)
	return probe.results()
}

// measurePlannedChange measures how long writes are interrupted when the VM list marks the primary as leaving. Under
// policyNoHandover nothing marks it: its process stops after the time within which every node would have seen the mark.
func measurePlannedChange(d deployment, policy policy, seed uint64) []result {
	sim := newSimulation(d, policy, seed, "")
	probe := &writeProbe{sim: sim}
	probe.start(sim.now + probeDuration)
	primary := sim.primary(sim.databases[0].Name())
	if policy == policyNoHandover {
		sim.after(faultDelay+maxVMListLag, primary.crash)
	} else {
		sim.vmSet.LeavingUpstreams = []currantloom.UpstreamName{primary.description.Name()}
		for _, n := range sim.nodes {
			lag := time.Duration(sim.random.Int64N(int64(maxVMListLag)))
			sim.after(faultDelay+lag, func() { n.deliver(loomcore.VMsReceived{Set: sim.vmSet}) })
		}
	}
	sim.runUntil(sim.now + probeDuration + 12*time.Second)
	return probe.results()
}
