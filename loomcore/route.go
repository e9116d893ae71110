package loomcore

import (
	"time"

	"currantloom.example/currantloom"
)

const (
	// probeInterval is the time between two attempts, per database, to find a new primary. All other requests that need
	// the primary wait meanwhile, so that retries do not add load during an outage.
	probeInterval = 100 * time.Millisecond
	// ejectionTime is how long new requests avoid a VM or a replica that was shutting down or could not be reached.
	ejectionTime = 2 * time.Second
)

// linkRoundTrips holds the round-trip times of links by distance: one way takes 0.5 ms between failure domains of a
// region and 30 ms between regions. They are subtracted from the remaining time of a request, because the owner counts
// it from the arrival of the request.
var linkRoundTrips = [...]time.Duration{0, time.Millisecond, 60 * time.Millisecond}

// primaryHint is what the entry node knows about the primary of a database.
type primaryHint struct {
	term    currantloom.Term
	primary currantloom.UpstreamName
	// missing says that the latest attempts found no primary. epoch counts how often one was found again.
	missing     bool
	epoch       int
	nextProbeAt time.Duration
	probes      int
}

// ejection names what new requests avoid: a VM, a replica, or a VM as the owner of one upstream.
type ejection struct {
	vm       currantloom.VMName
	upstream currantloom.UpstreamName
}

func (s *State) eject(p ejection) {
	if s.requests.ejected == nil {
		s.requests.ejected = make(map[ejection]time.Duration)
	}
	s.requests.ejected[p] = s.now + ejectionTime
}

func (s *State) isEjected(p ejection) bool { return s.requests.ejected[p] > s.now }

// primaryHintOf returns the hint of a database after an update with the term and primary of the group.
func (s *State) primaryHintOf(g *group) *primaryHint {
	q := &s.requests
	if q.primaryHints == nil {
		q.primaryHints = make(map[currantloom.DatabaseName]*primaryHint)
	}
	h, ok := q.primaryHints[g.database.Name()]
	if !ok {
		h = &primaryHint{term: g.term, primary: g.primary}
		q.primaryHints[g.database.Name()] = h
	}
	if h.term != g.term || h.primary != g.primary {
		h.term, h.primary = g.term, g.primary
		if g.primary != "" {
			h.primaryFound()
		}
	}
	return h
}

// primaryFound lets the requests that wait for a primary continue.
func (h *primaryHint) primaryFound() {
	if h.missing {
		h.missing = false
		h.epoch++
	}
}

// mayUseReplica reports whether a replica may serve the request.
func (s *State) mayUseReplica(r *openRequest) bool {
	return r.request.Kind == currantloom.ReadRequest && !r.primaryOnly && r.request.Token.Known() &&
		s.maxAge(r.request) > 0
}

// route forwards the request to the owner of the upstream that it chooses, or lets it wait for a primary.
func (s *State) route(r *openRequest) {
	g := s.groups[r.request.Database]
	upstream, reason := s.chooseUpstream(g, r)
	if upstream.Name() == g.primary || reason == reasonPrimaryUnknown {
		if s.primaryHintOf(g).missing {
			s.awaitPrimary(r)
			return
		}
	}
	s.forwardTo(r, upstream, reason)
}

// forwardTo starts an attempt at the owner of the upstream.
func (s *State) forwardTo(r *openRequest, upstream currantloom.PostgresUpstream, reason string) {
	vm, ok := s.ownerOf(upstream, s.unusableOwners(r, upstream.Name()))
	if !ok {
		vm, ok = s.ownerOf(upstream, r.avoidedVMs)
	}
	if !ok {
		clear(r.avoidedVMs)
		s.retryLater(r)
		return
	}
	r.attempts++
	r.inFlight, r.awaitsPrimary = true, false
	r.vm, r.upstream = vm, upstream.Name()
	s.emit(Decision{
		Event: "route", Key: r.request.Key, Organisation: r.request.Organisation, Upstream: upstream.Name(),
		VM: vm, Reason: reason,
	})
	header := s.requestHeader(r, upstream)
	// At least half of the time stays, so that the owner still decides on a request that is close to its deadline.
	header.Remaining -= min(s.linkRoundTrip(vm), header.Remaining/2)
	s.emit(Forward{Attempt: r.attempts, VM: vm, Header: header})
}

// linkRoundTrip returns the time that a request and its response spend on the link to a VM.
func (s *State) linkRoundTrip(vm currantloom.VMName) time.Duration {
	return linkRoundTrips[s.location.Distance(s.membership.vms[vm].Location())]
}

