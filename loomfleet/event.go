package loomfleet

import (
	"time"

	"currantloom.example/currantloom"
)

// Ids of what the process holds open. They are unique for the life of the process.
type (
	// SessionID names a session of a client.
	SessionID uint64
	// ConnID names a connection to an upstream.
	ConnID uint64
	// LinkID names a link that another node opened.
	LinkID uint64
	// CallID names a call to the platform's store.
	CallID uint64
)

// Stamp is the part that all events share.
type Stamp struct {
	// Now is the time since the start of the process, suspensions of the VM included.
	Now time.Duration
	// Random is a uniformly distributed random number.
	Random uint64
}

func (s Stamp) stamp() Stamp { return s }

// Event is an input of the reducer.
type Event interface{ stamp() Stamp }

// Events of the process and the platform.
type (
	// Tick passes time; it comes every TickInterval.
	Tick struct{ Stamp }
	// ShutdownRequested starts the graceful shutdown.
	ShutdownRequested struct{ Stamp }
	// CatalogChanged brings what the store holds. Full says that upstreams and members that it lacks do not exist.
	CatalogChanged struct {
		Stamp
		Snapshot bool
		// Revision is that of the store for a full view.
		Revision      uint64
		Configuration *currantloom.Configuration
		Upstreams     []UpstreamChange
		Members       []MemberChange
		FailoverLease *FailoverLeaseChange
	}
	// StoreWatchSucceeded reports an answer of the watch on the store.
	StoreWatchSucceeded struct{ Stamp }
	// StoreWatchFailed reports that the watch failed.
	StoreWatchFailed struct {
		Stamp
		Reason string
	}
	// StoreAnswered ends a call to the store.
	StoreAnswered struct {
		Stamp
		Call   CallID
		Result StoreResult
		// Value is the revision of the change, or the lease.
		Value uint64
	}
	// PromoteAnswered ends an order to change a primary.
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
	// StoreUnknown means that there was no answer; a change may take effect later.
	StoreUnknown StoreResult = iota
	// StoreSucceeded means that the call was carried out.
	StoreSucceeded
	// StoreConflict means that a condition did not hold.
	StoreConflict
	// StoreLeaseExpired means that the lease has ended.
	StoreLeaseExpired
	// StoreUnavailable means that nothing was done.
	StoreUnavailable
)

// UpstreamChange is an upstream as the store holds it.
type UpstreamChange struct {
	Upstream currantloom.Upstream
	Revision uint64
	Deleted  bool
}

// MemberChange is the registration of a node.
type MemberChange struct {
	VM          currantloom.VM
	Incarnation uint64
	Revision    uint64
	Deleted     bool
}

// FailoverLeaseChange is the holder of the duty to change primaries.
type FailoverLeaseChange struct {
	Holder      currantloom.VMName
	Incarnation uint64
	Revision    uint64
	Deleted     bool
}

// Events of sessions.
type (
	// SessionOpened brings the startup of a client.
	SessionOpened struct {
		Stamp
		Session  SessionID
		Database currantloom.DatabaseName
	}
	// StatementReceived brings the next statement of a session that got the answer to its last one.
	StatementReceived struct {
		Stamp
		Session   SessionID
		Statement currantloom.Statement
	}
	// SessionClosed reports that the client is gone, or that its session was closed.
	SessionClosed struct {
		Stamp
		Session SessionID
	}
)

// Events of connections to upstreams.
type (
	// ConnOpened brings the outcome of OpenConn.
	ConnOpened struct {
		Stamp
		Conn ConnID
		// Reply is the upstream's answer; Failed says that there was none, Refused that nothing listens there.
		Reply   currantloom.Reply
		Failed  bool
		Refused bool
	}
	// ReplyReceived brings the next reply on a connection. Status is decoded for the commands that return one.
	ReplyReceived struct {
		Stamp
		Conn  ConnID
		Reply currantloom.Reply
	}
	// ConnLost reports the end of a connection that the node did not close.
	ConnLost struct {
		Stamp
		Conn ConnID
	}
)

// Events of links between nodes.
type (
	// MessageReceived brings a message. Link is zero for answers on a link that this node opened.
	MessageReceived struct {
		Stamp
		From    currantloom.VMName
		Link    LinkID
		Message currantloom.Message
	}
	// OutboundLinkFailed reports that the link to a VM failed. Sent says that messages of it may have arrived.
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
