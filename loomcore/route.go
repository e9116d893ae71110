package loomcore

import (
	"time"

	"currantloom.example/currantloom"
)

const (
	// probeInterval is the time between two attempts, per database, to find a new primary. All other requests that need
	// the primary wait meanwhile, so an outage is not amplified.
	probeInterval = 100 * time.Millisecond
	// passOverTime is how long new requests pass over a VM, or a replica, that refused or could not be reached.
	passOverTime = 2 * time.Second
)

// linkMargins are the times for both ways, by distance: one way takes 0.5 ms between failure domains of a region and
// 30 ms between regions. The carrier counts the remaining time from the arrival of the request.
var linkMargins = [...]time.Duration{0, time.Millisecond, 60 * time.Millisecond}

// hint is what the entry learned about the primary of a database.
type hint struct {
	term    currantloom.Term
	primary currantloom.UpstreamName
	// absent says that the last attempts found no primary. epoch counts the times at which one was found again.
	absent  bool
	epoch   int
	probeAt time.Duration
	probes  int
}

// passedOver names a VM, a replica, or a VM as carrier of one server.
type passedOver struct {
	vm     currantloom.VMName
	server currantloom.UpstreamName
}

func (s *State) passOver(p passedOver) {
	if s.requests.passed == nil {
		s.requests.passed = make(map[passedOver]time.Duration)
	}
	s.requests.passed[p] = s.now + passOverTime
}

func (s *State) isPassedOver(p passedOver) bool { return s.requests.passed[p] > s.now }

// hintOf returns the hint of a database, brought up to date with the group.
func (s *State) hintOf(g *group) *hint {
	q := &s.requests
	if q.hints == nil {
		q.hints = make(map[currantloom.DatabaseName]*hint)
	}
	h, ok := q.hints[g.database.Name()]
	if !ok {
		h = &hint{term: g.term, primary: g.primary}
		q.hints[g.database.Name()] = h
	}
	if h.term != g.term || h.primary != g.primary {
		h.term, h.primary = g.term, g.primary
		if g.primary != "" {
			h.found()
		}
	}
	return h
}

// found lets the requests that wait for a primary go on.
func (h *hint) found() {
	if h.absent {
		h.absent = false
		h.epoch++
	}
}

// usesReplica reports whether a replica may serve the request.
func (s *State) usesReplica(r *request) bool {
	return r.request.Kind == currantloom.ReadRequest && !r.primaryOnly && r.request.Token.Known() &&
		s.acceptedAge(r.request) > 0
}

// route sends the request to the carrier of the server that shall run it, or lets it wait.
func (s *State) route(r *request) {
	g := s.groups[r.request.Database]
	server, reason := s.chooseServer(g, r)
	if server.Name() == g.primary || reason == reasonUnknown {
		if s.hintOf(g).absent {
			s.park(r)
			return
		}
	}
	s.forwardTo(r, server, reason)
}

// forwardTo makes an attempt at the server's carrier.
func (s *State) forwardTo(r *request, server currantloom.PostgresUpstream, reason string) {
	vm, ok := s.carrierOf(server, s.avoided(r, server.Name()))
	if !ok {
		vm, ok = s.carrierOf(server, r.avoid)
	}
	if !ok {
		clear(r.avoid)
		s.wait(r)
		return
	}
	r.attempt++
	r.forward, r.parked = true, false
	r.vm, r.server = vm, server.Name()
	s.emit(Decision{
		Event: "route", Key: r.request.Key, Organisation: r.request.Organisation, Upstream: server.Name(),
		VM: vm, Reason: reason,
	})
	header := s.headerOf(r, server)
	// Half of the time is left at least, so that the carrier decides on a request that is nearly late.
	header.Remaining -= min(s.linkMargin(vm), header.Remaining/2)
	s.emit(Forward{Attempt: r.attempt, VM: vm, Header: header})
}

// linkMargin is the time that a request and its response spend between this node and a VM.
func (s *State) linkMargin(vm currantloom.VMName) time.Duration {
	return linkMargins[s.place.Distance(s.members.vms[vm].Location())]
}

