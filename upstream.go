package currantloom

import "context"

// ServiceName identifies a group of upstreams that replicate one database.
type ServiceName string

// Upstream describes one registered process of a replicated database.
type Upstream struct {
	Name    ServerName
	Service ServiceName
	// Address is its "IP:port".
	Address string
	Place   Place
	// Slots is the number of statements that it runs at a time.
	Slots int
	// Draining says that it ends soon.
	Draining bool
	// Primary is the role that it reports of itself.
	Primary bool
	// Born tells the runs of a process under the same name apart.
	Born int64
}

// CommandKind says what a command asks an upstream for.
type CommandKind uint8

// CommandStatement passes a client's statement on; the others are currantloom's own.
const (
	CommandStatement CommandKind = iota
	// CommandExecute passes the execution of a prepared statement on, under the name that currantloom gave it.
	CommandExecute
	CommandBegin
	CommandBeginRead
	CommandRollback
	CommandSet
	CommandPrepare
	CommandReset
	// CommandStatus asks for a ReplicationStatus.
	CommandStatus
	// CommandPause stops a replica from receiving, CommandResume lets it go on.
	CommandPause
	CommandResume
	// CommandStepDown makes a primary of a lower term a replica.
	CommandStepDown
)

// String returns the kind as it stands in logs.
func (k CommandKind) String() string {
	names := [...]string{
		"statement", "execute", "begin", "begin_read", "rollback", "set", "prepare", "reset", "status", "pause", "resume",
		"step_down",
	}
	if int(k) < len(names) {
		return names[k]
	}
	return "unknown"
}

// Command is what an upstream is asked for.
type Command struct {
	Kind CommandKind
	// ID is the client's id of the statement; empty for currantloom's own commands.
	ID string
	// Text is the client's statement.
	Text string
	// After is the mark that the upstream's log has to cover; the zero mark asks for nothing.
	After Mark
	// Name and Argument are those of a value or a prepared statement, or the parameters of an execution.
	Name, Argument string
	// Writes says that the statement writes, Commits that it ends a transaction.
	Writes, Commits bool
	// Term is that of CommandPause and CommandStepDown.
	Term Term
}

// ReplicationStatus is an upstream's report on its log.
type ReplicationStatus struct {
	Primary bool
	Term    Term
	// Received is the last entry that it has received, applied or not.
	Received Mark
}

// UpstreamConn is a connection to an upstream. Send and Receive may be used at the same time.
type UpstreamConn interface {
	// Send writes the commands; replies come in their order.
	Send(commands []Command) error
	// Receive returns the next reply, or the error that ends the connection.
	Receive() (Reply, error)
	Close() error
}

// UpstreamDialer opens connections.
type UpstreamDialer interface {
	// DialUpstream opens a connection to exactly this upstream. The reply is the upstream's answer; its code is not
	// CodeOK if the upstream refuses. An error means that there was no answer.
	DialUpstream(ctx context.Context, upstream Upstream) (UpstreamConn, Reply, error)
}

// Promoter orders a change of primary.
type Promoter interface {
	// Promote asks the platform to make the upstream the primary of its service. The fence grows with each holder of
	// the duty; the platform refuses a call with a lower one than it has seen.
	Promote(ctx context.Context, service ServiceName, upstream ServerName, holder VMName, fence uint64) PromoteResult
}

// PromoteResult is the outcome of an order.
type PromoteResult uint8

// The zero result is unknown: the order may still be carried out, seconds later.
const (
	PromoteUnknown PromoteResult = iota
	PromoteAccepted
	// PromoteRefused: the fence is too low, or the upstream does not run.
	PromoteRefused
	// PromoteNotDone: the platform has not carried it out and will not.
	PromoteNotDone
)

// String returns the result as it stands in logs.
func (r PromoteResult) String() string {
	return [...]string{"unknown", "accepted", "refused", "not_done"}[r&3]
}
