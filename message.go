package currantloom

import "time"

// CallMode says how the owner of an upstream runs the command of a call.
type CallMode uint8

const (
	// CallDirect runs the command outside a transaction.
	CallDirect CallMode = iota
	// CallPrimaryRead runs a read in a transaction of its own, which an upstream that is no longer the primary refuses.
	CallPrimaryRead
	// CallBegin opens a read-write transaction and runs the command in it.
	CallBegin
	// CallBeginRead opens a read-only transaction and runs the command in it.
	CallBeginRead
	// CallInTransaction runs the command in an open transaction.
	CallInTransaction
	// CallVerifyPrimary checks that the upstream is the primary by a transaction that it opens and ends at once.
	CallVerifyPrimary
	// CallFailover runs a command of a failover or of a planned change of primary.
	CallFailover
)

// Message is a message between nodes of the platform half.
type Message interface{ message() }

// Call asks the owner of an upstream to run a command there.
type Call struct {
	Key      RequestKey
	Service  ServiceName
	Upstream UpstreamName
	Mode     CallMode
	// Organisation is the organisation that the command runs for; empty for none. The command runs on a connection of
	// this organisation.
	Organisation OrganisationName
	// Transaction is the key of the call that opened the transaction to continue.
	Transaction RequestKey
	Command     Command
	// MinPosition is the session's own newest commit, which a read must see; zero if it need not see any.
	MinPosition LogPosition
	// MaxAge is the maximum staleness of a read that any upstream may serve; zero for all other commands. The owner
	// checks it against the samples that it has when the call arrives.
	MaxAge time.Duration
	// AgePosition is a position that satisfies MaxAge, as far as the entry node knows; zero if it knows none.
	AgePosition LogPosition
	// Settings are the settings that the session has changed, sorted by name.
	Settings []SessionSetting
	// Prepared is the prepared statement that a CommandExecute executes; unused otherwise.
	Prepared PreparedStatement
	// Timeout bounds the execution, QueueTimeout the time in the queue before it.
	Timeout      time.Duration
	QueueTimeout time.Duration
	// LatencyBudget is the time left until the route's latency target; zero if it has passed or there is none.
	LatencyBudget time.Duration
	// Priority is 0 for the most urgent work.
	Priority int
	// IdleTransactionTimeout is how long the open transaction may be idle.
	IdleTransactionTimeout time.Duration
}

// PositionSample is the log position of an upstream that was proven to be the primary. It covers every commit that was
// acknowledged before the sample was taken.
type PositionSample struct {
	Service  ServiceName
	Upstream UpstreamName
	Position LogPosition
	// Age is the time from taking the sample to building the message.
	Age time.Duration
}

// UpstreamPosition is the end of an upstream's log.
type UpstreamPosition struct {
	Upstream UpstreamName
	Position LogPosition
	// Age is the time from the observation to building the message.
	Age time.Duration
}

// ReplicaPositions tells a node how far replicas have come whose logs are behind or were lately.
type ReplicaPositions struct{ Positions []UpstreamPosition }

// CallResult is the answer to a call and ends it.
type CallResult struct {
	Key     RequestKey
	Verdict Verdict
	Reply   Reply
	// Reason says why the upstream refused the command or its reply is missing; ReasonNone if the upstream replied.
	Reason CallFailureReason
	// QueueWait is the time that new calls are expected to wait in the owner's queue.
	QueueWait time.Duration
	// Load is the load of the upstream, with the run time of the call's kind only.
	Load UpstreamLoad
	// Sample is the service's newest sample; its upstream is empty if there is none.
	Sample PositionSample
	// RequiredPosition is what the log had to cover; RequiredAge is how long before the call's arrival it was sampled.
	RequiredPosition LogPosition
	RequiredAge      time.Duration
	// RetryAfter is when a call that was rejected with ReasonQueueWait is worth trying again: its own expected wait,
	// which differs from QueueWait because the queue has an order.
	RetryAfter time.Duration
	// Lagging are the replicas of the service whose logs are behind or were lately.
	Lagging []UpstreamPosition
}

// CallFailureReason says why a call failed.
type CallFailureReason uint8

// The zero reason means that the call did not fail.
const (
	// ReasonNone means that the upstream replied.
	ReasonNone CallFailureReason = iota
	// ReasonQueueWait means that the call would wait in the queue for too long.
	ReasonQueueWait
	// ReasonUnreachable means that the owner has no connection to the upstream.
	ReasonUnreachable
	// ReasonUnknownUpstream means that the receiving node does not know the upstream.
	ReasonUnknownUpstream
	// ReasonShuttingDown means that the owner is shutting down.
	ReasonShuttingDown
	// ReasonNoTransaction means that the transaction has ended.
	ReasonNoTransaction
	// ReasonConnectionLost means that the connection to the upstream ended during the execution.
	ReasonConnectionLost
	// ReasonTimeout means that the upstream did not answer within the timeout.
	ReasonTimeout
	// ReasonLinkFailed means that the link to the owner failed.
	ReasonLinkFailed
	// ReasonRefused means that the upstream refused before it ran the command; the reply says why.
	ReasonRefused
	// ReasonWritesBlocked means that new work is blocked because the primary is about to change.
	ReasonWritesBlocked
	// ReasonNoSample means that the owner cannot prove that its upstream is within the call's MaxAge.
	ReasonNoSample
	// ReasonCancelled means that the entry node withdrew the call while it was queued.
	ReasonCancelled
	// ReasonDrained means that the upstream drains and takes no new work any more.
	ReasonDrained
	// ReasonSetupRefused means that the upstream refused a setting or the prepared statement of the call; the reply says
	// why. The command was not run.
	ReasonSetupRefused
	// ReasonNoLease means that the owner may not acknowledge commits, because it does not reach the holder of the
	// failover lease.
	ReasonNoLease
)

