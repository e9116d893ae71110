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

// parser collects the rules and the errors of one file.
type parser struct {
	file   string
	rules  []rule
	errors currantloom.FileErrors
}

// ParseFile parses a rules file. The file name is used in error messages. If names is not nil, the rules may use only
// these names. The error is a currantloom.FileErrors with all errors in the text.
func ParseFile(name, text string, names *KnownNames) (*Rules, error) {
	p := &parser{file: name}
	if !p.checkEncoding(text) {
		return nil, p.errors
	}
	for i, lineText := range strings.Split(text, "\n") {
		line := &lineParser{parser: p, number: i + 1, text: lineText}
		line.parse()
	}
	p.checkRules(names)
	if len(p.errors) > 0 {
		sortErrors(p.errors)
		return nil, p.errors
	}
	return newRules(p.rules), nil
}

func (p *parser) errorf(line, column int, format string, args ...any) {
	p.errors = append(p.errors, currantloom.FileError{
		File: p.file, Line: line, Column: column, Message: fmt.Sprintf(format, args...),
	})
}

// checkEncoding reports a text that is too large or not encoded as required. Such a text is not parsed further.
func (p *parser) checkEncoding(text string) bool {
	if len(text) > MaxSize {
		p.errorf(1, 1, "the file has %d bytes; the store accepts at most %d", len(text), MaxSize)
		return false
	}
	if strings.HasPrefix(text, "\ufeff") {
		p.errorf(1, 1, "the file starts with a byte-order mark; save it as UTF-8 without one")
	}
	for i, lineText := range strings.Split(text, "\n") {
		if offset := strings.IndexByte(lineText, '\r'); offset >= 0 {
			p.errorf(i+1, utf8.RuneCountInString(lineText[:offset])+1, "carriage return; save the file with LF line ends")
		}
		if offset := invalidUTF8Offset(lineText); offset >= 0 {
			p.errorf(i+1, utf8.RuneCountInString(lineText[:offset])+1, "invalid UTF-8")
		}
	}
	return len(p.errors) == 0
}

func invalidUTF8Offset(s string) int {
	for i, char := range s {
		if char == utf8.RuneError {
			if _, size := utf8.DecodeRuneInString(s[i:]); size == 1 {
				return i
			}
		}
	}
	return -1
}

// lineParser parses one line from left to right. Only the first error of a line is reported.
type lineParser struct {
	parser *parser
	number int
	text   string
	offset int
	rule   rule
	failed bool
}

func (l *lineParser) errorf(offset int, format string, args ...any) {
	if l.failed {
		return
	}
	l.failed = true
	l.parser.errorf(l.number, utf8.RuneCountInString(l.text[:offset])+1, format, args...)
}

func (l *lineParser) parse() {
	l.skipBlanks()
	if l.offset == len(l.text) || l.text[l.offset] == '#' {
		return
	}
	l.rule.line = l.number
	start := l.offset
	word := l.word("a rule")
	l.rule.kind = ruleKindCount
	for k, name := range kindNames {
		if name == word {
			l.rule.kind = ruleKind(k)
		}
	}
	if l.rule.kind == ruleKindCount {
		l.errorf(start, "unknown rule %q; rules are %s", word, strings.Join(kindNames[:], ", "))
		return
	}
	l.parseArguments()
	l.parseComment()
	if !l.failed {
		l.parser.rules = append(l.parser.rules, l.rule)
	}
}

func (l *lineParser) parseArguments() {
	r := &l.rule
	if r.kind == kindLeave {
		r.upstream = l.name("a server", false)
		return
	}
	r.database = l.name("a database", r.kind != kindPrimary)
	switch r.kind {
	case kindRead:
		l.optionalOrganisation()
		l.expectKeyword("max-age")
		r.duration = l.duration(time.Millisecond)
	case kindRequireRequestID:
		r.prefix = l.quotedPrefix()
	case kindClass:
		r.class = l.class()
		r.prefix = l.quotedPrefix()
	case kindShare:
		l.expectKeyword("caller")
		r.organisation = l.name("a caller", true)
		l.expectKeyword("weight")
		r.weight = l.positiveNumber("weight", 1000)
		if l.optionalKeyword("max-connections") {
			r.connections = l.positiveNumber("max-connections", 10000)
		}
	case kindDeadline:
		l.optionalOrganisation()
		r.class = l.class()
		r.duration = l.duration(time.Millisecond)
	case kindKeepRequestIDs:
		r.duration = l.duration(time.Minute)
	case kindPrimary:
		r.upstream = l.name("a server", false)
	}
}

