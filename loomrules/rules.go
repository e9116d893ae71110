// Package loomrules parses the operators' rules file and looks up the rules that apply to a request or an upstream.
//
// A file holds one rule per line, each with a comment that names who asked for it. A parsed Rules value is immutable.
// The zero value holds no rules and returns the defaults.
//
// Of several rules that match, the most specific one applies: first by database (an exact name, then the longest
// pattern), then by organisation, then by the length of the statement prefix. Two rules with the same subject are an
// error, so the order of the lines does not matter.
//
// The rules file calls an organisation a caller and an upstream a server.
package loomrules

import (
	"time"

	"currantloom.example/currantloom"
)

const (
	// DefaultShortDeadline is longer than a failover, which takes at most 8 s.
	DefaultShortDeadline = 10 * time.Second
	// DefaultLongDeadline is enough for batch releases and end-of-day closures.
	DefaultLongDeadline = 10 * time.Minute
	// DefaultWeight is the weight of an organisation without a share rule.
	DefaultWeight = 1
	// DefaultRequestIDRetention is the age after which recorded request ids are removed.
	DefaultRequestIDRetention = 7 * 24 * time.Hour
	// MaxSize is the largest accepted size of a file, the size limit of a value in the platform's store.
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

// Parse parses a rules file. The error is a currantloom.FileErrors with all errors in the text.
func Parse(text string) (*Rules, error) { return ParseFile("rules", text, nil) }

// Len returns the number of rules.
func (r *Rules) Len() int { return len(r.rules) }

// MaxAge returns the accepted age of the data for reads that state none, zero if no rule sets one.
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

// Class returns the class that a rule gives the statement. found is false if there is no such rule.
func (r *Rules) Class(
	database currantloom.DatabaseName, statement string,
) (class currantloom.RequestClass, found bool) {
	if match := r.tables[kindClass].find(database, "", statement, 0); match != nil {
		return match.class, true
	}
	return currantloom.ShortRequest, false
}

// Weight returns the organisation's weight in the fair queue of an upstream.
func (r *Rules) Weight(database currantloom.DatabaseName, organisation currantloom.OrganisationName) int {
	if match := r.tables[kindShare].find(database, organisation, "", 0); match != nil {
		return match.weight
	}
	return DefaultWeight
}

// MaxConnections returns the limit on the organisation's connections to one upstream, zero if no rule sets one.
func (r *Rules) MaxConnections(database currantloom.DatabaseName, organisation currantloom.OrganisationName) int {
	if match := r.tables[kindShare].find(database, organisation, "", 0); match != nil {
		return match.connections
	}
	return 0
}

// Deadline returns the time for a request of the class that states no deadline.
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

// IsLeaving reports whether a rule says that the upstream must get no new requests.
func (r *Rules) IsLeaving(upstream currantloom.UpstreamName) bool {
	return r.leavingUpstreams[upstream]
}

// DesiredPrimary returns the upstream that a rule names as the primary, empty if none does.
func (r *Rules) DesiredPrimary(database currantloom.DatabaseName) currantloom.UpstreamName {
	return r.desiredPrimaries[database]
}
