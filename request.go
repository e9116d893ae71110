package currantloom

import (
	"fmt"
	"time"
)

// RequestKey identifies a request across all nodes: the entry node's VM and its sequence number. With an attempt it
// identifies that attempt at the owner of the upstream, so that a retry is not confused with an earlier attempt that
// still runs there.
type RequestKey struct {
	VM     VMName
	Number uint64
	// Attempt counts from 1; it is zero at the entry node and in statements of an open transaction.
	Attempt int
}

// Request returns the key without the attempt.
func (k RequestKey) Request() RequestKey {
	k.Attempt = 0
	return k
}

// String returns the form used in logs and error details.
func (k RequestKey) String() string { return fmt.Sprintf("%s-%d", k.VM, k.Number) }

// RequestKind says whether a request may write.
type RequestKind uint8

// The zero kind is WriteRequest, which is always safe to assume.
const (
	WriteRequest RequestKind = iota
	ReadRequest
)

// String returns the kind in lower case.
func (k RequestKind) String() string {
	if k == ReadRequest {
		return "read"
	}
	return "write"
}

// RequestClass says whether a request is expected to run for a long time.
type RequestClass uint8

// ShortRequest is the class of requests without a rule or recorded run times.
const (
	ShortRequest RequestClass = iota
	LongRequest
)

// String returns the class in lower case.
func (c RequestClass) String() string {
	if c == LongRequest {
		return "long"
	}
	return "short"
}

// TransactionStatus is the transaction status byte of ReadyForQuery.
type TransactionStatus byte

// The transaction statuses of the PostgreSQL protocol.
const (
	TransactionIdle   TransactionStatus = 'I'
	TransactionOpen   TransactionStatus = 'T'
	TransactionFailed TransactionStatus = 'E'
)

// Request describes one request of a session: a simple query, or extended-protocol messages up to a Sync.
type Request struct {
	Key          RequestKey
	Organisation OrganisationName
	Database     DatabaseName
	Kind         RequestKind
	// Statement is the first statement's text, shortened, for rules and the history of run times.
	Statement string
	// OtherStatements are the texts of the statements after the first one, shortened. Rules apply to them as well.
	OtherStatements []string
	Token           Token
	// MaxAge is the maximum staleness that the session accepts for reads; zero means that it set none.
	MaxAge time.Duration
	// Deadline is the time that the client gives the request; zero means the rule's default.
	Deadline time.Duration
	// RequestID makes the request idempotent; empty if the client supplied none.
	RequestID string
	// OpensTransaction says that the request leaves a transaction open.
	OpensTransaction bool
}

// RequestHeader precedes a request on a link to the owner of an upstream.
type RequestHeader struct {
	Key          RequestKey
	Upstream     UpstreamName
	Organisation OrganisationName
	Database     DatabaseName
	Kind         RequestKind
	Class        RequestClass
	Statement    string
	Token        Token
	MaxAge       time.Duration
	// Remaining is the time left until the request's deadline.
	Remaining        time.Duration
	RequestID        string
	OpensTransaction bool
}

// ResponseTrailer follows the response on a link.
type ResponseTrailer struct {
	Verdict    Verdict
	SQLState   SQLState
	Reason     string
	RetryAfter time.Duration
	// Token is the session's token after the request; the zero token means that it is unchanged.
	Token             Token
	TransactionStatus TransactionStatus
	// ResponseStarted says that a part of the response was forwarded, so the request cannot be retried.
	ResponseStarted bool
	// UpstreamAnswered says that the response ended with the upstream's own answer, an error or not.
	UpstreamAnswered bool
	// Term and Primary are the newest ones that the owner knows.
	Term    Term
	Primary UpstreamName
}
