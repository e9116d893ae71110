package loomfleet

import (
	"time"

	"currantloom.example/currantloom"
)

const (
	// minBackoff and maxBackoff bound the pause after a failed call to the store.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 1500 * time.Millisecond
	// maxRenewalParts is the inverse of the part of a lease for which the answer to a renewal is awaited.
	maxRenewalParts = 3
)

// registration maintains one of the node's keys in the store, under a lease.
type registration struct {
	kind RegistrationKind
	// ttl is the time to live of the lease, renewInterval the time between two renewals.
	ttl, renewInterval time.Duration
	lease              currantloom.StoreLease
	// position is the position of the key as this node wrote it; zero if the node does not hold the key.
	position currantloom.StorePosition
	// validUntil is the earliest time at which the lease can expire.
	validUntil time.Duration
	renewAt    time.Duration
	// pendingCall is the call that has not been answered yet; none if pendingKind is pendingNone.
	pendingCall   CallID
	pendingKind   pendingKind
	pendingSentAt time.Duration
	// pendingExpected is the position that the key must have for the pending write.
	pendingExpected currantloom.StorePosition
	retryAt         time.Duration
	backoff         time.Duration
}

func newRegistration(kind RegistrationKind, ttl time.Duration, renewals int) registration {
	return registration{kind: kind, ttl: ttl, renewInterval: ttl / time.Duration(renewals)}
}

type pendingKind uint8

const (
	pendingNone pendingKind = iota
	pendingGrant
	pendingRenew
	pendingWrite
)

// isHeld reports whether the node wrote the key and its lease cannot have expired.
func (r *registration) isHeld(now time.Duration) bool {
	return !r.position.IsZero() && now < r.validUntil
}

// canCall reports whether no call is pending and the backoff after the last failure is over.
func (r *registration) canCall(now time.Duration) bool {
	return r.pendingKind == pendingNone && now >= r.retryAt
}

// giveUpLateRenewal stops waiting for the answer to a renewal after a third of the time to live, so that there is time
// to renew again. An answer that still comes is ignored: renewing a lease twice does no harm.
func (r *registration) giveUpLateRenewal(now time.Duration) {
	if r.pendingKind == pendingRenew && now-r.pendingSentAt >= r.ttl/maxRenewalParts {
		r.pendingKind = pendingNone
	}
}

// endPendingWrite stops waiting for the answer to a write that the store shows to have taken effect: the answer may be
// lost, and the lease is not renewed before.
func (r *registration) endPendingWrite() {
	if r.pendingKind == pendingWrite {
		r.pendingKind = pendingNone
	}
}

func (r *registration) startCall(s *State, kind pendingKind) CallID {
	r.pendingCall, r.pendingKind, r.pendingSentAt = CallID(s.nextNumber()), kind, s.now
	return r.pendingCall
}

// requestLease requests a lease.
func (r *registration) requestLease(s *State) {
	s.emit(StoreGrantLease{Call: r.startCall(s, pendingGrant), Era: s.storeEra, TTL: r.ttl})
}

// renewIfDue renews the lease if it is time.
func (r *registration) renewIfDue(s *State) {
	if s.now >= r.renewAt {
		s.emit(StoreRenewLease{Call: r.startCall(s, pendingRenew), Lease: r.lease})
	}
}

// write writes the key, if conditional only if it has the expected position.
func (r *registration) write(s *State, conditional bool, expected currantloom.StorePosition) {
	s.emit(StoreCommit{Call: r.startCall(s, pendingWrite), Txn: r.writeTxn(conditional, expected)})
}

// rewrite writes the key that this node holds again, together with the record of changes of primary.
func (r *registration) rewrite(s *State, changes []currantloom.ServiceName) {
	txn := r.writeTxn(true, r.position)
	txn.RecordsChanges, txn.Changes = true, changes
	s.emit(StoreCommit{Call: r.startCall(s, pendingWrite), Txn: txn})
}

func (r *registration) writeTxn(conditional bool, expected currantloom.StorePosition) StoreTxn {
	r.pendingExpected = expected
	return StoreTxn{Kind: r.kind, Lease: r.lease, Conditional: conditional, Expected: expected}
}

