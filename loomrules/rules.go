// Package loomrules parses the operators' rules file and answers what the rules say about a request or a server.
//
// A file holds one rule per line, each with a comment that names who asked for it. A parsed Rules value is immutable;
// the zero value holds no rule and answers with the defaults.
//
// Of several rules that match, the most specific one applies: first by database (an exact name, then the longest
// pattern), then by caller, then by the length of the statement prefix. Two rules with the same subject are an error,
// so the order of the lines never matters.
package loomrules

import (
	"time"

	"currantloom.example/currantloom"
)

const (
	// DefaultShortDeadline outlasts a failover, which takes at most 8 s.
	DefaultShortDeadline = 10 * time.Second
	// DefaultLongDeadline covers batch releases and end-of-day closures.
	DefaultLongDeadline = 10 * time.Minute
	// DefaultWeight is the share of a caller without a rule.
	DefaultWeight = 1
	// DefaultRequestIDRetention is the age after which recorded request ids are removed.
	DefaultRequestIDRetention = 7 * 24 * time.Hour
	// MaxSize is the largest value that the platform's store accepts.
	MaxSize = 1 << 20
)

// Rules is a parsed rules file.
type Rules struct {
	rules            []rule
	tables           [ruleKindCount]table
	leavingUpstreams map[currantloom.UpstreamName]bool
	desiredPrimaries map[currantloom.DatabaseName]currantloom.UpstreamName
}

func newRules(rules []rule) *Rules {
	r := &Rules{
		rules:            rules,
		leavingUpstreams: make(map[currantloom.UpstreamName]bool),
		desiredPrimaries: make(map[currantloom.DatabaseName]currantloom.UpstreamName),
	}
	for _, entry := range rules {
		switch entry.kind {
		case kindLeave:
			r.leavingUpstreams[currantloom.UpstreamName(entry.upstream)] = true
		case kindPrimary:
			r.desiredPrimaries[currantloom.DatabaseName(entry.database)] = currantloom.UpstreamName(entry.upstream)
		default:
			r.tables[entry.kind].add(entry)
		}
	}
	for i := range r.tables {
		r.tables[i].sort()
	}
	return r
}

// Parse parses a rules file. The error is a currantloom.FileErrors with every fault in the text.
func Parse(text string) (*Rules, error) { return ParseFile("rules", text, nil) }

// Len returns the number of rules.
func (r *Rules) Len() int { return len(r.rules) }

// MaxAge returns the accepted age of reads that state none; zero if no rule gives one.
func (r *Rules) MaxAge(database currantloom.DatabaseName, organisation currantloom.OrganisationName) time.Duration {
	if match := r.tables[kindRead].find(database, organisation, "", 0); match != nil {
		return match.duration
	}
	return 0
}

// RequiresRequestID reports whether the statement must carry a request id.
func (r *Rules) RequiresRequestID(database currantloom.DatabaseName, statement string) bool {
	return r.tables[kindRequireRequestID].find(database, "", statement, 0) != nil
}

// Class returns the class that a rule gives the statement.
func (r *Rules) Class(
	database currantloom.DatabaseName, statement string,
) (class currantloom.RequestClass, found bool) {
	if match := r.tables[kindClass].find(database, "", statement, 0); match != nil {
		return match.class, true
	}
	return currantloom.ShortRequest, false
}

// Weight returns the caller's weight when callers share a server.
func (r *Rules) Weight(database currantloom.DatabaseName, organisation currantloom.OrganisationName) int {
	if match := r.tables[kindShare].find(database, organisation, "", 0); match != nil {
		return match.weight
	}
	return DefaultWeight
}

// MaxConnections returns the most connections the caller may hold at one server; zero if no rule gives a limit.
func (r *Rules) MaxConnections(database currantloom.DatabaseName, organisation currantloom.OrganisationName) int {
	if match := r.tables[kindShare].find(database, organisation, "", 0); match != nil {
		return match.connections
	}
	return 0
}

// Deadline returns the time that a request of the class has if the caller gives none.
func (r *Rules) Deadline(
	database currantloom.DatabaseName, organisation currantloom.OrganisationName, class currantloom.RequestClass,
) time.Duration {
	if match := r.tables[kindDeadline].find(database, organisation, "", class); match != nil {
		return match.duration
	}
	if class == currantloom.LongRequest {
		return DefaultLongDeadline
	}
	return DefaultShortDeadline
}

// RequestIDRetention returns the age after which recorded request ids of the database are removed.
func (r *Rules) RequestIDRetention(database currantloom.DatabaseName) time.Duration {
	if match := r.tables[kindKeepRequestIDs].find(database, "", "", 0); match != nil {
		return match.duration
	}
	return DefaultRequestIDRetention
}

// IsLeaving reports whether the server is to receive no new work.
func (r *Rules) IsLeaving(upstream currantloom.UpstreamName) bool {
	return r.leavingUpstreams[upstream]
}

// DesiredPrimary returns the server that shall be primary; empty if no rule names one.
func (r *Rules) DesiredPrimary(database currantloom.DatabaseName) currantloom.UpstreamName {
	return r.desiredPrimaries[database]
}
