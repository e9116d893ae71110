package loomrules

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"currantloom.example/currantloom"
)

// ruleKind is the kind of a rule, given by its first word.
type ruleKind uint8

const (
	kindRead ruleKind = iota
	kindRequireRequestID
	kindClass
	kindShare
	kindDeadline
	kindKeepRequestIDs
	kindLeave
	kindPrimary
	ruleKindCount
)

var kindNames = [ruleKindCount]string{
	"read", "require-request-id", "class", "share", "deadline", "keep-request-ids", "leave", "primary",
}

// rule is a rule of the file.
type rule struct {
	kind         ruleKind
	database     string
	organisation string
	// prefix is the statement prefix in quotes. class is the class that a class rule gives the statement, or the class
	// that a deadline rule applies to.
	prefix      string
	class       currantloom.RequestClass
	duration    time.Duration
	weight      int
	connections int
	upstream    string
	comment     string
	line        int
}

// subject identifies what the rule decides. Two rules with the same subject contradict each other or are duplicates.
func (r rule) subject() string {
	s := kindNames[r.kind]
	if r.kind == kindLeave {
		return s + " " + r.upstream
	}
	s += " " + r.database
	switch r.kind {
	case kindRead, kindShare, kindDeadline:
		if r.organisation != "" && r.organisation != "*" {
			s += " caller " + r.organisation
		}
	case kindRequireRequestID, kindClass:
		s += " " + quote(canonicalPrefix(r.prefix))
	}
	if r.kind == kindDeadline {
		s += " " + r.class.String()
	}
	return s
}

// text returns the canonical form of the rule without its comment.
func (r rule) text() string {
	s := kindNames[r.kind]
	switch r.kind {
	case kindLeave:
		return s + " " + r.upstream
	case kindPrimary:
		return s + " " + r.database + " " + r.upstream
	case kindRequireRequestID:
		return s + " " + r.database + " " + quote(r.prefix)
	case kindClass:
		return s + " " + r.database + " " + r.class.String() + " " + quote(r.prefix)
	case kindKeepRequestIDs:
		return s + " " + r.database + " " + formatDuration(r.duration)
	}
	s += " " + r.database
	if r.organisation != "" {
		s += " caller " + r.organisation
	}
	switch r.kind {
	case kindRead:
		s += " max-age " + formatDuration(r.duration)
	case kindDeadline:
		s += " " + r.class.String() + " " + formatDuration(r.duration)
	case kindShare:
		s += " weight " + strconv.Itoa(r.weight)
		if r.connections > 0 {
			s += " max-connections " + strconv.Itoa(r.connections)
		}
	}
	return s
}

func quote(s string) string {
	return `"` + strings.NewReplacer(`\`, `\\`, `"`, `\"`).Replace(s) + `"`
}

// durationUnits are the units of durations in decreasing order.
var durationUnits = []struct {
	name string
	size time.Duration
}{{"d", 24 * time.Hour}, {"h", time.Hour}, {"m", time.Minute}, {"s", time.Second}, {"ms", time.Millisecond}}

// formatDuration formats the duration in the largest unit of which it is a multiple.
func formatDuration(d time.Duration) string {
	for _, unit := range durationUnits {
		if d%unit.size == 0 {
			return fmt.Sprintf("%d%s", d/unit.size, unit.name)
		}
	}
	return fmt.Sprintf("%dms", d/time.Millisecond)
}

// ParseDuration parses a whole number with one of the units ms, s, m, h and d.
func ParseDuration(text string) (time.Duration, error) {
	digits := strings.TrimRight(text, "abcdefghijklmnopqrstuvwxyz")
	suffix := text[len(digits):]
	n, err := strconv.ParseUint(digits, 10, 31)
	if err != nil {
		return 0, currantloom.ErrInput.New("%q is not a duration such as 500ms, 5s, 10m, 2h or 7d", text)
	}
	if suffix == "" {
		return 0, currantloom.ErrInput.New("%q has no unit; write it as %sms, %ss, %sm, %sh or %sd",
			text, digits, digits, digits, digits, digits)
	}
	for _, unit := range durationUnits {
		if unit.name == suffix {
			return scaleDuration(n, unit.size, text)
		}
	}
	return 0, currantloom.ErrInput.New("%q has the unknown unit %q; units are ms, s, m, h and d", text, suffix)
}

// maxDuration bounds the durations in a file. It is far above every useful value and prevents overflow.
const maxDuration = 3650 * 24 * time.Hour

func scaleDuration(n uint64, unit time.Duration, text string) (time.Duration, error) {
	if n > uint64(maxDuration/unit) {
		return 0, currantloom.ErrInput.New("%q is more than 3650d", text)
	}
	return time.Duration(n) * unit, nil
}
