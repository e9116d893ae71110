package loomfleet

import (
	"time"

	"currantloom.example/currantloom"
)

const (
	// firstPause and longestPause bound the pause after a failed call to the store.
	firstPause   = 200 * time.Millisecond
	longestPause = 1500 * time.Millisecond
)

// registration keeps one key of the node in the store, under a lease.
type registration struct {
	kind RegistrationKind
	// ttl is the time to live of the lease, renewEvery the time between two renewals.
	ttl, renewEvery time.Duration
	lease           uint64
	// revision is that of the key as this node wrote it; 0 if the node does not hold it.
	revision uint64
	// validUntil is until when the lease cannot have ended.
	validUntil time.Duration
	renewAt    time.Duration
	// pending is the call that has no answer yet.
	pending       CallID
	pendingKind   pendingKind
	pendingSentAt time.Duration
	retryAt       time.Duration
	pause         time.Duration
}

func newRegistration(kind RegistrationKind, ttl time.Duration, renewals int) registration {
	return registration{kind: kind, ttl: ttl, renewEvery: ttl / time.Duration(renewals)}
}

type pendingKind uint8

const (
	pendingNone pendingKind = iota
	pendingGrant
	pendingRenew
	pendingWrite
)

// isHeld reports whether the node wrote the key and its lease cannot have ended.
func (r *registration) isHeld(now time.Duration) bool { return r.revision > 0 && now < r.validUntil }

func (r *registration) isFree(now time.Duration) bool {
	return r.pendingKind == pendingNone && now >= r.retryAt
}

func (r *registration) begin(s *State, kind pendingKind) CallID {
	r.pending, r.pendingKind, r.pendingSentAt = CallID(s.nextNumber()), kind, s.now
	return r.pending
}

// grant asks for a lease.
func (r *registration) grant(s *State) {
	s.emit(StoreGrantLease{Call: r.begin(s, pendingGrant), TTL: r.ttl})
}

// renew extends the lease if it is time.
func (r *registration) renew(s *State) {
	if s.now >= r.renewAt {
		s.emit(StoreRenewLease{Call: r.begin(s, pendingRenew), Lease: r.lease})
	}
}

// write writes the key if it has the expected revision, or in any case.
func (r *registration) write(s *State, conditional bool, expected uint64) {
	s.emit(StoreCommit{Call: r.begin(s, pendingWrite), Txn: StoreTxn{
		Kind: r.kind, Lease: r.lease, Conditional: conditional, ExpectedRevision: expected,
	}})
}

// answered takes the answer to the pending call. It reports false if the answer is for another call.
func (r *registration) answered(s *State, e StoreAnswered) bool {
	if r.pendingKind == pendingNone || e.Call != r.pending {
		return false
	}
	kind := r.pendingKind
	r.pendingKind = pendingNone
	switch e.Result {
	case StoreSucceeded:
		r.pause = 0
		r.done(s, kind, e.Value)
	case StoreLeaseExpired:
		r.lease, r.revision, r.validUntil = 0, 0, 0
	case StoreConflict:
		r.revision = 0
		r.backOff(s)
	default:
		r.backOff(s)
	}
	return true
}

func (r *registration) done(s *State, kind pendingKind, value uint64) {
	switch kind {
	case pendingGrant:
		r.lease = value
		r.extend(r.pendingSentAt)
	case pendingRenew:
		r.extend(r.pendingSentAt)
	case pendingWrite:
		r.revision = value
		s.log(Decision{Event: "registration", Version: value, Outcome: r.kind.String()})
	}
}

// String returns the kind as it stands in logs.
func (k RegistrationKind) String() string {
	if k == RegistrationFailoverLease {
		return "duty"
	}
	return "member"
}

func (r *registration) extend(sentAt time.Duration) {
	r.validUntil = sentAt + r.ttl
	r.renewAt = sentAt + r.renewEvery
}

func (r *registration) backOff(s *State) {
	r.pause = min(max(firstPause, 2*r.pause), longestPause)
	r.retryAt = s.now + r.pause/2 + time.Duration(s.random%uint64(r.pause/2))
}

// release gives the key back.
func (r *registration) release(s *State) {
	if r.lease > 0 {
		s.emit(StoreRevokeLease{Lease: r.lease})
	}
	*r = registration{kind: r.kind, ttl: r.ttl, renewEvery: r.renewEvery}
}

// tickMember keeps the registration of the node.
func (d *duty) tickMember(s *State) {
	r := &d.member
	if !r.isFree(s.now) || s.stop.requested {
		return
	}
	switch {
	case r.lease == 0:
		r.grant(s)
	case r.revision == 0:
		r.write(s, false, 0)
	default:
		r.renew(s)
	}
}

// ownMember notes what the store says of the node's own registration.
func (d *duty) ownMember(s *State, e MemberChange) {
	r := &d.member
	switch {
	case e.Deleted:
		if r.revision > 0 && e.Revision > r.revision && r.pendingKind != pendingWrite {
			s.log(Decision{Event: "registration", Version: e.Revision, Reason: "key vanished", Outcome: "again"})
			r.revision = 0
		}
	case e.Incarnation == s.config.Incarnation:
		r.revision = max(r.revision, e.Revision)
	}
}

// holder is what the store says of the duty.
type holder struct {
	name        currantloom.VMName
	incarnation uint64
	revision    uint64
	// absentAt is since when nobody holds it.
	absentAt time.Duration
}