// handleAnswer processes the answer to the pending call. It reports false if the answer is for another call.
func (r *registration) handleAnswer(s *State, e StoreAnswered) bool {
	if r.pendingKind == pendingNone || e.Call != r.pendingCall {
		return false
	}
	kind := r.pendingKind
	r.pendingKind = pendingNone
	switch e.Result {
	case StoreSucceeded:
		r.backoff = 0
		r.recordSuccess(s, kind, e)
	case StoreLeaseExpired:
		r.forget()
	case StoreConflict:
		r.position = currantloom.StorePosition{}
		r.backOff(s)
	default:
		r.backOff(s)
	}
	return true
}

func (r *registration) recordSuccess(s *State, kind pendingKind, e StoreAnswered) {
	switch kind {
	case pendingGrant:
		r.lease = e.Lease
		r.extendValidity(r.pendingSentAt)
	case pendingRenew:
		r.extendValidity(r.pendingSentAt)
	case pendingWrite:
		r.position = e.Position
		s.log(Decision{Event: "registration", Version: e.Position.Revision(), Outcome: r.kind.String()})
	}
}

// String returns the name that logs use.
func (k RegistrationKind) String() string {
	if k == RegistrationFailoverLease {
		return "duty"
	}
	return "member"
}

func (r *registration) extendValidity(sentAt time.Duration) {
	r.validUntil = sentAt + r.ttl
	r.renewAt = sentAt + r.renewInterval
}

func (r *registration) backOff(s *State) {
	r.backoff = min(max(minBackoff, 2*r.backoff), maxBackoff)
	r.retryAt = s.now + r.backoff/2 + time.Duration(s.random%uint64(r.backoff/2))
}

// forget drops the lease and the key, and the call that has not been answered. Nothing is sent to the store.
func (r *registration) forget() {
	*r = registration{kind: r.kind, ttl: r.ttl, renewInterval: r.renewInterval, backoff: r.backoff, retryAt: r.retryAt}
}

// deleteTxn returns the transaction that deletes the key, unless another node has written it since.
func (r *registration) deleteTxn() StoreTxn {
	return StoreTxn{Kind: r.kind, Lease: r.lease, Conditional: true, Expected: r.position, Delete: true}
}

// release deletes the key by a transaction. The lease is left to expire: if the store has come back from a copy in the
// meantime, its number may belong to another node.
func (r *registration) release(s *State, txn StoreTxn) {
	if !r.position.IsZero() {
		s.emit(StoreCommit{Call: CallID(s.nextNumber()), Txn: txn})
	}
	r.forget()
}

// tickMemberKey maintains the registration of the node.
func (c *coordinator) tickMemberKey(s *State) {
	r := &c.memberKey
	r.giveUpLateRenewal(s.now)
	if !r.canCall(s.now) || s.shutdown.requested || !s.catalog.hasSnapshot {
		return
	}
	switch {
	case r.lease.IsZero():
		r.requestLease(s)
	case r.position.IsZero():
		r.write(s, false, currantloom.StorePosition{})
	default:
		r.renewIfDue(s)
	}
}

// handleOwnMemberChange records what the store says about the node's own registration.
func (c *coordinator) handleOwnMemberChange(s *State, e MemberChange) {
	r := &c.memberKey
	switch {
	case e.Deleted:
		if !r.position.IsZero() && e.Position.After(r.position) && r.pendingKind != pendingWrite {
			s.log(Decision{
				Event: "registration", Version: e.Position.Revision(), Reason: "key deleted", Outcome: "again",
			})
			r.position = currantloom.StorePosition{}
		}
	case e.Incarnation == s.config.Incarnation && e.Position.After(r.position) && !r.lease.IsZero():
		r.position = e.Position
	}
}

// leaseHolder is the holder of the failover lease according to the store.
type leaseHolder struct {
	name        currantloom.VMName
	incarnation uint64
	position    currantloom.StorePosition
	// vacantSince is when the lease became vacant; zero if it is held or its state is unknown.
	vacantSince time.Duration
	// malformed says that the key exists and names no holder. A claim replaces it.
	malformed bool
}
