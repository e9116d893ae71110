package loomrules

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"currantloom.example/currantloom"
)

// kind is the first word of a rule.
type kind uint8

const (
	kindRead kind = iota
	kindRequireRequestID
	kindClass
	kindShare
	kindDeadline
	kindKeepRequestIDs
	kindLeave
	kindPrimary
	kinds
)

var kindNames = [kinds]string{
	"read", "require-request-id", "class", "share", "deadline", "keep-request-ids", "leave", "primary",
}

// rule is one line of the file.
type rule struct {
	kind     kind
	database string
	caller   string
	// prefix is the text in quotes, and class the class it is given or, in a deadline, the class it is for.
	prefix      string
	class       currantloom.RequestClass
	duration    time.Duration
	weight      int
	connections int
	server      string
	comment     string
	line        int
}

// subject is what the rule decides; two rules with one subject contradict each other or are duplicates.
func (u rule) subject() string {
	s := kindNames[u.kind]
	if u.kind == kindLeave {
		return s + " " + u.server
	}
	s += " " + u.database
	switch u.kind {
	case kindRead, kindShare, kindDeadline:
		if u.caller != "" && u.caller != "*" {
			s += " caller " + u.caller
		}
	case kindRequireRequestID, kindClass:
		s += " " + quote(foldPrefix(u.prefix))
	}
	if u.kind == kindDeadline {
		s += " " + u.class.String()
	}
	return s
}

// text returns the canonical form of the rule without its comment.
func (u rule) text() string {
	s := kindNames[u.kind]
	switch u.kind {
	case kindLeave:
		return s + " " + u.server
	case kindPrimary:
		return s + " " + u.database + " " + u.server
	case kindRequireRequestID:
		return s + " " + u.database + " " + quote(u.prefix)
	case kindClass:
		return s + " " + u.database + " " + u.class.String() + " " + quote(u.prefix)
	case kindKeepRequestIDs:
		return s + " " + u.database + " " + formatDuration(u.duration)
	}
	s += " " + u.database
	if u.caller != "" {
		s += " caller " + u.caller
	}
	switch u.kind {
	case kindRead:
		s += " max-age " + formatDuration(u.duration)
	case kindDeadline:
		s += " " + u.class.String() + " " + formatDuration(u.duration)
	case kindShare:
		s += " weight " + strconv.Itoa(u.weight)
		if u.connections > 0 {
			s += " max-connections " + strconv.Itoa(u.connections)
		}
	}
	return s
}

func quote(s string) string {
	return `"` + strings.NewReplacer(`\`, `\\`, `"`, `\"`).Replace(s) + `"`
}

// units are the units of durations, the largest first.
var units = []struct {
	name string
	size time.Duration
}{{"d", 24 * time.Hour}, {"h", time.Hour}, {"m", time.Minute}, {"s", time.Second}, {"ms", time.Millisecond}}

// formatDuration returns the duration in the largest unit that divides it.
func formatDuration(d time.Duration) string {
	for _, u := range units {
		if d%u.size == 0 {
			return fmt.Sprintf("%d%s", d/u.size, u.name)
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
	for _, u := range units {
		if u.name == suffix {
			return multiply(n, u.size, text)
		}
	}
	return 0, currantloom.ErrInput.New("%q has the unknown unit %q; units are ms, s, m, h and d", text, suffix)
}

// maxDuration bounds what a duration in a file may say, far above every sensible value.
const maxDuration = 3650 * 24 * time.Hour

func multiply(n uint64, unit time.Duration, text string) (time.Duration, error) {
	if n > uint64(maxDuration/unit) {
		return 0, currantloom.ErrInput.New("%q is more than 3650d", text)
	}
	return time.Duration(n) * unit, nil
}
