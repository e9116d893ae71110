package loomrules

import (
	"fmt"
	"strconv"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"currantloom.example/currantloom"
)

// parser collects the rules and the faults of one file.
type parser struct {
	file   string
	rules  []rule
	faults currantloom.FileErrors
}

// ParseFile parses a rules file. The name stands in the faults. If a catalogue is given, every name in the rules must
// be known in it. The error is a currantloom.FileErrors with every fault in the text.
func ParseFile(name, text string, catalogue *KnownNames) (*Rules, error) {
	p := &parser{file: name}
	if !p.checkText(text) {
		return nil, p.faults
	}
	for i, content := range strings.Split(text, "\n") {
		l := &line{parser: p, number: i + 1, text: content}
		l.parse()
	}
	p.checkRules(catalogue)
	if len(p.faults) > 0 {
		sortFaults(p.faults)
		return nil, p.faults
	}
	return newRules(p.rules), nil
}

func (p *parser) fault(number, column int, format string, args ...any) {
	p.faults = append(p.faults, currantloom.FileError{
		File: p.file, Line: number, Column: column, Message: fmt.Sprintf(format, args...),
	})
}

// checkText reports faults of the encoding; a text that has one is not parsed further.
func (p *parser) checkText(text string) bool {
	if len(text) > MaxSize {
		p.fault(1, 1, "the file has %d bytes; the store accepts at most %d", len(text), MaxSize)
		return false
	}
	if strings.HasPrefix(text, "\ufeff") {
		p.fault(1, 1, "the file starts with a byte-order mark; save it as UTF-8 without one")
	}
	for i, content := range strings.Split(text, "\n") {
		if at := strings.IndexByte(content, '\r'); at >= 0 {
			p.fault(i+1, utf8.RuneCountInString(content[:at])+1, "carriage return; save the file with LF line ends")
		}
		if at := invalidAt(content); at >= 0 {
			p.fault(i+1, utf8.RuneCountInString(content[:at])+1, "invalid UTF-8")
		}
	}
	return len(p.faults) == 0
}

func invalidAt(s string) int {
	for i, r := range s {
		if r == utf8.RuneError {
			if _, size := utf8.DecodeRuneInString(s[i:]); size == 1 {
				return i
			}
		}
	}
	return -1
}

// line parses one line from left to right. After a fault the rest of the line is skipped.
type line struct {
	parser *parser
	number int
	text   string
	at     int
	rule   rule
	failed bool
}

func (l *line) fault(at int, format string, args ...any) {
	if l.failed {
		return
	}
	l.failed = true
	l.parser.fault(l.number, utf8.RuneCountInString(l.text[:at])+1, format, args...)
}

func (l *line) parse() {
	l.skip()
	if l.at == len(l.text) || l.text[l.at] == '#' {
		return
	}
	l.rule.line = l.number
	start := l.at
	word := l.word("a rule")
	l.rule.kind = kinds
	for k, name := range kindNames {
		if name == word {
			l.rule.kind = kind(k)
		}
	}
	if l.rule.kind == kinds {
		l.fault(start, "unknown rule %q; rules are %s", word, strings.Join(kindNames[:], ", "))
		return
	}
	l.arguments()
	l.end()
	if !l.failed {
		l.parser.rules = append(l.parser.rules, l.rule)
	}
}

func (l *line) arguments() {
	u := &l.rule
	if u.kind == kindLeave {
		u.server = l.name("a server", false)
		return
	}
	u.database = l.name("a database", u.kind != kindPrimary)
	switch u.kind {
	case kindRead:
		l.optionalCaller()
		l.keyword("max-age")
		u.duration = l.duration(time.Millisecond)
	case kindRequireRequestID:
		u.prefix = l.quoted()
	case kindClass:
		u.class = l.class()
		u.prefix = l.quoted()
	case kindShare:
		l.keyword("caller")
		u.caller = l.name("a caller", true)
		l.keyword("weight")
		u.weight = l.number1("weight", 1000)
		if l.optional("max-connections") {
			u.connections = l.number1("max-connections", 10000)
		}
	case kindDeadline:
		l.optionalCaller()
		u.class = l.class()
		u.duration = l.duration(time.Millisecond)
	case kindKeepRequestIDs:
		u.duration = l.duration(time.Minute)
	case kindPrimary:
		u.server = l.name("a server", false)
	}
}

