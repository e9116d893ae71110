package currantloom

// StatementKind classifies the statements of a session.
type StatementKind uint8

// The zero kind is a statement that is not understood; it is rejected.
const (
	StatementUnknown StatementKind = iota
	// StatementBegin opens a read-write transaction.
	StatementBegin
	// StatementBeginRead opens a read-only transaction.
	StatementBeginRead
	StatementCommit
	StatementRollback
	// StatementRead and StatementWrite access one item.
	StatementRead
	StatementWrite
	// StatementSet changes a setting of the session. StatementPrepare and StatementDeallocate define and remove a
	// prepared statement.
	StatementSet
	StatementPrepare
	StatementExecute
	StatementDeallocate
)

// String returns the name that logs use.
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
	// ID is the client's id of the statement, forwarded unchanged.
	ID   string
	Kind StatementKind
	// Defect says why the kind is StatementUnknown. It is one of a few fixed texts; empty if the text is not understood.
	Defect string
	// Text is the whole statement, forwarded unchanged.
	Text string
	// Name is the name of a setting or of a prepared statement.
	Name string
	// Argument is the new value of the setting, or the definition of the prepared statement.
	Argument string
	// Writes says that the prepared statement writes.
	Writes bool
	// Parameters are the parameters of an execution, as the client sent them.
	Parameters string
}

// SessionSetting is a setting that a session has changed, and its value.
type SessionSetting struct{ Name, Value string }

// PreparedStatement is the definition of a prepared statement, without the client's name for it.
type PreparedStatement struct {
	Writes     bool
	Definition string
}
