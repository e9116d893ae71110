package loomwatch

import "time"

// Role is the way in which a node learns of changes.
type Role uint8

const (
	// Direct is the role of each node of a small fleet: it watches the store.
	Direct Role = iota
	// Watcher watches the store in a large fleet, and pushes the changes to the nodes of its failure domain.
	Watcher
	// Follower receives the pushes of watchers, and calls the store if they do not prove its copy complete.
	Follower
)

// Schedule holds the proofs of a node and decides when it makes its next call. All times are those of a clock that
// includes suspensions of the VM. The zero value belongs to a Direct node that has no proof.
type Schedule struct {
	role Role
	// rank is the place of the node in the order of its failure domain.
	rank int
	// revocationAge is the age at which a proof is too old for strict revocation; zero if there is none.
	revocationAge time.Duration
	// own is the newest proof by a call of the node itself, pushed the newest one of a watcher.
	own, pushed proof
	// calling says that a call to the store is under way, failed that the last one failed, incomplete that changes are
	// known to be missing since missingAt.
	calling, failed, incomplete bool
	missingAt                   time.Duration
	// notBefore is the earliest time of the next call, retryDelay the delay after the last failed one.
	notBefore, retryDelay time.Duration
	requests              requests
}

// proof is an answer of the store, and the time for which it proves the copy complete.
type proof struct {
	exists bool
	at     time.Duration
}

// renew replaces the proof by a newer one. It reports false if the new one is not newer.
func (p *proof) renew(at time.Duration) bool {
	if p.exists && at <= p.at {
		return false
	}
	*p = proof{exists: true, at: at}
	return true
}

// New returns the schedule of a node that has no proof. The first request gets the given number: processes should draw
// it at random, so that an answer to an earlier process does not count. With strict revocation proofs have to be
// younger than the given age; zero means that there is no such limit.
func New(firstRequest uint64, revocationAge time.Duration) *Schedule {
	return &Schedule{requests: requests{next: firstRequest}, revocationAge: revocationAge}
}

// SetRole sets the role of the node, and its rank in the order of its failure domain.
func (s *Schedule) SetRole(r Role, rank int) { s.role, s.rank = r, rank }

// NextCall returns when the next call to the store is due; false if a call is under way.
func (s *Schedule) NextCall() (time.Duration, bool) {
	if s.calling {
		return 0, false
	}
	if s.role != Follower || !s.pushed.exists {
		return s.notBefore, true
	}
	due := s.pushed.at + s.limit() + stageDelayOf(s.rank)
	if s.incomplete {
		due = min(due, s.missingAt+missingTime+stageDelayOf(s.rank))
	}
	return max(due, s.notBefore), true
}

// limit returns the age of the newest proof of another node at which a follower calls the store.
func (s *Schedule) limit() time.Duration {
	if s.revocationAge > 0 {
		return min(maxPushedAge, s.revocationAge*3/4)
	}
	return maxPushedAge
}

// StartCall records the start of a call and returns how long the store may wait for changes.
func (s *Schedule) StartCall(now time.Duration) time.Duration {
	s.calling = true
	wait := waitOf(s.role)
	switch {
	case s.failed:
		wait = shortWait
	case s.IsActing(now):
		wait = max(wait, watcherWait)
	}
	if s.revocationAge > 0 {
		wait = min(wait, s.revocationAge/4)
	}
	return wait
}

// CallSucceeded records the answer to a call that was made at askedAt. With batch a watcher waits before the next call.
func (s *Schedule) CallSucceeded(now, askedAt time.Duration, batch bool) {
	s.calling, s.failed, s.incomplete, s.retryDelay, s.notBefore = false, false, false, 0, now
	s.own.renew(askedAt)
	if batch {
		s.notBefore = now + batchDelay
	}
}

// CallFailed records a call that got no usable answer. The random number spreads the next one.
func (s *Schedule) CallFailed(now time.Duration, random uint64) {
	s.calling, s.failed = false, true
	s.retryDelay = min(max(2*s.retryDelay, minRetryDelay), maxRetryDelay)
	s.notBefore = now + s.retryDelay/2 + time.Duration(random%uint64(s.retryDelay))
}

// Restart records that the copy is no longer valid, and makes the next call after a delay.
func (s *Schedule) Restart(now, delay time.Duration) {
	s.calling, s.own, s.pushed, s.notBefore = false, proof{}, proof{}, now+delay
}

// ChangesMissing records that the node lacks changes that another node has, and has requested them there.
func (s *Schedule) ChangesMissing(now time.Duration) {
	if !s.incomplete {
		s.incomplete, s.missingAt = true, now
	}
}

// ChangesReceived records that the node has the changes that were missing.
func (s *Schedule) ChangesReceived() { s.incomplete = false }

// NextRequest returns when the node has to ask other nodes for their proof; false if it asks nobody. A Direct node asks
// only while its own calls are not answered.
func (s *Schedule) NextRequest(now time.Duration) (time.Duration, bool) {
	return s.requests.last + s.requestInterval(), s.role != Direct || !s.IsProven(now)
}

func (s *Schedule) requestInterval() time.Duration {
	if s.revocationAge > 0 {
		return min(requestInterval, s.revocationAge/4)
	}
	return requestInterval
}

// StartRequest records that watchers are asked for their proof, and returns the number of the request.
func (s *Schedule) StartRequest(now time.Duration) uint64 { return s.requests.add(now) }

// ProofReceived records the proof of a watcher: the answer to the given request, which says that the store was asked
// the given time before, and that the node's copy has all changes of that answer. It returns the time for which the
// proof holds, and false if there is a newer one or no such request. The proof is not newer than the request, however
// long the answer took.
func (s *Schedule) ProofReceived(request uint64, age time.Duration) (time.Duration, bool) {
	requestedAt, ok := s.requests.find(request)
	if !ok || age < 0 {
		return 0, false
	}
	return requestedAt - age, s.pushed.renew(requestedAt - age)
}

// ProvenAt returns the time for which the newest proof holds; false if there is none.
func (s *Schedule) ProvenAt() (time.Duration, bool) {
	if s.pushed.exists && (!s.own.exists || s.pushed.at > s.own.at) {
		return s.pushed.at, true
	}
	return s.own.at, s.own.exists
}

// IsProven reports whether the newest proof is recent enough.
func (s *Schedule) IsProven(now time.Duration) bool {
	at, ok := s.ProvenAt()
	return ok && now-at <= s.limit()
}

// IsFed reports whether the proofs of watchers are recent enough.
func (s *Schedule) IsFed(now time.Duration) bool {
	return s.pushed.exists && now-s.pushed.at <= s.limit()
}

// IsActing reports whether the node watches the store for others: a watcher, or a follower that no other node feeds and
// whose own calls are answered.
func (s *Schedule) IsActing(now time.Duration) bool {
	switch s.role {
	case Watcher:
		return true
	case Follower:
		return s.own.exists && now-s.own.at <= s.limit() && !s.IsFed(now)
	default:
		return false
	}
}
