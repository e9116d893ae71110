package currantloom

import (
	"context"
	"time"
)

// Server describes one database server.
type Server struct {
	name     ServerName
	database DatabaseName
	address  string
	place    Place
}

// NewServer returns the description of a database server that listens at address ("IP:port").
func NewServer(name ServerName, database DatabaseName, address string, place Place) Server {
	return Server{name: name, database: database, address: address, place: place}
}

// Name returns the server's name.
func (s Server) Name() ServerName { return s.name }

// Database returns the database the server belongs to.
func (s Server) Database() DatabaseName { return s.database }

// Address returns the "IP:port" the server listens at.
func (s Server) Address() string { return s.address }

// Place returns where the server runs.
func (s Server) Place() Place { return s.place }

// Database describes a replicated database.
type Database struct {
	name        DatabaseName
	slots       int
	connections int
	servers     []Server
}

// NewDatabase returns the description of a database. Slots is the number of statements that each server runs at a
// time without loss of throughput, connections is the number of connections that each server accepts.
func NewDatabase(name DatabaseName, slots, connections int, servers []Server) Database {
	return Database{name: name, slots: slots, connections: connections, servers: servers}
}

// Name returns the database's name.
func (d Database) Name() DatabaseName { return d.name }

// Slots returns the number of statements that each server runs at a time.
func (d Database) Slots() int { return d.slots }

// Connections returns the number of connections that each server accepts.
func (d Database) Connections() int { return d.connections }

// Servers returns the servers; the caller must not change the slice.
func (d Database) Servers() []Server { return d.servers }

// Majority returns the number of servers that make a majority.
func (d Database) Majority() int { return len(d.servers)/2 + 1 }

// Role is what a server does in its term.
type Role uint8

// A server that granted a newer term and has not been told its role yet is fenced.
const (
	RoleReplica Role = iota
	RolePrimary
	RoleFenced
)

// String returns the role in lower case.
func (r Role) String() string {
	switch r {
	case RolePrimary:
		return "primary"
	case RoleFenced:
		return "fenced"
	default:
		return "replica"
	}
}

// ParseRole parses the form that String returns; anything unknown is fenced, so it gets no work.
func ParseRole(text string) Role {
	switch text {
	case "primary":
		return RolePrimary
	case "replica":
		return RoleReplica
	default:
		return RoleFenced
	}
}

// ServerStatus is a server's report about itself.
type ServerStatus struct {
	Role Role
	// Term is the term in which the server holds its role.
	Term Term
	// Granted is the highest term the server has granted to a proposer.
	Granted Term
	// Mark is the last log entry the server has applied.
	Mark Mark
	// PrimarySilence is how long the server has not heard from its primary; zero on the primary.
	PrimarySilence time.Duration
}

// TermGrant is a server's answer to a proposer.
type TermGrant struct {
	Granted bool
	// Highest is the highest term the server has granted, to this or another proposer.
	Highest Term
	Mark    Mark
}

// DatabaseServer is one database server as a node uses it.
type DatabaseServer interface {
	// Status returns the server's report.
	Status(ctx context.Context) (ServerStatus, error)
	// RaiseTerm asks the server to grant the term to the proposer.
	RaiseTerm(ctx context.Context, term Term, proposer VMName) (TermGrant, error)
	// Lead makes the server the primary of a term that it granted.
	Lead(ctx context.Context, term Term) error
	// Follow makes the server a replica of the primary of the term.
	Follow(ctx context.Context, term Term, primary Server) error
	// PurgeRequests removes the recorded request ids that are older than the age from a primary and returns their number.
	PurgeRequests(ctx context.Context, age time.Duration) (int, error)
	// Acquire returns a connection for one request or transaction, idle or new.
	Acquire(ctx context.Context) (ServerConn, error)
	// Close closes all connections and waits for those in use.
	Close() error
}

// ServerConn is a connection to a database server in the use of one request or transaction.
type ServerConn interface {
	// Run sends the encoded messages and passes the response on. It returns after ReadyForQuery. When the context
	// ends, the server is asked to cancel the request and gets a second to answer; ending the context therefore
	// cancels exactly this request, also within a transaction.
	Run(ctx context.Context, work Work, out ResponseWriter) WorkResult
	// Cancel asks the server to cancel what runs on the connection now. It returns once the server has processed it.
	// After Release it does nothing.
	Cancel(ctx context.Context) error
	// Release returns the connection to the pool if it is clean and closes it otherwise.
	Release()
}

// Work is what a carrier sends to a database server.
type Work struct {
	// Body holds encoded frontend messages, ending in Query or Sync.
	Body []byte
	// ReadOnly runs the body in read-only mode, so that a misclassified write is refused.
	ReadOnly bool
	// ConfirmTerm asks a primary to prove to a majority that its term is current after the body has run.
	ConfirmTerm bool
	// WithholdCompletion keeps the last CommandComplete back until Accept has decided on the result.
	WithholdCompletion bool
	// Caller and RequestID are recorded in the same transaction if RequestID is not empty.
	Caller    CallerName
	RequestID string
	// Progress is the longest time without a byte from the server, after which the connection counts as silent. Zero
	// means that only the context bounds the run. It has to exceed the second for which a server may delay the report of
	// a commit or a confirmation.
	Progress time.Duration
	// Accept decides, for work whose completion is withheld, whether the caller may be told that it committed.
	Accept func(WorkResult) error
}

// WorkResult is what a carrier learns from a run.
type WorkResult struct {
	Verdict Verdict
	// Err is the error that ended the run without an answer of the server; nil if the server answered.
	Err error
	// Refused says that the server's address refused the connection, so that no process listens there.
	Refused bool
	// Code is the SQLSTATE of the server's error answer, empty if there was none.
	Code SQLState
	// Term is the term the server reported, Mark its last log entry.
	Term Term
	Mark Mark
	// Confirmed is the number of servers known to hold the mark at the term.
	Confirmed int
	// Wrote says that the body committed an entry to the log.
	Wrote bool
	// Transaction is the status in ReadyForQuery.
	Transaction TransactionStatus
	// Started says that a part of the response was passed on.
	Started bool
}
