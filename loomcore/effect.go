package loomcore

import (
	"time"

	"currantloom.example/currantloom"
)

// Effect is an output of the reducer: an action that the node carries out.
type Effect interface{ effect() }

// Effects on rules, peers and the process.
type (
	// PushRules sends a rules document to VMs.
	PushRules struct {
		VMs      []currantloom.VMName
		Document currantloom.RulesDocument
	}
	// PullRules asks a VM for rules that are newer than Revision.
	PullRules struct {
		VM       currantloom.VMName
		Revision currantloom.RulesRevision
	}
	// WatchRules starts or stops this node's watch on the store.
	WatchRules struct{ Enabled bool }
	// SetReady tells the load balancer whether this node takes new connections.
	SetReady struct{ Ready bool }
	// DrainSessions closes idle client connections, and the others as soon as they become idle.
	DrainSessions struct{}
	// ShutdownFinished reports that the graceful shutdown has finished.
	ShutdownFinished struct{}
	// Decision is written to the log as one line.
	Decision struct {
		Event        string
		Key          currantloom.RequestKey
		Organisation currantloom.OrganisationName
		Upstream     currantloom.UpstreamName
		VM           currantloom.VMName
		Term         currantloom.Term
		// Revision is the revision of the rules; it is zero for decisions on anything else.
		Revision currantloom.RulesRevision
		Reason   string
	}
)

// Effects on database groups.
type (
	// PollStatus asks an upstream for its status.
	PollStatus struct{ Upstream currantloom.UpstreamName }
	// RaiseTerm asks an upstream to grant a term to this node.
	RaiseTerm struct {
		Upstream currantloom.UpstreamName
		Term     currantloom.Term
	}
	// Promote makes an upstream the primary of a term.
	Promote struct {
		Upstream currantloom.UpstreamName
		Term     currantloom.Term
	}
	// Follow makes an upstream a replica of the primary of a term.
	Follow struct {
		Upstream currantloom.UpstreamName
		Term     currantloom.Term
		Primary  currantloom.UpstreamName
	}
	// PurgeRequestIDs removes the request ids that are older than OlderThan from the database of a primary.
	PurgeRequestIDs struct {
		Upstream  currantloom.UpstreamName
		OlderThan time.Duration
	}
)

// Effects at the entry node.
type (
	// Forward sends a request to the owner of an upstream, as the attempt of the given number.
	Forward struct {
		Attempt int
		VM      currantloom.VMName
		Header  currantloom.RequestHeader
	}
	// Respond ends a request. The session writes an error unless the trailer says that the response is complete.
	Respond struct {
		Key     currantloom.RequestKey
		Trailer currantloom.ResponseTrailer
	}
	// CancelForward asks an owner to give up an attempt of a request.
	CancelForward struct {
		Key currantloom.RequestKey
		VM  currantloom.VMName
	}
)

// Effects at the owner of an upstream.
type (
	// Run runs an attempt at an upstream.
	Run struct {
		Key                currantloom.RequestKey
		Upstream           currantloom.UpstreamName
		ReadOnly           bool
		ConfirmTerm        bool
		WithholdCompletion bool
		// Timeout is the time until the request's deadline.
		Timeout time.Duration
		// StallTimeout is the longest time without a byte from the upstream; zero means that only Timeout applies.
		StallTimeout time.Duration
	}
	// Acknowledge forwards the withheld completion to the client.
	Acknowledge struct{ Key currantloom.RequestKey }
	// Reject ends an attempt that has not started, or one whose withheld completion must not be forwarded. In the second
	// case no Complete follows, and RunFinished still has to report the end of the run.
	Reject struct {
		Key     currantloom.RequestKey
		Trailer currantloom.ResponseTrailer
	}
	// Complete ends an attempt that ran.
	Complete struct {
		Key     currantloom.RequestKey
		Trailer currantloom.ResponseTrailer
	}
	// ConfirmPosition asks a replica for its status, to see whether it holds the log position of an attempt.
	ConfirmPosition struct {
		Key      currantloom.RequestKey
		Upstream currantloom.UpstreamName
	}
	// CancelRun cancels a run.
	CancelRun struct{ Key currantloom.RequestKey }
	// CloseConnection closes the connection that an idle transaction holds. Later requests of the transaction must not
	// run. TransactionEnded reports that the connection is closed.
	CloseConnection struct {
		Transaction currantloom.RequestKey
		SQLState    currantloom.SQLState
		Reason      string
	}
)

func (PushRules) effect()        {}
func (PullRules) effect()        {}
func (WatchRules) effect()       {}
func (SetReady) effect()         {}
func (DrainSessions) effect()    {}
func (ShutdownFinished) effect() {}
func (Decision) effect()         {}
func (PollStatus) effect()       {}
func (RaiseTerm) effect()        {}
func (Promote) effect()          {}
func (Follow) effect()           {}
func (PurgeRequestIDs) effect()  {}
func (Forward) effect()          {}
func (Respond) effect()          {}
func (CancelForward) effect()    {}
func (Run) effect()              {}
func (Acknowledge) effect()      {}
func (Reject) effect()           {}
func (Complete) effect()         {}
func (ConfirmPosition) effect()  {}
func (CancelRun) effect()        {}
func (CloseConnection) effect()  {}