// String returns the name that logs use.
func (r CallFailureReason) String() string {
	names := [...]string{
		"replied", "queue", "unreachable", "unknown_upstream", "leaving", "no_transaction", "lost", "silent", "link",
		"refused", "held", "no_sample", "cancelled", "drained", "setup_refused", "no_lease",
	}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}

// CancelCall cancels a call that still waits in the queue. Without ReportResult, nobody waits for the result of a call
// that has started. With it, the owner answers a call that it cancels with ReasonCancelled, and any other as usual.
type CancelCall struct {
	Key          RequestKey
	ReportResult bool
}

// RollbackTransaction rolls a transaction back.
type RollbackTransaction struct{ Transaction RequestKey }

// Ping asks a node for its Pong. If a service is given, it also asks for the service's newest commit that the node has
// seen acknowledged.
type Ping struct {
	Number  uint64
	Service ServiceName
}

// UpstreamHealth is the state of an upstream as a node that uses it sees it.
type UpstreamHealth struct {
	Name    UpstreamName
	Service ServiceName
	// Reachable says that the upstream has answered lately and no later connection attempt failed.
	Reachable bool
	// ConnectFailed says that the node could not connect. An upstream that has not been tried yet has neither
	// Reachable nor ConnectFailed.
	ConnectFailed bool
	// CommitsStalled says that the upstream does not answer commits.
	CommitsStalled bool
	// OpenWriteTransactions is the number of open read-write transactions.
	OpenWriteTransactions int
	QueueWait             time.Duration
	Load                  UpstreamLoad
	Position              LogPosition
}

// AckedPosition is the newest commit of a service that a node has seen acknowledged.
type AckedPosition struct {
	Service  ServiceName
	Position LogPosition
}

// UpstreamDrain says how long a node has known that an upstream drains.
type UpstreamDrain struct {
	Upstream    UpstreamName
	Incarnation int64
	// Age is the time from learning of it to building the message.
	Age time.Duration
}

// Pong answers a Ping with what the node has observed itself.
type Pong struct {
	Number       uint64
	ShuttingDown bool
	// StoreReachable says that the node has reached the platform's store lately.
	StoreReachable bool
	// ConfigurationVersion is the version of the configuration in effect.
	ConfigurationVersion uint64
	Upstreams            []UpstreamHealth
	Samples              []PositionSample
	AckedPositions       []AckedPosition
	// Drains are the upstreams that drain now and that the node has seen begin to.
	Drains []UpstreamDrain
	// FailoverLease is the position of the failover lease's key if the node holds the lease and may act; zero otherwise.
	// The asker may then acknowledge commits for a while, except those of the services in Changing, whose primary may be
	// about to change.
	FailoverLease StorePosition
	Changing      []ServiceName
	// HoldsCommitLease says that the holder of the failover lease lets the node acknowledge commits.
	HoldsCommitLease bool
	// Announced are the promotions that the node has heard announced and that may not have taken effect.
	Announced []AnnouncedPromotion
}

// AnnouncedPromotion is a promotion that a holder of the failover lease has announced.
type AnnouncedPromotion struct {
	Service  ServiceName
	Upstream UpstreamName
	// Age is the time from the announcement to building the message.
	Age time.Duration
}

// UpstreamFailed is an unsolicited message to the holder of the failover lease: the sender can no longer reach a
// primary that it owns, or the primary does not answer commits.
type UpstreamFailed struct{ Health UpstreamHealth }

// ShutdownNotice says that the sender is shutting down and accepts no new work.
type ShutdownNotice struct{}

// BlockWrites asks owners to admit no new writes of a service for a duration, because its primary is about to change.
type BlockWrites struct {
	Service  ServiceName
	Duration time.Duration
	// BlockCommits blocks open transactions as well. The receiver then answers with CommitsBlocked, once it acknowledges
	// no commit any more. Those that run may be answered for CommitTimeout before. Number identifies the change.
	BlockCommits  bool
	CommitTimeout time.Duration
	Number        uint64
	// Successor is the upstream that is being promoted: once it leads, the blocking ends. Any other one that leads is
	// blocked until the duration has passed or PrimaryChanged arrives. Empty if there is none yet.
	Successor UpstreamName
}

