package loomcore

import (
	"time"

	"currantloom.example/currantloom"
)

// Effect is an output of the reducer: what the node has to do.
type Effect interface{ effect() }

// Effects on rules, peers and the process.
type (
	// SpreadRules sends the rules in effect to VMs.
	SpreadRules struct {
		VMs      []currantloom.VMName
		Document currantloom.RulesDocument
	}
	// PullRules asks a VM for newer rules.
	PullRules struct {
		VM       currantloom.VMName
		Revision currantloom.RulesRevision
	}
	// WatchRules starts or stops this node's watch on the store.
	WatchRules struct{ On bool }
	// SetReady tells the load balancer whether this node takes new connections.
	SetReady struct{ Ready bool }
	// CloseSessions closes idle client connections, and others as they become idle.
	CloseSessions struct{}
	// Stopped reports that the graceful shutdown has finished.
	Stopped struct{}
	// Decision is one line of the log.
	Decision struct {
		Event  string
		Key    currantloom.RequestKey
		Caller currantloom.OrganisationName
		Server currantloom.UpstreamName
		VM     currantloom.VMName
		Term   currantloom.Term
		// Revision is that of rules; zero for decisions on anything else.
		Revision currantloom.RulesRevision
		Reason   string
	}
)

// Effects on database groups.
type (
	// PollStatus asks a server for its report.
	PollStatus struct{ Server currantloom.UpstreamName }
	// RaiseTerm asks a server to grant a term to this node.
	RaiseTerm struct {
		Server currantloom.UpstreamName
		Term   currantloom.Term
	}
	// Lead makes a server the primary of a term.
	Lead struct {
		Server currantloom.UpstreamName
		Term   currantloom.Term
	}
	// Follow makes a server a replica of the primary of a term.
	Follow struct {
		Server  currantloom.UpstreamName
		Term    currantloom.Term
		Primary currantloom.UpstreamName
	}
	// PurgeRequestIDs removes the request ids that are older than the age from the database of a primary.
	PurgeRequestIDs struct {
		Server currantloom.UpstreamName
		Age    time.Duration
	}
)

// Effects at the entry node.
type (
	// Forward sends a request to a carrier.
	Forward struct {
		Attempt int
		VM      currantloom.VMName
		Header  currantloom.RequestHeader
	}
	// Answer ends a request. The session writes an error unless the trailer says that the response is complete.
	Answer struct {
		Key     currantloom.RequestKey
		Trailer currantloom.ResponseTrailer
	}
	// CancelForward asks a carrier to give up an attempt of a request.
	CancelForward struct {
		Key currantloom.RequestKey
		VM  currantloom.VMName
	}
)

// Effects at the carrier.
type (
	// Run runs work at a server.
	Run struct {
		Key                currantloom.RequestKey
		Server             currantloom.UpstreamName
		ReadOnly           bool
		ConfirmTerm        bool
		WithholdCompletion bool
		// Limit is the time until the request's deadline.
		Limit time.Duration
		// Progress is the longest time without a byte from the server; zero means that only Limit applies.
		Progress time.Duration
	}
	// Acknowledge lets the withheld completion pass.
	Acknowledge struct{ Key currantloom.RequestKey }
	// Reject ends work that has not started, or whose withheld completion must not pass. In the second case no Complete
	// follows, and WorkFinished still has to report the end of the run.
	Reject struct {
		Key     currantloom.RequestKey
		Trailer currantloom.ResponseTrailer
	}
	// Complete ends work that ran.
	Complete struct {
		Key     currantloom.RequestKey
		Trailer currantloom.ResponseTrailer
	}
	// ConfirmMark asks a replica whether it holds a mark.
	ConfirmMark struct {
		Key    currantloom.RequestKey
		Server currantloom.UpstreamName
	}
	// CancelWork cancels work that runs.
	CancelWork struct{ Key currantloom.RequestKey }
	// CloseConnection closes the connection that an idle transaction holds. Later requests on its link must not run;
	// TransactionEnded reports that the connection is closed.
	CloseConnection struct {
		Transaction currantloom.RequestKey
		Code        currantloom.SQLState
		Reason      string
	}
)

func (SpreadRules) effect()     {}
func (PullRules) effect()       {}
func (WatchRules) effect()      {}
func (SetReady) effect()        {}
func (CloseSessions) effect()   {}
func (Stopped) effect()         {}
func (Decision) effect()        {}
func (PollStatus) effect()      {}
func (RaiseTerm) effect()       {}
func (Lead) effect()            {}
func (Follow) effect()          {}
func (PurgeRequestIDs) effect() {}
func (Forward) effect()         {}
func (Answer) effect()          {}
func (CancelForward) effect()   {}
func (Run) effect()             {}
func (Acknowledge) effect()     {}
func (Reject) effect()          {}
func (Complete) effect()        {}
func (ConfirmMark) effect()     {}
func (CancelWork) effect()      {}
func (CloseConnection) effect() {}
