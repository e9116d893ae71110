package currantloom

// Code classifies the error that answers a statement.
type Code uint8

// The zero code is success.
const (
	CodeOK Code = iota
	// CodeBusy: no capacity; not run.
	CodeBusy
	// CodeAborted: the transaction is over and nothing of it is kept.
	CodeAborted
	// CodeLagging: the log of the upstream lacks the mark that was asked for; not run.
	CodeLagging
	// CodeNotPrimary: only the primary may run it; not run.
	CodeNotPrimary
	// CodeMisrouted: the upstream is another one than the one that was named; not run.
	CodeMisrouted
	// CodeNoConnections: the upstream has no connection left; not run.
	CodeNoConnections
	// CodeNoStatement: no prepared statement has that name; not run.
	CodeNoStatement
	// CodeMalformed: the statement is not understood, or not allowed now; not run.
	CodeMalformed
	// CodeNoDatabase: no route has that name.
	CodeNoDatabase
	// CodeFailed: it ran and failed.
	CodeFailed
	// CodeTimeout: it may have run; the time for it is over.
	CodeTimeout
	// CodeInDoubt: it may have run; the outcome is not known.
	CodeInDoubt
	// CodeOther is any other error of an upstream.
	CodeOther
)

// String returns the code as it stands in logs.
func (c Code) String() string {
	names := [...]string{
		"ok", "busy", "aborted", "lagging", "not_primary", "misrouted", "no_connections", "no_statement", "malformed",
		"no_database", "failed", "timeout", "in_doubt", "other",
	}
	if int(c) < len(names) {
		return names[c]
	}
	return "other"
}

// IsNotRun reports whether an upstream that answers with the code has not run the statement.
func (c Code) IsNotRun() bool {
	switch c {
	case CodeBusy, CodeLagging, CodeNotPrimary, CodeMisrouted, CodeNoConnections, CodeNoStatement:
		return true
	default:
		return false
	}
}

// Reply answers one statement or command.
type Reply struct {
	Rows []string
	// Signature is what an upstream adds to a success; empty for statements that currantloom answers itself.
	Signature string
	Code      Code
	// Detail is the text of the error.
	Detail string
	// State is the state of the session after the statement.
	State TransactionStatus
	// Mark is the last log entry of the upstream; the zero mark is unknown.
	Mark Mark
	// Status is the report that answers a command of a failover; nil for other replies.
	Status *ReplicationStatus
}

// IsZero reports whether the mark names no log entry.
func (m Mark) IsZero() bool { return m == Mark{} }
