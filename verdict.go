package currantloom

import (
	"time"

	"github.com/joomcode/errorx"
)

// Verdict says whether a request may have run.
type Verdict uint8

// The zero value is MayHaveRun: without evidence nothing else may be claimed.
const (
	// MayHaveRun means that the request was sent to a database server and its outcome is unknown.
	MayHaveRun Verdict = iota
	// NotRun means that the request had no effect and never will have one.
	NotRun
	// Ran means that the request ran and its outcome is known.
	Ran
)

// String returns the verdict as it stands in error details and logs.
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

// ParseVerdict parses the form that String returns; anything else is MayHaveRun.
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

// Codes that currantloom itself reports or interprets.
const (
	CodeConnectionFailure  SQLState = "08006"
	CodeOutcomeUnknown     SQLState = "08007"
	CodeProtocolViolation  SQLState = "08P01"
	CodeUnsupported        SQLState = "0A000"
	CodeReadOnly           SQLState = "25006"
	CodeFailedTransaction  SQLState = "25P02"
	CodeIdleInTransaction  SQLState = "25P03"
	CodeUnknownStatement   SQLState = "26000"
	CodeInvalidPassword    SQLState = "28P01"
	CodeInvalidParameter   SQLState = "22023"
	CodeDuplicateStatement SQLState = "42P05"
	CodeTooManyConnections SQLState = "53300"
	CodeLimitExceeded      SQLState = "54000"
	CodeQueryCanceled      SQLState = "57014"
	CodeShuttingDown       SQLState = "57P01"
	CodeCannotConnectNow   SQLState = "57P03"
	CodeUniqueViolation    SQLState = "23505"
)

var (
	errorNamespace = errorx.NewNamespace("currantloom")

	// ErrInput is the type of errors in what a caller, an operator or a peer sent.
	ErrInput = errorNamespace.NewType("input")
	// ErrConflict is the type of errors of a compare-and-set that met another value.
	ErrConflict = errorNamespace.NewType("conflict")
	// ErrUnavailable is the type of errors of an external system that does not answer.
	ErrUnavailable = errorNamespace.NewType("unavailable", errorx.Temporary())
	// ErrRequest is the type of errors that end a request; they carry a verdict.
	ErrRequest = errorNamespace.NewType("request")

	verdictProperty = errorx.RegisterPrintableProperty("verdict")
	codeProperty    = errorx.RegisterPrintableProperty("sqlstate")
	retryProperty   = errorx.RegisterPrintableProperty("retry_after")
)

// NewRequestError returns the error that ends a request: what is known about its effect, the code for the caller and
// the time after which a retry makes sense (zero if none does).
func NewRequestError(verdict Verdict, code SQLState, retryAfter time.Duration, format string, args ...any) error {
	return ErrRequest.New(format, args...).
		WithProperty(verdictProperty, verdict).
		WithProperty(codeProperty, code).
		WithProperty(retryProperty, retryAfter)
}

// WrapRequestError is NewRequestError for an error that has a cause.
func WrapRequestError(
	cause error, verdict Verdict, code SQLState, retryAfter time.Duration, format string, args ...any,
) error {
	return ErrRequest.Wrap(cause, format, args...).
		WithProperty(verdictProperty, verdict).
		WithProperty(codeProperty, code).
		WithProperty(retryProperty, retryAfter)
}

// VerdictOf returns the verdict of an error, MayHaveRun if it carries none.
func VerdictOf(err error) Verdict {
	if v, ok := errorx.ExtractProperty(err, verdictProperty); ok {
		return v.(Verdict)
	}
	return MayHaveRun
}

// CodeOf returns the code of an error, CodeOutcomeUnknown if it carries none.
func CodeOf(err error) SQLState {
	if v, ok := errorx.ExtractProperty(err, codeProperty); ok {
		return v.(SQLState)
	}
	return CodeOutcomeUnknown
}

// RetryAfterOf returns the time after which a retry makes sense, zero if the error names none.
func RetryAfterOf(err error) time.Duration {
	if v, ok := errorx.ExtractProperty(err, retryProperty); ok {
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
