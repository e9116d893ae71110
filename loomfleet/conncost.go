package loomfleet

import (
	"time"

	"currantloom.example/currantloom"
)

// connCosts holds the slot time that the opening of connections took, by organisation.
type connCosts struct {
	total map[currantloom.OrganisationName]time.Duration
	// shortest is the shortest opening lately. An opening may also wait for a slot, and that wait is no cost.
	shortest time.Duration
}

// record adds an opening that took the given time and returns the slot time that it is charged with.
func (c *connCosts) record(organisation currantloom.OrganisationName, took time.Duration) time.Duration {
	if c.shortest == 0 || took < c.shortest {
		c.shortest = took
	} else {
		c.shortest += (took - c.shortest) / 64
	}
	cost := min(took, c.shortest)
	if c.total == nil {
		c.total = make(map[currantloom.OrganisationName]time.Duration)
	}
	c.total[organisation] += cost
	return cost
}

// connCost returns the slot time that the connections of an organisation to the upstream have cost since the pool
// exists.
func (p *pool) connCost(organisation currantloom.OrganisationName) time.Duration {
	return p.costs.total[organisation]
}

// recordConnCost charges the organisation of a connection with the slot time of its opening.
func (p *pool) recordConnCost(s *State, cn *conn) {
	cost := p.costs.record(cn.organisation, s.now-cn.openedAt)
	if cn.organisation == "" {
		return
	}
	p.charge(s, cn.organisation, cost)
	s.log(Decision{
		Event: "connection", Organisation: cn.organisation, Upstream: p.upstream.Name, Service: p.upstream.Service,
		Age: cost, Outcome: "opened", Routine: true,
	})
}
