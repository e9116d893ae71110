package currantloom

// StatementKind says what a statement of a session asks for.
type StatementKind uint8

// The zero kind is a statement that is not understood; it is refused.
const (
	StatementUnknown StatementKind = iota
	// StatementBegin opens a transaction that may write.
	StatementBegin
	// StatementBeginRead opens a transaction that only reads.
	StatementBeginRead
	StatementCommit
	StatementRollback
	// StatementRead and StatementWrite touch one item.
	StatementRead
	StatementWrite
	// StatementSet gives a value of the session, StatementPrepare and StatementDeallocate name prepared statements.
	StatementSet
	StatementPrepare
	StatementExecute
	StatementDeallocate
)

// String returns the kind as it stands in logs.
func (k StatementKind) String() string {
	names := [...]string{
		"unknown", "begin", "begin_read", "commit", "rollback", "read", "write", "set", "prepare", "execute", "deallocate",
	}
	if int(k) < len(names) {
		return names[k]
	}
	return names[0]
}

// Statement is one statement of a session.
type Statement struct {
	// ID is the client's id of the statement; an upstream gets it unchanged.
	ID   string
	Kind StatementKind
	// Text is the whole statement, which an upstream gets unchanged.
	Text string
	// Name is that of a value or of a prepared statement.
	Name string
	// Argument is the new value, or what the prepared statement does.
	Argument string
	// Writes says that the prepared statement writes.
	Writes bool
	// Parameters are those of an execution, as they were sent.
	Parameters string
}

// Setting is a value of a session.
type Setting struct{ Name, Value string }

// Prepared is what a prepared statement does, whatever its name.
type Prepared struct {
	Writes bool
	Shape  string
}
