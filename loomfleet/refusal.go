package loomfleet

import (
	"time"

	"currantloom.example/currantloom"
)

const (
	// refusalLogInterval is the minimum time between two log lines on refusals at an upstream or at this entry node.
	refusalLogInterval = time.Second
	// refusalTTL is how long an entry node refuses on behalf of an owner after the owner's refusal.
	refusalTTL = 100 * time.Millisecond
	// maxRefusalReports bounds the refusals that are remembered for an upstream.
	maxRefusalReports = 256
)

// refusalStats counts the requests that were refused because too much work waits.
type refusalStats struct {
	count int
	// organisation, wait and reason are those of the last refusal.
	organisation currantloom.OrganisationName
	wait         time.Duration
	reason       string
	loggedAt     time.Duration
}

func (r *refusalStats) record(organisation currantloom.OrganisationName, wait time.Duration, reason string) {
	r.count++
	r.organisation, r.wait, r.reason = organisation, wait, reason
}

// logDue logs and resets the count if refusalLogInterval has passed.
func (r *refusalStats) logDue(s *State, service currantloom.ServiceName, upstream currantloom.UpstreamName) {
	if r.count == 0 || r.loggedAt > 0 && s.now-r.loggedAt < refusalLogInterval {
		return
	}
	s.log(Decision{
		Event: "queue", Service: service, Upstream: upstream, Organisation: r.organisation, Count: r.count, Age: r.wait,
		Reason: r.reason, Outcome: "refused",
	})
	*r = refusalStats{loggedAt: max(s.now, 1)}
}

// logLoad reports the expected wait and the number of waiting jobs once a second while jobs wait, and once after.
func (p *pool) logLoad(s *State) {
	waiting := p.queue.len()
	if waiting == 0 && !p.loadReported || s.now-p.loadLoggedAt < refusalLogInterval {
		return
	}
	p.loadLoggedAt, p.loadReported = s.now, waiting > 0
	s.log(Decision{
		Event: "queue", Service: p.upstream.Service, Upstream: p.upstream.Name, Count: waiting,
		Age: p.expectedWait(s.now), Outcome: "waiting", Routine: true,
	})
}

// refusalKey says which calls an owner refuses: those of an organisation with this priority or a less urgent one.
type refusalKey struct {
	organisation currantloom.OrganisationName
	priority     int
}

// refusalReport is an owner's refusal with the expected wait at that time.
type refusalReport struct{ wait, at time.Duration }

// recordRefusalReport remembers that the owner refused a call for lack of capacity.
func (u *upstream) recordRefusalReport(s *State, r *request, wait time.Duration) {
	if wait <= 0 {
		return
	}
	if u.refusalReports == nil || len(u.refusalReports) >= maxRefusalReports {
		u.refusalReports = make(map[refusalKey]refusalReport)
	}
	u.refusalReports[refusalKey{r.organisation, r.route.Priority}] = refusalReport{wait: wait, at: s.now}
}

// reportedWait returns the expected wait if the owner would certainly refuse the request, by what it answered to
// another call of the organisation that was as urgent or more.
func (u *upstream) reportedWait(s *State, r *request) (time.Duration, bool) {
	for priority := r.route.Priority; priority >= 0; priority-- {
		report, ok := u.refusalReports[refusalKey{r.organisation, priority}]
		if !ok || s.now-report.at > refusalTTL {
			continue
		}
		if wait := report.wait - (s.now - report.at); startsTooLate(wait, r.giveUpAt()-s.now) {
			return wait, true
		}
	}
	return 0, false
}

// retryAfter spreads the time to come back over half of the expected wait after its end, so that the refused clients do
// not come back together.
func (s *State) retryAfter(wait time.Duration) time.Duration {
	if wait < 2 {
		return wait
	}
	// Several requests may be refused in one event, which has one random number.
	mixed := (s.random ^ s.nextNumber()) * 0x9e3779b97f4a7c15
	return wait + time.Duration((mixed>>11)%uint64(wait/2))
}

// refuseForOwner refuses a request that the owner would refuse, unless another upstream can serve it.
func (s *State) refuseForOwner(r *request, t target, wait time.Duration) {
	r.avoidUntil[t.upstream.Name] = s.now + avoidDuration
	if s.hasAlternative(r) {
		s.dispatch(r)
		return
	}
	t.upstream.refusals.record(r.organisation, wait, "reported wait")
	s.giveUp(r, wait)
}
