package loomcore

import (
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomrules"
)

// Stamp holds the time and the random number of an event. All events have one.
type Stamp struct {
	// Now is the monotonic time since the start of the node.
	Now time.Duration
	// Random is a uniformly distributed random number.
	Random uint64
}

func (s Stamp) stamp() Stamp { return s }

// Event is an input of the reducer.
type Event interface{ stamp() Stamp }

// Events that any part of the node may cause.
type (
	// Tick lets the reducer act on the passing of time. It comes every TickInterval.
	Tick struct{ Stamp }
	// ShutdownRequested starts the graceful shutdown.
	ShutdownRequested struct{ Stamp }
)

// Events of the rules and the VM list.
type (
	// RulesReceived delivers valid rules from the store (From is empty) or from a peer.
	RulesReceived struct {
		Stamp
		Document currantloom.RulesDocument
		Rules    *loomrules.Rules
		From     currantloom.VMName
	}
	// VMsReceived delivers the platform's list of VMs.
	VMsReceived struct {
		Stamp
		Set currantloom.VMSet
	}
	// PeerFailed reports that a VM did not answer or refused a connection.
	PeerFailed struct {
		Stamp
		VM currantloom.VMName
	}
	// ControlFailed reports a call of the control protocol without an answer. It says nothing about the VM's links, so
	// the VM keeps the upstreams that it owns.
	ControlFailed struct {
		Stamp
		VM currantloom.VMName
	}
	// PeerAnswered reports an answer of a VM and the revision of the rules that it has in effect.
	PeerAnswered struct {
		Stamp
		VM       currantloom.VMName
		Revision currantloom.RulesRevision
	}
)

// Events of the database groups.
type (
	// StatusReceived delivers an upstream's status. SentAt is when the poll was sent.
	StatusReceived struct {
		Stamp
		Upstream currantloom.UpstreamName
		SentAt   time.Duration
		Status   currantloom.PostgresStatus
	}
	// StatusFailed reports a poll without an answer. SentAt is when the poll was sent; ConnectionRefused says that the
	// upstream refused the connection.
	StatusFailed struct {
		Stamp
		Upstream          currantloom.UpstreamName
		SentAt            time.Duration
		ConnectionRefused bool
	}
	// RaiseTermAnswered delivers the answer to RaiseTerm. Failed says that there was none.
	RaiseTermAnswered struct {
		Stamp
		Upstream currantloom.UpstreamName
		Term     currantloom.Term
		Grant    currantloom.TermGrant
		Failed   bool
	}
	// PromoteAnswered delivers the answer to Promote. Failed says that there was none, or a refusal.
	PromoteAnswered struct {
		Stamp
		Upstream currantloom.UpstreamName
		Term     currantloom.Term
		Failed   bool
	}
)

// Events of the entry node.
type (
	// RequestArrived delivers a request of a session.
	RequestArrived struct {
		Stamp
		Request currantloom.Request
	}
	// ForwardFinished reports the end of an attempt. Sent says that at least one byte was written to the owner.
	ForwardFinished struct {
		Stamp
		Key     currantloom.RequestKey
		Attempt int
		Sent    bool
		Trailer currantloom.ResponseTrailer
	}
	// RequestCancelled asks to give up a request, because the client cancelled it or disconnected.
	RequestCancelled struct {
		Stamp
		Key currantloom.RequestKey
	}
)

// Events of the owner of an upstream.
type (
	// AttemptArrived brings a request to run at an upstream that this node owns. InTransaction says that the request
	// continues the open transaction that the request Transaction began; the transaction still holds its connection.
	AttemptArrived struct {
		Stamp
		Header        currantloom.RequestHeader
		InTransaction bool
		Transaction   currantloom.RequestKey
	}
	// RunAnswered delivers the upstream's result of a run whose completion is withheld.
	RunAnswered struct {
		Stamp
		Key    currantloom.RequestKey
		Result currantloom.PostgresResult
	}
	// ConfirmPositionAnswered delivers the answer to ConfirmPosition. Failed says that there was none.
	ConfirmPositionAnswered struct {
		Stamp
		Key      currantloom.RequestKey
		Upstream currantloom.UpstreamName
		Status   currantloom.PostgresStatus
		Failed   bool
	}
	// RunFinished reports the end of a run.
	RunFinished struct {
		Stamp
		Key    currantloom.RequestKey
		Result currantloom.PostgresResult
	}
	// AttemptCancelled asks to give up an attempt.
	AttemptCancelled struct {
		Stamp
		Key currantloom.RequestKey
	}
	// TransactionEnded reports that the connection that an open transaction held was released.
	TransactionEnded struct {
		Stamp
		Transaction currantloom.RequestKey
	}
)
