package currantloom

import (
	"time"

	"github.com/joomcode/errorx"
)

// Verdict says whether a request may have run.
type Verdict uint8

// The zero value is MayHaveRun, the only verdict that needs no evidence.
const (
	// MayHaveRun means that the request was sent to an upstream and its outcome is unknown.
	MayHaveRun Verdict = iota
	// NotRun means that the request had no effect and never will have one.
	NotRun
	// Ran means that the request ran and its outcome is known.
	Ran
)

// String returns the form used in error details and logs.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not_run"
	case Ran:
		return "ran"
	default:
		return "may_have_run"
	}
}

// ParseVerdict parses the form that String returns; any other text gives MayHaveRun.
func ParseVerdict(text string) Verdict {
	switch text {
	case "not_run":
		return NotRun
	case "ran":
		return Ran
	default:
		return MayHaveRun
	}
}

// SQLState is a five-character error code of the PostgreSQL protocol.
type SQLState string

// Codes that the proxy itself reports or interprets.
const (
	SQLStateConnectionFailure  SQLState = "08006"
	SQLStateOutcomeUnknown     SQLState = "08007"
	SQLStateProtocolViolation  SQLState = "08P01"
	SQLStateUnsupported        SQLState = "0A000"
	SQLStateReadOnly           SQLState = "25006"
	SQLStateFailedTransaction  SQLState = "25P02"
	SQLStateIdleInTransaction  SQLState = "25P03"
	SQLStateUnknownStatement   SQLState = "26000"
	SQLStateInvalidPassword    SQLState = "28P01"
	SQLStateInvalidParameter   SQLState = "22023"
	SQLStateDuplicateStatement SQLState = "42P05"
	SQLStateTooManyConnections SQLState = "53300"
	SQLStateLimitExceeded      SQLState = "54000"
	SQLStateQueryCanceled      SQLState = "57014"
	SQLStateShuttingDown       SQLState = "57P01"
	SQLStateCannotConnectNow   SQLState = "57P03"
	SQLStateUniqueViolation    SQLState = "23505"
)

var (
	errorNamespace = errorx.NewNamespace("currantloom")

	// ErrInput is the type of errors in the input of a client, an operator or a peer.
	ErrInput = errorNamespace.NewType("input")
	// ErrConflict is the type of errors of a compare-and-set whose expected state did not match.
	ErrConflict = errorNamespace.NewType("conflict")
	// ErrUnavailable is the type of errors of an external system that does not answer.
	ErrUnavailable = errorNamespace.NewType("unavailable", errorx.Temporary())
	// ErrRequest is the type of errors that end a request; they carry a verdict.
	ErrRequest = errorNamespace.NewType("request")

	verdictProperty    = errorx.RegisterPrintableProperty("verdict")
	sqlStateProperty   = errorx.RegisterPrintableProperty("sqlstate")
	retryAfterProperty = errorx.RegisterPrintableProperty("retry_after")
)

// NewRequestError returns the error that ends a request: the verdict on its effect, the code for the client and
// the time after which a retry makes sense (zero if it never does).
func NewRequestError(verdict Verdict, code SQLState, retryAfter time.Duration, format string, args ...any) error {
	return ErrRequest.New(format, args...).
		WithProperty(verdictProperty, verdict).
		WithProperty(sqlStateProperty, code).
		WithProperty(retryAfterProperty, retryAfter)
}

// WrapRequestError is NewRequestError for an error with a cause.
func WrapRequestError(
	cause error, verdict Verdict, code SQLState, retryAfter time.Duration, format string, args ...any,
) error {
	return ErrRequest.Wrap(cause, format, args...).
		WithProperty(verdictProperty, verdict).
		WithProperty(sqlStateProperty, code).
		WithProperty(retryAfterProperty, retryAfter)
}

// VerdictOf returns the verdict of an error, MayHaveRun if it carries none.
func VerdictOf(err error) Verdict {
	if v, ok := errorx.ExtractProperty(err, verdictProperty); ok {
		return v.(Verdict)
	}
	return MayHaveRun
}

// SQLStateOf returns the code of an error, SQLStateOutcomeUnknown if it carries none.
func SQLStateOf(err error) SQLState {
	if v, ok := errorx.ExtractProperty(err, sqlStateProperty); ok {
		return v.(SQLState)
	}
	return SQLStateOutcomeUnknown
}

// RetryAfterOf returns the time after which a retry makes sense, zero if the error has none.
func RetryAfterOf(err error) time.Duration {
	if v, ok := errorx.ExtractProperty(err, retryAfterProperty); ok {
		return v.(time.Duration)
	}
	return 0
}

// MessageOf returns the message of an error without the name of its type, for an operator to read.
func MessageOf(err error) string {
	if e := errorx.Cast(err); e != nil && e.Cause() == nil {
		return e.Message()
	}
	return err.Error()
}

// IsInput reports whether an error is of type ErrInput.
func IsInput(err error) bool { return errorx.IsOfType(err, ErrInput) }

// IsConflict reports whether an error is of type ErrConflict.
func IsConflict(err error) bool { return errorx.IsOfType(err, ErrConflict) }