// parseComment parses the comment at the end of a rule, which must contain a letter.
func (l *lineParser) parseComment() {
	l.skipBlanks()
	if l.failed {
		return
	}
	if l.offset == len(l.text) {
		l.errorf(l.offset, "the rule has no comment that names who asked for it")
		return
	}
	if l.text[l.offset] != '#' {
		l.errorf(l.offset, "unexpected %q after the rule", l.text[l.offset:])
		return
	}
	l.rule.comment = strings.TrimSpace(strings.TrimLeft(l.text[l.offset:], "#"))
	if !strings.ContainsFunc(l.rule.comment, unicode.IsLetter) {
		l.errorf(l.offset, "the comment does not name who asked for the rule")
	}
}

func (l *lineParser) skipBlanks() {
	for l.offset < len(l.text) && (l.text[l.offset] == ' ' || l.text[l.offset] == '\t') {
		l.offset++
	}
}

// word returns the next word. It reports an error and returns an empty string if there is none.
func (l *lineParser) word(description string) string {
	l.skipBlanks()
	start := l.offset
	for l.offset < len(l.text) && !strings.ContainsRune(" \t#\"", rune(l.text[l.offset])) {
		l.offset++
	}
	if l.offset == start {
		l.errorf(start, "expected %s", description)
	}
	return l.text[start:l.offset]
}

// name parses a name. If pattern is true, the name may end in "*".
func (l *lineParser) name(description string, pattern bool) string {
	l.skipBlanks()
	start := l.offset
	word := l.word(description)
	name := word
	if pattern {
		name = strings.TrimSuffix(word, "*")
	}
	if strings.ContainsFunc(name, func(r rune) bool { return !isNameRune(r) }) {
		hint := ""
		if strings.Contains(word, "*") {
			hint = "; * may only end the name of a database or caller, and not in a rule primary"
		}
		l.errorf(start, "%q does not name %s%s", word, description, hint)
	}
	return word
}

func isNameRune(r rune) bool {
	return r == '-' || r == '_' || r == '.' || unicode.IsLetter(r) || unicode.IsDigit(r)
}

func (l *lineParser) expectKeyword(want string) {
	l.skipBlanks()
	start := l.offset
	if word := l.word(want); word != want {
		l.errorf(start, "expected %s, got %q", want, word)
	}
}

// optionalKeyword consumes the next word if it is the keyword, and reports whether it did.
func (l *lineParser) optionalKeyword(want string) bool {
	start := l.offset
	l.skipBlanks()
	end := l.offset
	for end < len(l.text) && !strings.ContainsRune(" \t#\"", rune(l.text[end])) {
		end++
	}
	if l.text[l.offset:end] != want {
		l.offset = start
		return false
	}
	l.offset = end
	return true
}

func (l *lineParser) optionalOrganisation() {
	if l.optionalKeyword("caller") {
		l.rule.organisation = l.name("a caller", true)
	}
}

func (l *lineParser) class() currantloom.RequestClass {
	l.skipBlanks()
	start := l.offset
	switch word := l.word("short or long"); word {
	case "short":
		return currantloom.ShortRequest
	case "long":
		return currantloom.LongRequest
	default:
		l.errorf(start, "expected short or long, got %q", word)
		return currantloom.ShortRequest
	}
}

func (l *lineParser) duration(minimum time.Duration) time.Duration {
	l.skipBlanks()
	start := l.offset
	word := l.word("a duration")
	if l.failed {
		return 0
	}
	d, err := ParseDuration(word)
	if err != nil {
		l.errorf(start, "%s", currantloom.MessageOf(err))
	} else if d < minimum {
		l.errorf(start, "%q is less than %s", word, formatDuration(minimum))
	}
	return d
}

// positiveNumber parses a whole number from 1 to maximum.
func (l *lineParser) positiveNumber(description string, maximum int) int {
	l.skipBlanks()
	start := l.offset
	word := l.word("a number")
	n, err := strconv.Atoi(word)
	if err != nil || n < 1 || n > maximum {
		l.errorf(start, "%s is %q, want a whole number from 1 to %d", description, word, maximum)
	}
	return n
}

// quotedPrefix parses a statement prefix in double quotes, with the escapes \" and \\ for a quote and a backslash.
func (l *lineParser) quotedPrefix() string {
	l.skipBlanks()
	start := l.offset
	if l.offset == len(l.text) || l.text[l.offset] != '"' {
		l.errorf(start, "expected the start of a statement in double quotes")
		return ""
	}
	var b strings.Builder
	for l.offset++; l.offset < len(l.text); l.offset++ {
		c := l.text[l.offset]
		if c == '"' {
			l.offset++
			if canonicalPrefix(b.String()) == "" {
				l.errorf(start, "the start of the statement is empty")
			}
			return b.String()
		}
		if c == '\\' {
			l.offset++
			if l.offset == len(l.text) || l.text[l.offset] != '"' && l.text[l.offset] != '\\' {
				l.errorf(l.offset-1, `a backslash stands before " or \ only`)
				return ""
			}
			c = l.text[l.offset]
		}
		b.WriteByte(c)
	}
	l.errorf(start, "the quote is not closed on this line")
	return ""
}
