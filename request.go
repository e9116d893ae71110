package currantloom

import (
	"fmt"
	"time"
)

// RequestKey identifies a request over all nodes: the entry node and its running number. With an attempt it identifies
// the work of that attempt at a carrier, so that a retry does not meet an earlier attempt that still runs there.
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

// String returns the key as it stands in logs and error details.
func (k RequestKey) String() string { return fmt.Sprintf("%s-%d", k.VM, k.Number) }

// Kind says whether a request may write.
type Kind uint8

// The zero kind is Write, which is always safe to assume.
const (
	Write Kind = iota
	Read
)

// String returns the kind in lower case.
func (k Kind) String() string {
	if k == Read {
		return "read"
	}
	return "write"
}

// Class says whether a request is expected to run for long.
type Class uint8

// Short is the class of requests without a rule or a history.
const (
	Short Class = iota
	Long
)

// String returns the class in lower case.
func (c Class) String() string {
	if c == Long {
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
	Key      RequestKey
	Caller   CallerName
	Database DatabaseName
	Kind     Kind
	// Statement is the first statement's text, shortened, for rules and history.
	Statement string
	// Others are the texts of the statements after the first one, shortened. Rules apply to them as well.
	Others []string
	Token  Token
	// MaxAge is the age the session accepts for reads; zero means that none was stated.
	MaxAge time.Duration
	// Deadline is the time the caller gives the request; zero means the rule's default.
	Deadline time.Duration
	// RequestID makes the request idempotent; empty if the caller supplied none.
	RequestID string
	// Begins says that the request leaves a transaction open.
	Begins bool
}

// RequestHeader precedes a request on a link to a carrier.
type RequestHeader struct {
	Key       RequestKey
	Server    ServerName
	Caller    CallerName
	Database  DatabaseName
	Kind      Kind
	Class     Class
	Statement string
	Token     Token
	MaxAge    time.Duration
	// Remaining is the time left until the request's deadline.
	Remaining time.Duration
	RequestID string
	Begins    bool
}

// Trailer follows the response on a link.
type Trailer struct {
	Verdict    Verdict
	Code       SQLState
	Reason     string
	RetryAfter time.Duration
	// Token is the token the session has after the request; unknown if unchanged.
	Token       Token
	Transaction TransactionStatus
	// Started says that a part of the response was passed on, so the request cannot be retried.
	Started bool
	// Answered says that the response ended with the server's own answer, error or not.
	Answered bool
	// Term and Primary are the newest the carrier knows of.
	Term    Term
	Primary ServerName
}
