package currantloom

import "time"

// CallMode says how a carrier runs the command of a call.
type CallMode uint8

const (
	// CallPlain runs the command as it is.
	CallPlain CallMode = iota
	// CallGuarded runs a read inside a transaction of its own, which a server that lost the lead refuses.
	CallGuarded
	// CallOpen opens a transaction that may write, and runs the command in it.
	CallOpen
	// CallOpenRead opens a transaction that only reads, and runs the command in it.
	CallOpenRead
	// CallContinue runs the command in an open transaction.
	CallContinue
	// CallProbe asks whether the upstream is the primary, by a transaction that it opens and ends at once.
	CallProbe
	// CallControl runs a command of the failover.
	CallControl
)

// Message is what nodes send each other.
type Message interface{ message() }

// Call asks a carrier to run a command at an upstream.
type Call struct {
	Key      RequestKey
	Service  ServiceName
	Upstream ServerName
	Mode     CallMode
	// Transaction is the key of the call that opened the transaction to continue.
	Transaction RequestKey
	Command     Command
	// After is the session's own newest commit, which a read has to see; zero if it need not see any.
	After Mark
	// MaxAge is the accepted age of a read that any upstream may serve; zero for all other commands. The carrier proves
	// it from the samples that it has when the call arrives.
	MaxAge time.Duration
	// Settings are the values that the session has set, sorted by name.
	Settings []Setting
	// Prepared is what the command executes; only for CommandExecute.
	Prepared Prepared
	// Timeout bounds the run, Wait the time in the queue before it.
	Timeout time.Duration
	Wait    time.Duration
	// Goal is the time that is left for the latency that the operators want; zero if it has passed or there is none.
	Goal time.Duration
	// Priority is 0 for the most urgent work.
	Priority int
	// TransactionIdle is how long the transaction may be idle.
	TransactionIdle time.Duration
}

// Sample is a mark that covers every commit acknowledged before it was taken: the log of the proven primary then.
type Sample struct {
	Service  ServiceName
	Upstream ServerName
	Mark     Mark
	// Age is the time from when it was taken to when the message was built.
	Age time.Duration
}

// CallAnswer ends a call.
type CallAnswer struct {
	Key     RequestKey
	Verdict Verdict
	Reply   Reply
	// Reason says why there is no reply of the upstream.
	Reason CallReason
	// Wait is the expected time in the queue of new work.
	Wait time.Duration
	// Sample is the newest one of the service; its upstream is empty if there is none.
	Sample Sample
	// Required is what the log had to cover, and Fresh how long before the call's arrival that was taken.
	Required Mark
	Fresh    time.Duration
}

// CallReason says why a call has no reply of the upstream.
type CallReason uint8

// Reasons of calls without a reply.
const (
	// ReasonReplied means that there is a reply.
	ReasonReplied CallReason = iota
	// ReasonQueue means that the work would wait too long.
	ReasonQueue
	// ReasonUnreachable means that this carrier has no connection to the upstream.
	ReasonUnreachable
	// ReasonUnknownUpstream means that the carrier does not know the upstream.
	ReasonUnknownUpstream
	// ReasonLeaving means that the carrier is shutting down.
	ReasonLeaving
	// ReasonNoTransaction means that the transaction is over.
	ReasonNoTransaction
	// ReasonLost means that the connection ended during the run.
	ReasonLost
	// ReasonSilent means that there was no answer within the timeout.
	ReasonSilent
	// ReasonLink means that the link to the carrier failed.
	ReasonLink
	// ReasonRefused means that the upstream refused before it ran the command, as the reply says.
	ReasonRefused
	// ReasonHeld means that a planned change of primary holds new work back.
	ReasonHeld
	// ReasonNoSample means that the carrier cannot prove that its upstream is fresh enough.
	ReasonNoSample
)

// String returns the reason as it stands in logs.
func (r CallReason) String() string {
	names := [...]string{
		"replied", "queue", "unreachable", "unknown_upstream", "leaving", "no_transaction", "lost", "silent", "link",
		"refused", "held", "no_sample",
	}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}

// CallCancel gives up a call that still waits in the queue.
type CallCancel struct{ Key RequestKey }

// TransactionEnd rolls a transaction back.
type TransactionEnd struct{ Transaction RequestKey }

// Ping asks a node for its Pong. With a service it also asks for the newest commit of it that the node has seen
// acknowledged.
type Ping struct {
	Number  uint64
	Service ServiceName
}

// UpstreamReport is what a carrier knows of an upstream.
type UpstreamReport struct {
	Name    ServerName
	Service ServiceName
	// Up says that the carrier has a working connection, or no reason to doubt that it gets one.
	Up bool
	// Down says that the carrier has tried and failed.
	Down bool
	// Stuck says that commits remain without an answer.
	Stuck bool
	// Open is the number of transactions that may write.
	Open int
	Wait time.Duration
	Mark Mark
}

// AckedMark is the newest commit of a service that a node has seen acknowledged.
type AckedMark struct {
	Service ServiceName
	Mark    Mark
}

// Pong answers a Ping with what the node knows first-hand.
type Pong struct {
	Number  uint64
	Leaving bool
	// StoreReachable says that the node reached the platform's store lately.
	StoreReachable bool
	// Version is that of the configuration in force.
	Version   uint64
	Upstreams []UpstreamReport
	Samples   []Sample
	Acked     []AckedMark
}

// UpstreamFailed tells the holder of the duty, without being asked, that the sender can no longer reach the primary of
// a service that it carries, or that commits remain without an answer there.
type UpstreamFailed struct{ Report UpstreamReport }

// Leaving says that the sender is shutting down and takes no new work.
type Leaving struct{}

// Hold asks carriers to admit no new writes of a service, because its primary is about to change.
type Hold struct {
	Service ServiceName
	For     time.Duration
	// Commits says that open transactions are held as well.
	Commits bool
}

// Promoted announces a new primary.
type Promoted struct {
	Service  ServiceName
	Upstream ServerName
	Term     Term
}

// ItemsRequest asks a node for the items of the store that it knows.
type ItemsRequest struct{}

// Items are keys of the store as a node read them: the answer to an ItemsRequest, or with Push what changed after the
// revision Base up to Revision.
type Items struct {
	Items          []StoreItem
	Push           bool
	Base, Revision uint64
}

func (Call) message()           {}
func (CallAnswer) message()     {}
func (CallCancel) message()     {}
func (TransactionEnd) message() {}
func (Ping) message()           {}
func (Pong) message()           {}
func (UpstreamFailed) message() {}
func (Leaving) message()        {}
func (Hold) message()           {}
func (Promoted) message()       {}
func (ItemsRequest) message()   {}
func (Items) message()          {}
