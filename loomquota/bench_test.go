package loomquota

import (
	"fmt"
	"testing"
	"time"

	"currantloom.example/currantloom"
)

// Sizes of messages in bytes; TestTokenMessageSize of loommesh measures them.
const (
	requestSize, demandSize = 40, 22
	answerSize, grantSize   = 32, 13
)

// BenchmarkTraffic prints the messages and bytes of a node for limits, sent and received, in fleets of different sizes,
// each node with 8 operations a second.
func BenchmarkTraffic(b *testing.B) {
	const settling, measured = 8 * time.Second, 4 * time.Second
	for _, nodes := range []int{9, 86, 300, 1200} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			for b.Loop() {
				sim := newSimulation(b, scenario{
					nodes: nodes, organisations: 85, seed: 1, rate: 8 * float64(nodes), skew: 1.2, use: 0.6, swing: 0.5,
					duration: settling + measured,
				})
				sim.after(settling, func() { sim.requests, sim.answers, sim.demands, sim.grants = 0, 0, 0, 0 })
				sim.run()
				perNode := 1 / measured.Seconds() / float64(nodes)
				bytes := sim.requests*requestSize + sim.demands*demandSize + sim.answers*answerSize + sim.grants*grantSize
				b.ReportMetric(float64(sim.requests+sim.answers)*perNode, "messages/s")
				b.ReportMetric(float64(sim.demands)*perNode, "demands/s")
				b.ReportMetric(float64(bytes)*perNode, "bytes/s")
			}
		})
	}
}

// BenchmarkRequest measures the time of a request at a limiter of 86 nodes and 85 organisations.
func BenchmarkRequest(b *testing.B) {
	l := NewLimiter(currantloom.QuotaWindow{Overage: DefaultOverage, Slack: DefaultSlack}, 0, 1, 1)
	limits := make(map[currantloom.OrganisationName]currantloom.RateLimit)
	var names []currantloom.OrganisationName
	for i := range 85 {
		names = append(names, currantloom.OrganisationName(fmt.Sprintf("org-%02d", i)))
		limits[names[i]] = currantloom.RateLimit{PerSecond: 1000, Burst: 1000}
	}
	l.SetLimits(0, limits)
	var vms []currantloom.VMName
	for i := range 86 {
		vms = append(vms, currantloom.VMName(fmt.Sprintf("vm-%d", i)))
	}
	l.SetRegistered(0, vms)
	now := time.Duration(0)
	for i := 0; b.Loop(); i++ {
		now += time.Millisecond
		l.Request(now, vms[i%len(vms)], currantloom.TokenRequest{
			Incarnation: 1, Sent: now, Fresh: i < len(vms), Epoch: 1, Answer: now - time.Millisecond,
			Demands: []currantloom.TokenDemand{
				{Organisation: names[i%len(names)], Waiting: 1, Share: 5000, HandedOver: time.Second, Pooled: true, Rate: 100},
				{Organisation: names[(i+1)%len(names)], Share: 5000, HandedOver: time.Second, Pooled: true, Rate: 100},
			},
		})
	}
}
