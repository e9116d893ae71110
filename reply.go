package currantloom

// ReplyCode classifies the outcome of a statement.
type ReplyCode uint8

// The zero code is success.
const (
	ReplyOK ReplyCode = iota
	// ReplyBusy means that no capacity is left; the statement was not run.
	ReplyBusy
	// ReplyAborted means that the transaction has ended and none of its changes are kept.
	ReplyAborted
	// ReplyLagging means that the upstream's log does not cover the required position; the statement was not run.
	ReplyLagging
	// ReplyNotPrimary means that only the primary may run the statement; it was not run.
	ReplyNotPrimary
	// ReplyMisrouted means that the connection reached another upstream than the intended one; nothing was run.
	ReplyMisrouted
	// ReplyNoConnections means that the upstream has no connection left; nothing was run.
	ReplyNoConnections
	// ReplyNoStatement means that no prepared statement has the given name; nothing was run.
	ReplyNoStatement
	// ReplyMalformed means that the statement is not understood, or not allowed now; it was not run.
	ReplyMalformed
	// ReplyNoDatabase means that no route has the given database name.
	ReplyNoDatabase
	// ReplyFailed means that the statement ran and failed.
	ReplyFailed
	// ReplyTimeout means that the time limit passed; the statement may have run.
	ReplyTimeout
	// ReplyInDoubt means that the statement may have run and its outcome is unknown.
	ReplyInDoubt
	// ReplyOther is any other error of an upstream.
	ReplyOther
	// ReplyNotAuthorised means that the client's key is not valid; nothing was run.
	ReplyNotAuthorised
)

// String returns the name that logs use.
func (c ReplyCode) String() string {
	names := [...]string{
		"ok", "busy", "aborted", "lagging", "not_primary", "misrouted", "no_connections", "no_statement", "malformed",
		"no_database", "failed", "timeout", "in_doubt", "other",
		"not_authorised",
	}
	if int(c) < len(names) {
		return names[c]
	}
	return "other"
}

// IsNotRun reports whether an upstream that answers with the code has not run the statement.
func (c ReplyCode) IsNotRun() bool {
	switch c {
	case ReplyBusy, ReplyLagging, ReplyNotPrimary, ReplyMisrouted, ReplyNoConnections, ReplyNoStatement:
		return true
	default:
		return false
	}
}

// Reply answers one statement or command.
type Reply struct {
	Rows []string
	// Signature is the text that an upstream adds to the success of a client's statement. It is empty in all other
	// replies: those to the proxy's own commands, and those that the proxy makes itself.
	Signature string
	Code      ReplyCode
	// Detail is the error's text.
	Detail string
	// TransactionStatus is the status of the session's transaction after the statement.
	TransactionStatus TransactionStatus
	// Position is the upstream's last log entry; the zero position is unknown.
	Position LogPosition
	// Oversized says that the upstream succeeded, and that its rows were too large to be kept, so that the code is
	// ReplyFailed. It is not passed on to other nodes.
	Oversized bool
	// ReplicationStatus is the report that answers a failover command; nil for other replies.
	ReplicationStatus *ReplicationStatus
}

// IsZero reports whether the position identifies no log entry.
func (p LogPosition) IsZero() bool { return p == LogPosition{} }
