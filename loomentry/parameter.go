package loomentry

import (
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"currantloom.example/currantloom"
)

// Names of session parameters, in lower case because they are compared in lower case.
const (
	parameterPrefix           = "currantloom."
	parameterToken            = "currantloom.token"
	parameterMaxAge           = "currantloom.max_age"
	parameterRequestID        = "currantloom.request_id"
	parameterDeadline         = "currantloom.deadline"
	parameterApplicationName  = "application_name"
	parameterExtraFloatDigits = "extra_float_digits"
	parameterStatementTimeout = "statement_timeout"
)

// maxParameterSize bounds the size of a parameter's value, in bytes, because a node has many sessions.
const maxParameterSize = 256

// fixedParameters are the standard parameters that may only be set to the value that they have on all upstream
// connections.
var fixedParameters = map[string][]string{
	"client_encoding":             {"UTF8", "utf-8", "unicode"},
	"datestyle":                   {"ISO, MDY", "iso", "iso,mdy"},
	"timezone":                    {"UTC", "etc/utc", "gmt"},
	"standard_conforming_strings": {"on", "true", "1"},
	// Every value above 0 selects the shortest exact form, which is the default of the upstreams.
	parameterExtraFloatDigits: {"1", "2", "3"},
}

// reportedParameters are the parameters whose changes are reported to the client by ParameterStatus.
var reportedParameters = []string{
	"client_encoding", "DateStyle", "TimeZone", "standard_conforming_strings", parameterApplicationName,
}

// sessionParameters are the values that a session has set.
type sessionParameters struct {
	token            currantloom.Token
	maxAge           time.Duration
	requestID        string
	deadline         time.Duration
	statementTimeout time.Duration
	applicationName  string
	// startup holds the values of the startup message, to which RESET returns.
	startup map[string]string
}

// requestDeadline returns the time that the session gives a request, zero if it set none.
func (p *sessionParameters) requestDeadline() time.Duration {
	if p.deadline > 0 {
		return p.deadline
	}
	return p.statementTimeout
}

// isSessionParameter reports whether the session keeps the parameter, so that no upstream connection has to.
func isSessionParameter(name string) bool {
	if strings.HasPrefix(name, parameterPrefix) || fixedParameters[name] != nil {
		return true
	}
	return name == parameterApplicationName || name == parameterStatementTimeout
}

// set sets a parameter. The name is in lower case.
func (p *sessionParameters) set(name, value string, database currantloom.DatabaseName) error {
	if len(value) > maxParameterSize {
		return invalidParameter("%s: value of %d bytes exceeds the limit of %d", name, len(value), maxParameterSize)
	}
	if !utf8.ValidString(value) {
		// Links to other nodes carry texts in UTF-8 and would make equal request ids of different ones.
		return invalidParameter("%s: value is not valid UTF-8", name)
	}
	if allowed := fixedParameters[name]; allowed != nil {
		return checkFixedParameter(name, value, allowed)
	}
	var err error
	switch name {
	case parameterToken:
		var token currantloom.Token
		if token, err = currantloom.ParseToken(value, database); err != nil {
			return invalidParameter("%s: %v", name, err)
		}
		p.token = token
	case parameterMaxAge:
		p.maxAge, err = parseDuration(name, value, p.maxAge)
	case parameterDeadline:
		p.deadline, err = parseDuration(name, value, p.deadline)
	case parameterStatementTimeout:
		p.statementTimeout, err = parseDuration(name, value, p.statementTimeout)
	case parameterRequestID:
		p.requestID = value
	case parameterApplicationName:
		p.applicationName = value
	default:
		if strings.HasPrefix(name, parameterPrefix) {
			return invalidParameter("unknown parameter %s", name)
		}
		return unsupported("SET %s is not supported", name)
	}
	return err
}

func checkFixedParameter(name, value string, allowed []string) error {
	for _, v := range allowed {
		if strings.EqualFold(strings.ReplaceAll(v, " ", ""), strings.ReplaceAll(value, " ", "")) {
			return nil
		}
	}
	return unsupported("%s may only be %s, got %q", name, allowed[0], value)
}

// parseDuration reads a duration such as 5s; a bare number is in milliseconds, as in statement_timeout.
func parseDuration(name, value string, previous time.Duration) (time.Duration, error) {
	text := strings.ReplaceAll(value, " ", "")
	if ms, err := strconv.ParseInt(text, 10, 32); err == nil && ms >= 0 {
		return time.Duration(ms) * time.Millisecond, nil
	}
	if number, ok := strings.CutSuffix(text, "min"); ok {
		text = number + "m"
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 {
		return previous, invalidParameter("%s: %q is not a duration such as 5s", name, value)
	}
	return d, nil
}

// reset returns a parameter, or all if the name is empty, to its value at startup. The token becomes unknown, which
// is always safe: the startup token may be older than the session's own writes.
func (p *sessionParameters) reset(name string) error {
	if name == "" {
		token := currantloom.Token{}
		*p = sessionParameters{token: token, startup: p.startup}
		for name, value := range p.startup {
			if name != parameterToken {
				_ = p.set(name, value, "")
			}
		}
		return nil
	}
	if !isSessionParameter(name) {
		return unsupported("RESET %s is not supported", name)
	}
	if fixedParameters[name] != nil {
		return nil
	}
	if value, ok := p.startup[name]; ok && name != parameterToken {
		return p.set(name, value, "")
	}
	if name == parameterMaxAge || name == parameterDeadline || name == parameterStatementTimeout {
		return p.set(name, "0", "")
	}
	return p.set(name, "", "")
}

// show returns the value of a parameter that the session keeps.
func (p *sessionParameters) show(name string) string {
	switch name = strings.ToLower(name); name {
	case parameterToken:
		return p.token.String()
	case parameterMaxAge:
		return p.maxAge.String()
	case parameterDeadline:
		return p.deadline.String()
	case parameterStatementTimeout:
		return strconv.FormatInt(p.statementTimeout.Milliseconds(), 10)
	case parameterRequestID:
		return p.requestID
	case parameterApplicationName:
		return p.applicationName
	}
	if allowed := fixedParameters[name]; allowed != nil {
		return allowed[0]
	}
	return ""
}

func invalidParameter(format string, args ...any) error {
	return currantloom.NewRequestError(currantloom.NotRun, currantloom.SQLStateInvalidParameter, 0, format, args...)
}

func unsupported(format string, args ...any) error {
	return currantloom.NewRequestError(currantloom.NotRun, currantloom.SQLStateUnsupported, 0, format, args...)
}
