package loommodel

import (
	"fmt"
	"strings"
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomfleet"
)

// keptDecisions is the number of decisions that are kept of each service.
const keptDecisions = 6

// nodeDecision is a decision on the primary of a service, with the node that took it.
type nodeDecision struct {
	at       time.Duration
	node     string
	decision loomfleet.Decision
}

// decisionRing holds the last decisions on the primary of each service. The zero value is empty.
type decisionRing struct {
	last map[currantloom.ServiceName][]nodeDecision
}

// record keeps the decision if it is about a failover or a request for promotion.
func (r *decisionRing) record(d nodeDecision) {
	if d.decision.Event != "order" && d.decision.Event != "failover" {
		return
	}
	if r.last == nil {
		r.last = make(map[currantloom.ServiceName][]nodeDecision)
	}
	kept := r.last[d.decision.Service]
	if len(kept) == keptDecisions {
		kept = kept[1:]
	}
	r.last[d.decision.Service] = append(kept, d)
}

// describe returns the decisions on a service, the oldest first, each on a line of its own.
func (r *decisionRing) describe(service currantloom.ServiceName) string {
	var lines strings.Builder
	for _, d := range r.last[service] {
		fmt.Fprintf(&lines, "\n\t%s %s %s %s: upstream=%s position=%s reason=%q", d.at, d.node, d.decision.Event,
			d.decision.Outcome, d.decision.Upstream, d.decision.Position, d.decision.Reason)
	}
	return lines.String()
}
