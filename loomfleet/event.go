package loomfleet

import (
	"time"

	"currantloom.example/currantloom"
)

// Identifiers of the process's open resources and calls. They are unique for the lifetime of the process.
type (
	// SessionID identifies a client session.
	SessionID uint64
	// ConnID identifies a connection to an upstream.
	ConnID uint64
	// LinkID identifies a link that another node opened.
	LinkID uint64
	// CallID identifies a call to the platform's store.
	CallID uint64
)

// Stamp is the part that all events share.
type Stamp struct {
	// Now is the time since the start of the process, including suspensions of the VM.
	Now time.Duration
	// Random is a uniformly distributed random number.
	Random uint64
}

func (s Stamp) stamp() Stamp { return s }

// Event is an input of the reducer.
type Event interface{ stamp() Stamp }

// Events of the process and the platform.
type (
	// Tick advances the time; it arrives every TickInterval.
	Tick struct{ Stamp }
	// ShutdownRequested starts the graceful shutdown.
	ShutdownRequested struct{ Stamp }
	// CatalogChanged reports changes in the store. Snapshot says that the event holds all upstreams and members, so any
	// other does not exist.
	CatalogChanged struct {
		Stamp
		Snapshot bool
		// Position is the position of the store up to which the changes were read; zero if it is unknown.
		Position      currantloom.StorePosition
		Configuration *currantloom.Configuration
		// From is the node that passed the changes on; empty if this node has read them from the store.
		From          currantloom.VMName
		Upstreams     []UpstreamChange
		Members       []MemberChange
		FailoverLease *FailoverLeaseChange
		ChangeRecord  *ChangeRecord
	}
	// StoreWatchSucceeded reports that the watch on the store got an answer, whose changes were reported before. Pushed
	// says that another node got the answer and passed it on.
	StoreWatchSucceeded struct {
		Stamp
		// Age is the time since the store was asked for the answer.
		Age    time.Duration
		Pushed bool
	}
	// StoreWatchFailed reports that the watch on the store failed.
	StoreWatchFailed struct {
		Stamp
		Reason string
	}
	// StoreEraChanged reports that the store answered in a later era: it came back from an older copy.
	StoreEraChanged struct {
		Stamp
		Era currantloom.StoreEra
	}
	// StoreAnswered reports the result of a call to the store.
	StoreAnswered struct {
		Stamp
		Call   CallID
		Result StoreResult
		// Position is that of a write, Lease the granted lease, Era the store's era if Result is StoreRestored.
		Position currantloom.StorePosition
		Lease    currantloom.StoreLease
		Era      currantloom.StoreEra
	}
	// PromoteAnswered reports the result of Promote.
	PromoteAnswered struct {
		Stamp
		Service     currantloom.ServiceName
		PromotionID uint64
		Result      currantloom.PromoteResult
	}
)

// StoreResult is the outcome of a call to the store.
type StoreResult uint8

// Outcomes of calls to the store.
const (
	// StoreUnknown means that there was no answer; a write may take effect later.
	StoreUnknown StoreResult = iota
	// StoreSucceeded means that the call was carried out.
	StoreSucceeded
	// StoreConflict means that the key did not have the expected revision.
	StoreConflict
	// StoreLeaseExpired means that the lease no longer exists.
	StoreLeaseExpired
	// StoreUnavailable means that the call was not carried out.
	StoreUnavailable
	// StoreRestored means that the store answered in a later era than the call's.
	StoreRestored
)

// UpstreamChange is a change of an upstream's registration.
type UpstreamChange struct {
	Upstream currantloom.Upstream
	Position currantloom.StorePosition
	Deleted  bool
}

// MemberChange is a change of a node's registration.
type MemberChange struct {
	VM          currantloom.VM
	Incarnation uint64
	Position    currantloom.StorePosition
	Deleted     bool
}

// FailoverLeaseChange is a change of the failover lease's holder.
type FailoverLeaseChange struct {
	// Holder is empty if the key names none, because something else has written it.
	Holder      currantloom.VMName
	Incarnation uint64
	Position    currantloom.StorePosition
	Deleted     bool
}

// ChangeRecord is the record of changes of primary that a holder of the failover lease may have requested. It outlasts
// the lease.
type ChangeRecord struct {
	Services []currantloom.ServiceName
	Position currantloom.StorePosition
}

// Events of client sessions.
type (
	// SessionOpened reports the startup of a client.
	SessionOpened struct {
		Stamp
		Session SessionID
		currantloom.Startup
	}
	// StatementReceived reports the next statement of a session whose previous statement was answered.
	StatementReceived struct {
		Stamp
		Session   SessionID
		Statement currantloom.Statement
	}
	// SessionClosed reports that the client has disconnected, or that its session was closed.
	SessionClosed struct {
		Stamp
		Session SessionID
	}
)

// Events of connections to upstreams.
type (
	// ConnOpened reports the result of OpenConn.
	ConnOpened struct {
		Stamp
		Conn ConnID
		// Reply is the upstream's answer. Failed says that there was none, Refused that the connection was refused.
		Reply   currantloom.Reply
		Failed  bool
		Refused bool
	}
	// ReplyReceived reports the next reply on a connection. Its ReplicationStatus is set for the commands that return
	// one.
	ReplyReceived struct {
		Stamp
		Conn  ConnID
		Reply currantloom.Reply
	}
	// ConnLost reports the end of a connection that the reducer did not close.
	ConnLost struct {
		Stamp
		Conn ConnID
		// Unwritable says why the last commands could not be written; none of them was sent, and the node closed the
		// connection itself. It is empty if the connection ended otherwise.
		Unwritable string
	}
)

// Events of links between nodes.
type (
	// MessageReceived reports a message. Link is zero for answers on a link that this node opened.
	MessageReceived struct {
		Stamp
		From    currantloom.VMName
		Link    LinkID
		Message currantloom.Message
	}
	// OutboundLinkFailed reports that this node's link to a VM failed. Sent says that messages on it may have arrived.
	OutboundLinkFailed struct {
		Stamp
		VM   currantloom.VMName
		Sent bool
	}
	// InboundLinkClosed reports the end of a link that another node opened.
	InboundLinkClosed struct {
		Stamp
		Link LinkID
	}
)
