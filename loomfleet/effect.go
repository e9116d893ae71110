package loomfleet

import (
	"time"

	"currantloom.example/currantloom"
)

// Effect is an output of the reducer, an action for the process to carry out.
type Effect interface{ effect() }

// Effects on clients, upstreams, other nodes and the load balancer.
type (
	// ReplyToSession writes a reply to a client.
	ReplyToSession struct {
		Session SessionID
		Reply   currantloom.Reply
	}
	// CloseSession closes a session after the replies before it were written. Unless its code is ReplyOK, the reply tells
	// the client why, and answers a statement that is on its way.
	CloseSession struct {
		Session SessionID
		Reply   currantloom.Reply
	}
	// OpenConn opens a connection to an upstream for an organisation, or for none.
	OpenConn struct {
		Conn         ConnID
		Upstream     currantloom.Upstream
		Organisation currantloom.OrganisationName
	}
	// SendCommands writes commands to an upstream.
	SendCommands struct {
		Conn     ConnID
		Commands []currantloom.Command
	}
	// CloseConn closes a connection; no more events arrive for it.
	CloseConn struct{ Conn ConnID }
	// Send sends a message to a VM over this node's link to it, which is opened if necessary.
	Send struct {
		VM      currantloom.VM
		Message currantloom.Message
	}
	// Respond sends a message over the link on which the message that it answers arrived.
	Respond struct {
		Link    LinkID
		Message currantloom.Message
	}
	// ResetLink closes the link to a VM that does not answer.
	ResetLink struct{ VM currantloom.VMName }
	// SetReady tells the load balancer whether this node accepts new connections.
	SetReady struct{ Ready bool }
	// ShutdownFinished reports that the graceful shutdown has finished.
	ShutdownFinished struct{}
)

// Effects on the platform. StoreAnswered and PromoteAnswered report their results.
type (
	// StoreCommit writes a key.
	StoreCommit struct {
		Call CallID
		Txn  StoreTxn
	}
	// StoreGrantLease requests a lease.
	StoreGrantLease struct {
		Call CallID
		Era  currantloom.StoreEra
		TTL  time.Duration
	}
	// StoreRenewLease renews a lease.
	StoreRenewLease struct {
		Call  CallID
		Lease currantloom.StoreLease
	}
	// ProbeStore asks the store for the failover lease. StoreWatchFailed reports that it does not answer.
	ProbeStore struct{}
	// FetchConfiguration asks a VM that reports a newer configuration for its copy. CatalogChanged reports the result.
	FetchConfiguration struct{ VM currantloom.VM }
	// Promote asks the platform to make an upstream the primary.
	Promote struct {
		Service     currantloom.ServiceName
		Upstream    currantloom.UpstreamName
		Fence       currantloom.Fence
		PromotionID uint64
	}
)

// RegistrationKind says which of the node's own keys is written.
type RegistrationKind uint8

// The keys that nodes keep in the store.
const (
	// RegistrationMember registers the node as a member of the fleet.
	RegistrationMember RegistrationKind = iota
	// RegistrationFailoverLease claims the failover lease.
	RegistrationFailoverLease
)

// StoreTxn writes one of the node's own keys.
type StoreTxn struct {
	Kind RegistrationKind
	// Lease is the lease under which the key is written. Its era is that of the transaction, also for a deletion.
	Lease currantloom.StoreLease
	// Expected is the position that the key must have, zero if it must not exist. Without Conditional the key is
	// written in any case.
	Conditional bool
	Expected    currantloom.StorePosition
	// Delete deletes the key instead of writing it.
	Delete bool
	// RecordsChanges replaces the record of changes of primary, together with the key of the failover lease, by Changes:
	// the services whose primary may be changed by a request of this holder or of an earlier one.
	RecordsChanges bool
	Changes        []currantloom.ServiceName
}

// Decision is a log line: what was decided, the inputs with their age or version, and the outcome.
type Decision struct {
	Event string
	// Request is the client's id of the statement.
	Request string
	Session SessionID
	// Organisation is the organisation that the decision is about; empty for none.
	Organisation currantloom.OrganisationName
	Service      currantloom.ServiceName
	Upstream     currantloom.UpstreamName
	VM           currantloom.VMName
	// Position is the log position that the decision is about, PositionAge is how long before the request it was
	// sampled.
	Position    currantloom.LogPosition
	PositionAge time.Duration
	// Version is the revision or version of the input, Age its age or the time that the operation has taken.
	Version uint64
	Age     time.Duration
	Attempt int
	// Count is the number of occurrences since the previous line of this kind.
	Count int
	// Tokens is the number of unused tokens of the organisation's limit that the node holds.
	Tokens  int
	Reason  string
	Outcome string
	// Prepared is the name and the definition of a prepared statement at the upstream, shortened; empty for none.
	Prepared string
	// Routine says that the line reports normal operation and may be omitted under load.
	Routine bool
}

func (ReplyToSession) effect()     {}
func (CloseSession) effect()       {}
func (OpenConn) effect()           {}
func (SendCommands) effect()       {}
func (CloseConn) effect()          {}
func (Send) effect()               {}
func (Respond) effect()            {}
func (ResetLink) effect()          {}
func (SetReady) effect()           {}
func (ShutdownFinished) effect()   {}
func (StoreCommit) effect()        {}
func (StoreGrantLease) effect()    {}
func (StoreRenewLease) effect()    {}
func (FetchConfiguration) effect() {}
func (ProbeStore) effect()         {}
func (Promote) effect()            {}
func (Decision) effect()           {}