// avoided returns the VMs that the request does not use as carriers of the server.
func (s *State) avoided(r *request, server currantloom.UpstreamName) map[currantloom.VMName]bool {
	if len(s.requests.passed) == 0 {
		return r.avoid
	}
	avoid := make(map[currantloom.VMName]bool)
	for vm := range r.avoid {
		avoid[vm] = true
	}
	for p, until := range s.requests.passed {
		if until > s.now && p.vm != "" && (p.server == "" || p.server == server) {
			avoid[p.vm] = true
		}
	}
	return avoid
}

// attemptKey is the key of the current attempt at its carrier.
func (r *request) attemptKey() currantloom.RequestKey {
	key := r.request.Key
	key.Attempt = r.attempt
	return key
}

func (s *State) headerOf(r *request, server currantloom.PostgresUpstream) currantloom.RequestHeader {
	q := r.request
	return currantloom.RequestHeader{
		Key: r.attemptKey(), Upstream: server.Name(), Organisation: q.Organisation, Database: q.Database,
		Kind: q.Kind, Class: r.class,
		Statement: q.Statement, Token: q.Token, MaxAge: s.acceptedAge(q), Remaining: r.deadline - s.now,
		RequestID: q.RequestID, OpensTransaction: q.OpensTransaction,
	}
}

func (s *State) acceptedAge(q currantloom.Request) time.Duration {
	if q.MaxAge > 0 {
		return q.MaxAge
	}
	return s.rules.rules.MaxAge(q.Database, q.Organisation)
}

// reasonUnknown is the reason of a route that has to find the primary.
const reasonUnknown = "primary unknown"

// chooseServer picks the server and says why.
func (s *State) chooseServer(g *group, r *request) (currantloom.PostgresUpstream, string) {
	servers := g.database.Upstreams()
	primary := -1
	for i, server := range servers {
		if server.Name() == g.primary {
			primary = i
		}
	}
	if s.usesReplica(r) {
		best := s.nearestReplica(g)
		if best >= 0 && (s.inRegion(servers[best]) || primary < 0 || !s.inRegion(servers[primary])) {
			return servers[best], "replica accepts age"
		}
	}
	if primary >= 0 {
		return servers[primary], "primary"
	}
	return servers[r.attempt%len(servers)], reasonUnknown
}

func (s *State) inRegion(server currantloom.PostgresUpstream) bool {
	return s.place.Distance(server.Location()) <= 1
}

// nearestReplica returns the index of the replica for reads: in the failure domain, then in the region, then in
// rendezvous order; -1 if there is none.
func (s *State) nearestReplica(g *group) int {
	servers := g.database.Upstreams()
	best := -1
	for i, server := range servers {
		if server.Name() == g.primary || s.isLeaving(server.Name()) || s.isPassedOver(passedOver{server: server.Name()}) {
			continue
		}
		if best < 0 || s.nearer(server, servers[best]) {
			best = i
		}
	}
	return best
}

func (s *State) nearer(a, b currantloom.PostgresUpstream) bool {
	da, db := s.place.Distance(a.Location()), s.place.Distance(b.Location())
	if da != db {
		return da < db
	}
	return weight(s.self, a.Name()) > weight(s.self, b.Name())
}

// park lets the request wait for a primary.
func (s *State) park(r *request) {
	h := s.hintOf(s.groups[r.request.Database])
	if !h.absent {
		h.absent = true
		h.probeAt = s.now + probeInterval
	}
	r.parked = true
	r.parkedEpoch = h.epoch
	s.hold(r)
}

// reviewParked routes a parked request if a primary was found, or uses it as the next probe. Probes take turns over
// the servers, because the carrier of the last known primary may be cut off from the others.
func (s *State) reviewParked(r *request) {
	g := s.groups[r.request.Database]
	h := s.hintOf(g)
	switch {
	case h.epoch != r.parkedEpoch || !h.absent:
		clear(r.avoid)
		s.route(r)
	case s.now >= h.probeAt:
		h.probeAt = s.now + probeInterval
		servers := g.database.Upstreams()
		server := servers[h.probes%len(servers)]
		h.probes++
		clear(r.avoid)
		s.forwardTo(r, server, "looking for the primary")
	default:
		s.requests.waiting = append(s.requests.waiting, r)
	}
}
