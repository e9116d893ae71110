package currantloom

import (
	"context"
	"time"
)

// PostgresUpstream describes one PostgreSQL upstream as the settings file lists it.
type PostgresUpstream struct {
	name     UpstreamName
	database DatabaseName
	address  string
	location Location
}

// NewPostgresUpstream returns the description of an upstream that listens at address ("IP:port").
func NewPostgresUpstream(name UpstreamName, database DatabaseName, address string, location Location) PostgresUpstream {
	return PostgresUpstream{name: name, database: database, address: address, location: location}
}

// Name returns the upstream's name.
func (u PostgresUpstream) Name() UpstreamName { return u.name }

// Database returns the database that the upstream belongs to.
func (u PostgresUpstream) Database() DatabaseName { return u.database }

// Address returns the "IP:port" that the upstream listens at.
func (u PostgresUpstream) Address() string { return u.address }

// Location returns where the upstream runs.
func (u PostgresUpstream) Location() Location { return u.location }

// Database describes a replicated PostgreSQL database.
type Database struct {
	name        DatabaseName
	slots       int
	connections int
	upstreams   []PostgresUpstream
}

// NewDatabase returns the description of a database. Slots is the number of statements that each upstream runs at
// a time without loss of throughput, connections is the number of connections that each upstream accepts.
func NewDatabase(name DatabaseName, slots, connections int, upstreams []PostgresUpstream) Database {
	return Database{name: name, slots: slots, connections: connections, upstreams: upstreams}
}

// Name returns the database's name.
func (d Database) Name() DatabaseName { return d.name }

// Slots returns the number of statements that each upstream runs at a time.
func (d Database) Slots() int { return d.slots }

// Connections returns the number of connections that each upstream accepts.
func (d Database) Connections() int { return d.connections }

// Upstreams returns the database's upstreams; do not modify the slice.
func (d Database) Upstreams() []PostgresUpstream { return d.upstreams }

// Majority returns the number of upstreams that form a majority.
func (d Database) Majority() int { return len(d.upstreams)/2 + 1 }

// Role is the replication role of an upstream in its term.
type Role uint8

// An upstream that has granted a newer term and has no role in it yet is fenced.
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

// ParseRole parses the form that String returns; any other text gives RoleFenced, so that the upstream gets no
// requests.
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

// PostgresStatus is the replication status that an upstream reports of itself.
type PostgresStatus struct {
	Role Role
	// Term is the term in which the upstream has its role.
	Term Term
	// GrantedTerm is the highest term that the upstream has granted to a proposer.
	GrantedTerm Term
	// Position is the last log entry that the upstream has applied.
	Position LogPosition
	// PrimarySilence is the time since the upstream last heard from its primary; zero on the primary.
	PrimarySilence time.Duration
}

// TermGrant is an upstream's answer to a node that proposes a new term.
type TermGrant struct {
	Granted bool
	// HighestTerm is the highest term that the upstream has granted, to this or another proposer.
	HighestTerm Term
	Position    LogPosition
}

// PostgresClient is a node's client of one PostgreSQL upstream.
type PostgresClient interface {
	// Status returns the upstream's replication status.
	Status(ctx context.Context) (PostgresStatus, error)
	// RaiseTerm asks the upstream to grant the term to the proposer.
	RaiseTerm(ctx context.Context, term Term, proposer VMName) (TermGrant, error)
	// Promote makes the upstream the primary of a term that it has granted.
	Promote(ctx context.Context, term Term) error
	// Follow makes the upstream a replica of the term's primary.
	Follow(ctx context.Context, term Term, primary PostgresUpstream) error
	// PurgeRequestIDs deletes the recorded request ids that are older than the age from a primary and returns their
	// number.
	PurgeRequestIDs(ctx context.Context, age time.Duration) (int, error)
	// Acquire returns a connection for one request or transaction, idle or new.
	Acquire(ctx context.Context) (PostgresConn, error)
	// Close closes all connections and waits for those in use.
	Close() error
}

// PostgresConn is a connection to an upstream that one request or transaction has acquired.
type PostgresConn interface {
	// Run sends the encoded messages and forwards the response. It returns after ReadyForQuery. When the context ends,
	// Run asks the upstream to cancel the request and waits up to a second for the answer; ending the context therefore
	// cancels exactly this request, also within a transaction.
	Run(ctx context.Context, work PostgresRequest, out ResponseWriter) PostgresResult
	// Cancel asks the upstream to cancel the request that runs on the connection. It returns once the upstream has
	// processed the cancellation. After Release it does nothing.
	Cancel(ctx context.Context) error
	// Release returns the connection to the pool if it is clean and closes it otherwise.
	Release()
}

// PostgresRequest is a request that the owner of an upstream sends to it.
type PostgresRequest struct {
	// Body holds encoded frontend messages, ending in Query or Sync.
	Body []byte
	// ReadOnly runs the body in read-only mode, so that a misclassified write is refused.
	ReadOnly bool
	// ConfirmTerm asks a primary to prove to a majority that its term is current after the body has run.
	ConfirmTerm bool
	// WithholdCompletion withholds the last CommandComplete until Accept has decided on the result.
	WithholdCompletion bool
	// Organisation and RequestID are recorded in the same transaction if RequestID is not empty.
	Organisation OrganisationName
	RequestID    string
	// StallTimeout is the longest time without a byte from the upstream before the connection is given up. Zero means
	// that only the context bounds the run. It must exceed one second, for which an upstream may delay the report of a
	// commit or a confirmation.
	StallTimeout time.Duration
	// Accept decides, for a request with WithholdCompletion, whether the client may be told that it committed.
	Accept func(PostgresResult) error
}

// PostgresResult is the result of running a PostgresRequest.
type PostgresResult struct {
	Verdict Verdict
	// Err is the error that ended the run without an answer of the upstream; nil if the upstream answered.
	Err error
	// ConnectionRefused says that the upstream's address refused the connection: no process listens there.
	ConnectionRefused bool
	// Code is the SQLSTATE of the upstream's error answer, empty if there was none.
	Code SQLState
	// Term is the term that the upstream reported, Position its last log entry.
	Term     Term
	Position LogPosition
	// ConfirmedCopies is the number of upstreams known to hold the log up to Position in the term.
	ConfirmedCopies int
	// Wrote says that the body committed an entry to the log.
	Wrote bool
	// TransactionStatus is the status byte of ReadyForQuery.
	TransactionStatus TransactionStatus
	// ResponseStarted says that a part of the response was forwarded.
	ResponseStarted bool
}