// CommitsBlocked answers BlockWrites: the sender acknowledges no commit of the service until the holder of the failover
// lease lets it again.
type CommitsBlocked struct {
	Service ServiceName
	Number  uint64
	// Acked is the newest commit that the sender has seen acknowledged.
	Acked LogPosition
}

// PrimaryChanged announces a service's new primary.
type PrimaryChanged struct {
	Service  ServiceName
	Upstream UpstreamName
	Term     Term
	// Log is the end of the log with which the upstream was promoted; zero if it was not.
	Log LogPosition
}

// StoreItemsRequest asks a node for its copy of the platform's store.
type StoreItemsRequest struct{}

// StoreItems holds items of the store as a node read them: all items up to Position, as the answer to a
// StoreItemsRequest, or with Delta the changes after Base up to Position.
type StoreItems struct {
	Items          []StoreItem
	Delta          bool
	Base, Position StorePosition
	// Request is the number of the StoreProofRequest that the message answers; zero if it answers none.
	Request uint64
	// Age is the time from asking the store for the newest answer, which reached Position, to sending the message. Only
	// an answer to a StoreProofRequest has it.
	Age time.Duration
}

// StoreProofRequest asks a node up to which position of the store its copy is complete, and how long ago the store said
// so. The answer is a StoreItems, without items unless Copy is set.
type StoreProofRequest struct {
	// Number identifies the request; zero means that the sender only wants to know whether there are changes after
	// Position.
	Number uint64
	// Position is the position of the sender's copy.
	Position StorePosition
	// Copy asks for the whole copy, if it is newer than Position.
	Copy bool
}

// TokenRequest asks a limiter for tokens, each of which permits one operation of an organisation. It also hands the
// sender's shares of the rates to the limiter, for the time since the last answer.
type TokenRequest struct {
	// Incarnation distinguishes the runs of the sending process.
	Incarnation uint64
	// Shard is the number of the shard that the request is for, of Shards.
	Shard, Shards int
	// Sent is the sender's time. It rises with each request.
	Sent time.Duration
	// Fresh says that this process has never had an answer of a limiter, and therefore holds no shares.
	Fresh bool
	// Full says that Demands names every organisation of which the sender holds a share.
	Full bool
	// Epoch and Answer identify the last answer that the sender got from this limiter; zero if it got none. Elapsed is
	// the time since then.
	Epoch   uint64
	Answer  time.Duration
	Elapsed time.Duration
	Demands []TokenDemand
}

// TokenDemand is what a node needs for an organisation.
type TokenDemand struct {
	Organisation OrganisationName
	// Waiting is the number of operations that wait for a token, Urgent how many of them have priority 0. Wanted is the
	// number of tokens that are requested in advance.
	Waiting, Urgent, Wanted int
	// Returned is the number of unused tokens that the sender gives back.
	Returned int
	// Outstanding is the number of unused tokens and of operations that have one and may not have run yet.
	Outstanding int
	// Share is the share of the organisation's rate that the sender holds, in millionths.
	Share uint32
	// HandedOver is the time for which the sender has not used its share itself.
	HandedOver time.Duration
	// Pooled says that no other limiter counts the sender's share of the capacity.
	Pooled bool
	// Reserve says that the receiver may use the sender's part of the reserve.
	Reserve bool
	// Rate is the number of operations per 1,000 seconds, averaged over the last seconds.
	Rate uint32
}

// TokenAnswer grants tokens. It answers a TokenRequest, or follows an answer if tokens become available later.
type TokenAnswer struct {
	// Shard is the number of the shard that the answer is for, of Shards.
	Shard, Shards int
	// Epoch distinguishes the states of the limiter, Time is its own time. Time rises with each answer to a node.
	Epoch uint64
	Time  time.Duration
	// Asked is the Sent of the newest request that the limiter got from the receiver; zero if it got none.
	Asked time.Duration
	// Review asks the receiver to send a full request at once.
	Review bool
	Grants []TokenGrant
}

// TokenGrant is a limiter's decision for an organisation.
type TokenGrant struct {
	Organisation OrganisationName
	Tokens       int
	// Refused is the number of waiting operations that get no token, the next ones in RetryAfter.
	Refused    int
	RetryAfter time.Duration
	// Share is the receiver's share of the organisation's rate from now on, in millionths.
	Share uint32
}

func (Call) message()                {}
func (CallResult) message()          {}
func (CancelCall) message()          {}
func (RollbackTransaction) message() {}
func (Ping) message()                {}
func (Pong) message()                {}
func (UpstreamFailed) message()      {}
func (ShutdownNotice) message()      {}
func (BlockWrites) message()         {}
func (CommitsBlocked) message()      {}
func (PrimaryChanged) message()      {}
func (StoreItemsRequest) message()   {}
func (StoreItems) message()          {}
func (StoreProofRequest) message()   {}
func (TokenRequest) message()        {}
func (TokenAnswer) message()         {}
func (ReplicaPositions) message()    {}