// end parses the comment.
func (l *line) end() {
	l.skip()
	if l.failed {
		return
	}
	if l.at == len(l.text) {
		l.fault(l.at, "the rule has no comment that names who asked for it")
		return
	}
	if l.text[l.at] != '#' {
		l.fault(l.at, "unexpected %q after the rule", l.text[l.at:])
		return
	}
	l.rule.comment = strings.TrimSpace(strings.TrimLeft(l.text[l.at:], "#"))
	if !strings.ContainsFunc(l.rule.comment, unicode.IsLetter) {
		l.fault(l.at, "the comment does not name who asked for the rule")
	}
}

func (l *line) skip() {
	for l.at < len(l.text) && (l.text[l.at] == ' ' || l.text[l.at] == '\t') {
		l.at++
	}
}

// word returns the next word, empty at the end of the rule.
func (l *line) word(what string) string {
	l.skip()
	start := l.at
	for l.at < len(l.text) && !strings.ContainsRune(" \t#\"", rune(l.text[l.at])) {
		l.at++
	}
	if l.at == start {
		l.fault(start, "expected %s", what)
	}
	return l.text[start:l.at]
}

func (l *line) name(what string, pattern bool) string {
	l.skip()
	start := l.at
	word := l.word(what)
	name := word
	if pattern {
		name = strings.TrimSuffix(word, "*")
	}
	if strings.ContainsFunc(name, func(r rune) bool { return !isNameRune(r) }) {
		hint := ""
		if strings.Contains(word, "*") {
			hint = "; * may only end the name of a database or caller, and not in a rule primary"
		}
		l.fault(start, "%q does not name %s%s", word, what, hint)
	}
	return word
}

func isNameRune(r rune) bool {
	return r == '-' || r == '_' || r == '.' || unicode.IsLetter(r) || unicode.IsDigit(r)
}

func (l *line) keyword(want string) {
	l.skip()
	start := l.at
	if word := l.word(want); word != want {
		l.fault(start, "expected %s, got %q", want, word)
	}
}

// optional consumes the keyword if it comes next.
func (l *line) optional(want string) bool {
	start := l.at
	l.skip()
	end := l.at
	for end < len(l.text) && !strings.ContainsRune(" \t#\"", rune(l.text[end])) {
		end++
	}
	if l.text[l.at:end] != want {
		l.at = start
		return false
	}
	l.at = end
	return true
}

func (l *line) optionalCaller() {
	if l.optional("caller") {
		l.rule.caller = l.name("a caller", true)
	}
}

func (l *line) class() currantloom.RequestClass {
	l.skip()
	start := l.at
	switch word := l.word("short or long"); word {
	case "short":
		return currantloom.ShortRequest
	case "long":
		return currantloom.LongRequest
	default:
		l.fault(start, "expected short or long, got %q", word)
		return currantloom.ShortRequest
	}
}

func (l *line) duration(least time.Duration) time.Duration {
	l.skip()
	start := l.at
	word := l.word("a duration")
	if l.failed {
		return 0
	}
	d, err := ParseDuration(word)
	if err != nil {
		l.fault(start, "%s", currantloom.MessageOf(err))
	} else if d < least {
		l.fault(start, "%q is less than %s", word, formatDuration(least))
	}
	return d
}

// number1 parses a whole number from 1 to most.
func (l *line) number1(what string, most int) int {
	l.skip()
	start := l.at
	word := l.word("a number")
	n, err := strconv.Atoi(word)
	if err != nil || n < 1 || n > most {
		l.fault(start, "%s is %q, want a whole number from 1 to %d", what, word, most)
	}
	return n
}

// quoted parses the prefix of a statement; \" and \\ stand for a quote and a backslash.
func (l *line) quoted() string {
	l.skip()
	start := l.at
	if l.at == len(l.text) || l.text[l.at] != '"' {
		l.fault(start, "expected the start of a statement in double quotes")
		return ""
	}
	var b strings.Builder
	for l.at++; l.at < len(l.text); l.at++ {
		c := l.text[l.at]
		if c == '"' {
			l.at++
			if foldPrefix(b.String()) == "" {
				l.fault(start, "the start of the statement is empty")
			}
			return b.String()
		}
		if c == '\\' {
			l.at++
			if l.at == len(l.text) || l.text[l.at] != '"' && l.text[l.at] != '\\' {
				l.fault(l.at-1, `a backslash stands before " or \ only`)
				return ""
			}
			c = l.text[l.at]
		}
		b.WriteByte(c)
	}
	l.fault(start, "the quote is not closed on this line")
	return ""
}
