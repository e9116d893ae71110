package loomfleet

import (
	"time"

	"currantloom.example/currantloom"
)

// usageWindow is the time constant of the recent usage of organisations.
const usageWindow = 2 * time.Second

// forgetIdleUsage removes the organisations that count as idle, while no job waits.
func (p *pool) forgetIdleUsage(s *State) {
	if p.queue.len() == 0 {
		p.queue.usage.Forget(s.now)
	}
}

// charge adds slot time to the recent usage of an organisation.
func (p *pool) charge(s *State, organisation currantloom.OrganisationName, cost time.Duration) {
	p.queue.usage.Add(organisation, 1, cost, s.now)
}

// chargeStart charges the organisation of a job that starts with the expected run time, so that it counts before the
// job ends.
func (p *pool) chargeStart(s *State, j *job) {
	j.charged = p.averageRunTime
	p.charge(s, j.call.Organisation, j.charged)
}

// chargeEnd corrects the charge of a job that occupies its slot no longer.
func (p *pool) chargeEnd(s *State, j *job) {
	p.charge(s, j.call.Organisation, s.now-j.startedAt-j.charged)
	j.charged = 0
}