// unusableOwners returns the VMs that the request must not use as the owner of the upstream.
func (s *State) unusableOwners(r *openRequest, upstream currantloom.UpstreamName) map[currantloom.VMName]bool {
	if len(s.requests.ejected) == 0 {
		return r.avoidedVMs
	}
	avoid := make(map[currantloom.VMName]bool)
	for vm := range r.avoidedVMs {
		avoid[vm] = true
	}
	for p, until := range s.requests.ejected {
		if until > s.now && p.vm != "" && (p.upstream == "" || p.upstream == upstream) {
			avoid[p.vm] = true
		}
	}
	return avoid
}

// attemptKey returns the key of the current attempt at the owner.
func (r *openRequest) attemptKey() currantloom.RequestKey {
	key := r.request.Key
	key.Attempt = r.attempts
	return key
}

func (s *State) requestHeader(r *openRequest, upstream currantloom.PostgresUpstream) currantloom.RequestHeader {
	q := r.request
	return currantloom.RequestHeader{
		Key: r.attemptKey(), Upstream: upstream.Name(), Organisation: q.Organisation, Database: q.Database,
		Kind: q.Kind, Class: r.class,
		Statement: q.Statement, Token: q.Token, MaxAge: s.maxAge(q), Remaining: r.deadline - s.now,
		RequestID: q.RequestID, OpensTransaction: q.OpensTransaction,
	}
}

func (s *State) maxAge(q currantloom.Request) time.Duration {
	if q.MaxAge > 0 {
		return q.MaxAge
	}
	return s.rules.rules.MaxAge(q.Database, q.Organisation)
}

// reasonPrimaryUnknown is the logged reason of a route that has to find the primary.
const reasonPrimaryUnknown = "primary unknown"

// chooseUpstream returns the upstream to run the request at, and the reason.
func (s *State) chooseUpstream(g *group, r *openRequest) (currantloom.PostgresUpstream, string) {
	upstreams := g.database.Upstreams()
	primary := -1
	for i, upstream := range upstreams {
		if upstream.Name() == g.primary {
			primary = i
		}
	}
	if s.mayUseReplica(r) {
		best := s.nearestReplica(g)
		if best >= 0 && (s.inOwnRegion(upstreams[best]) || primary < 0 || !s.inOwnRegion(upstreams[primary])) {
			return upstreams[best], "request accepts the age of a replica"
		}
	}
	if primary >= 0 {
		return upstreams[primary], "primary"
	}
	return upstreams[r.attempts%len(upstreams)], reasonPrimaryUnknown
}

func (s *State) inOwnRegion(upstream currantloom.PostgresUpstream) bool {
	return s.location.Distance(upstream.Location()) <= 1
}

// nearestReplica returns the index of the replica for reads: the nearest one, by rendezvous hashing among equally near
// ones. It returns -1 if there is none.
func (s *State) nearestReplica(g *group) int {
	upstreams := g.database.Upstreams()
	best := -1
	for i, upstream := range upstreams {
		if upstream.Name() == g.primary || s.isLeaving(upstream.Name()) || s.isEjected(ejection{upstream: upstream.Name()}) {
			continue
		}
		if best < 0 || s.isNearer(upstream, upstreams[best]) {
			best = i
		}
	}
	return best
}

func (s *State) isNearer(a, b currantloom.PostgresUpstream) bool {
	da, db := s.location.Distance(a.Location()), s.location.Distance(b.Location())
	if da != db {
		return da < db
	}
	return rendezvousWeight(s.self, a.Name()) > rendezvousWeight(s.self, b.Name())
}

// awaitPrimary lets the request wait until a primary is found.
func (s *State) awaitPrimary(r *openRequest) {
	h := s.primaryHintOf(s.groups[r.request.Database])
	if !h.missing {
		h.missing = true
		h.nextProbeAt = s.now + probeInterval
	}
	r.awaitsPrimary = true
	r.awaitedEpoch = h.epoch
	s.addWaiting(r)
}

// recheckAwaitingPrimary routes a request that waits for a primary if one was found, or uses it as the next probe.
// Probes alternate between the upstreams, because the owner of the last known primary may be cut off from the others.
func (s *State) recheckAwaitingPrimary(r *openRequest) {
	g := s.groups[r.request.Database]
	h := s.primaryHintOf(g)
	switch {
	case h.epoch != r.awaitedEpoch || !h.missing:
		clear(r.avoidedVMs)
		s.route(r)
	case s.now >= h.nextProbeAt:
		h.nextProbeAt = s.now + probeInterval
		upstreams := g.database.Upstreams()
		upstream := upstreams[h.probes%len(upstreams)]
		h.probes++
		clear(r.avoidedVMs)
		s.forwardTo(r, upstream, "probe for the primary")
	default:
		s.requests.waiting = append(s.requests.waiting, r)
	}
}
