package loomfleet

import (
	"time"

	"currantloom.example/currantloom"
)

// Effect is an output of the reducer: what the process has to do.
type Effect interface{ effect() }

// Effects at the edges of the node.
type (
	// ReplyToSession writes a reply to a client.
	ReplyToSession struct {
		Session SessionID
		Reply   currantloom.Reply
	}
	// CloseSession closes a session, after the answer before it was written.
	CloseSession struct{ Session SessionID }
	// OpenConn opens a connection to an upstream.
	OpenConn struct {
		Conn     ConnID
		Upstream currantloom.Upstream
	}
	// SendCommands writes commands to an upstream.
	SendCommands struct {
		Conn     ConnID
		Commands []currantloom.Command
	}
	// CloseConn closes a connection; no more events come from it.
	CloseConn struct{ Conn ConnID }
	// Send sends a message to a VM, over the link that this node opened or opens now.
	Send struct {
		VM      currantloom.VM
		Message currantloom.Message
	}
	// Respond sends a message back over the link on which a message came.
	Respond struct {
		Link    LinkID
		Message currantloom.Message
	}
	// ResetLink closes the link to a VM, because it is silent.
	ResetLink struct{ VM currantloom.VMName }
	// SetReady tells the load balancer whether this node takes new connections.
	SetReady struct{ Ready bool }
	// StopAccepting stops accepting connections.
	StopAccepting struct{}
	// ShutdownFinished reports that the graceful shutdown has finished.
	ShutdownFinished struct{}
)

// Effects on the platform. Their answers are StoreAnswered and PromoteAnswered.
type (
	// StoreCommit changes keys.
	StoreCommit struct {
		Call CallID
		Txn  StoreTxn
	}
	// StoreGrantLease asks for a lease.
	StoreGrantLease struct {
		Call CallID
		TTL  time.Duration
	}
	// StoreRenewLease renews a lease.
	StoreRenewLease struct {
		Call  CallID
		Lease uint64
	}
	// StoreRevokeLease ends a lease; nothing waits for the answer.
	StoreRevokeLease struct{ Lease uint64 }
	// Promote orders a change of primary.
	Promote struct {
		Service     currantloom.ServiceName
		Upstream    currantloom.UpstreamName
		Fence       uint64
		PromotionID uint64
	}
)

// RegistrationKind says which of the node's own keys is written.
type RegistrationKind uint8

// The keys that nodes keep in the store.
const (
	// RegistrationMember announces the node to the others.
	RegistrationMember RegistrationKind = iota
	// RegistrationFailoverLease claims the duty to change primaries.
	RegistrationFailoverLease
)

// StoreTxn writes one of the node's own keys.
type StoreTxn struct {
	Kind  RegistrationKind
	Lease uint64
	// Expected is the revision that the key has to have, 0 for none; without Conditional it is written in any case.
	Conditional      bool
	ExpectedRevision uint64
	Delete           bool
}

// Decision is one line of the log: what was decided, from which inputs, of which age or version, and the outcome.
type Decision struct {
	Event string
	// Request is the client's id of the statement.
	Request  string
	Session  SessionID
	Service  currantloom.ServiceName
	Upstream currantloom.UpstreamName
	VM       currantloom.VMName
	// Position is the log position that the decision is about, PositionAge is how long before the request it was taken.
	Position    currantloom.LogPosition
	PositionAge time.Duration
	// Version is the revision or the version of the input, Age its age.
	Version uint64
	Age     time.Duration
	Attempt int
	// Count is how often something happened since the last such line.
	Count   int
	Reason  string
	Outcome string
	// Routine says that the line tells of ordinary work, and may be left out under load.
	Routine bool
}

func (ReplyToSession) effect()   {}
func (CloseSession) effect()     {}
func (OpenConn) effect()         {}
func (SendCommands) effect()     {}
func (CloseConn) effect()        {}
func (Send) effect()             {}
func (Respond) effect()          {}
func (ResetLink) effect()        {}
func (SetReady) effect()         {}
func (StopAccepting) effect()    {}
func (ShutdownFinished) effect() {}
func (StoreCommit) effect()      {}
func (StoreGrantLease) effect()  {}
func (StoreRenewLease) effect()  {}
func (StoreRevokeLease) effect() {}
func (Promote) effect()          {}
func (Decision) effect()         {}
