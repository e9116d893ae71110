package currantloom

import "context"

// ServiceName identifies a group of upstreams that replicate one database.
type ServiceName string

// Upstream describes an upstream of a service as it is registered in the platform's store.
type Upstream struct {
	Name    UpstreamName
	Service ServiceName
	// Address is the upstream's "IP:port".
	Address  string
	Location Location
	// Slots is the number of statements that the upstream runs at a time.
	Slots int
	// Draining says that the upstream will shut down soon.
	Draining bool
	// Primary says that the upstream reports itself as the primary.
	Primary bool
	// Incarnation distinguishes successive processes that register under the same name.
	Incarnation int64
	// Sequence counts the reports of the process; a report with a lower number is older.
	Sequence uint64
}

// CommandKind classifies the commands to upstreams.
type CommandKind uint8

// CommandStatement forwards a client's statement. All kinds except CommandStatement and CommandExecute are the proxy's
// own commands.
const (
	CommandStatement CommandKind = iota
	// CommandExecute forwards the execution of a prepared statement, under the name that it has on the connection.
	CommandExecute
	CommandBegin
	CommandBeginRead
	CommandRollback
	CommandSet
	CommandPrepare
	CommandReset
	// CommandReplicationStatus asks for a ReplicationStatus.
	CommandReplicationStatus
	// CommandPauseReplication stops a replica from receiving log entries, CommandResumeReplication undoes it.
	CommandPauseReplication
	CommandResumeReplication
	// CommandStepDown makes a primary of a lower term a replica.
	CommandStepDown
	// CommandDeallocate removes a prepared statement.
	CommandDeallocate
)

// IsStatement reports whether the command forwards a client's statement. An upstream signs the successes of these
// commands only.
func (k CommandKind) IsStatement() bool { return k == CommandStatement || k == CommandExecute }

// String returns the name that logs use.
func (k CommandKind) String() string {
	names := [...]string{
		"statement", "execute", "begin", "begin_read", "rollback", "set", "prepare", "reset", "status", "pause", "resume",
		"step_down", "deallocate",
	}
	if int(k) < len(names) {
		return names[k]
	}
	return "unknown"
}

// Command is a request to an upstream.
type Command struct {
	Kind CommandKind
	// ID is the client's id of the statement; empty for the proxy's own commands.
	ID string
	// Text is the client's statement.
	Text string
	// MinPosition is the position that the upstream's log must cover; the zero position requires nothing.
	MinPosition LogPosition
	// Name and Argument are a setting and its value, or a prepared statement and its definition or parameters.
	Name, Argument string
	// Writes says that the statement writes, Commits that it ends a transaction.
	Writes, Commits bool
	// Term is the argument of CommandPauseReplication and CommandStepDown.
	Term Term
}

// ReplicationStatus is the role, term and log position that an upstream reports.
type ReplicationStatus struct {
	Primary bool
	Term    Term
	// Received is the last log entry that the upstream has received, applied or not.
	Received LogPosition
	// Held is the term of the pause that is in effect; zero if the upstream receives.
	Held Term
}

// UpstreamConn is a connection to an upstream. Send and Receive may be used at the same time.
type UpstreamConn interface {
	// Send writes the commands; the replies arrive in the same order. If one cannot be written so that the upstream reads
	// the same command, Send writes none and returns an error of type ErrInput.
	Send(commands []Command) error
	// Receive returns the next reply, or the error that ends the connection.
	Receive() (Reply, error)
	Close() error
}

// UpstreamDialer opens connections to upstreams.
type UpstreamDialer interface {
	// DialUpstream opens a connection for an organisation, or for none if the name is empty, and verifies that it reached
	// this upstream. The reply is the upstream's answer; its code is not ReplyOK if the upstream refuses. An error means
	// that there was no answer.
	DialUpstream(ctx context.Context, upstream Upstream, organisation OrganisationName) (UpstreamConn, Reply, error)
}

// Promoter asks the platform to change the primary of a service.
type Promoter interface {
	// Promote asks the platform to make the upstream the primary of its service. The platform refuses a call with a
	// lower fence than it has seen for the service.
	Promote(ctx context.Context, service ServiceName, upstream UpstreamName, holder VMName, fence Fence) PromoteResult
}

// PromoteResult is the outcome of a request for promotion.
type PromoteResult uint8

// The zero result is unknown: the platform may still carry out the promotion, seconds later.
const (
	PromoteUnknown PromoteResult = iota
	PromoteAccepted
	// PromoteRefused means that the fence is too low or the upstream is not running.
	PromoteRefused
	// PromoteNotDone means that the platform has not carried out the promotion and will not.
	PromoteNotDone
)

// String returns the name that logs use.
func (r PromoteResult) String() string {
	return [...]string{"unknown", "accepted", "refused", "not_done"}[r&3]
}
