package loomentry

import "strings"

// tokenKind distinguishes words, literals and punctuation.
type tokenKind uint8

const (
	tokenWord tokenKind = iota
	tokenQuoted
	tokenString
	tokenNumber
	tokenSymbol
)

// token is a lexical token of a statement. Words are in lower case; quoted identifiers and strings are unquoted.
type token struct {
	kind tokenKind
	text string
}

func (t token) is(word string) bool { return t.kind == tokenWord && t.text == word }

func (t token) isSymbol(symbol string) bool { return t.kind == tokenSymbol && t.text == symbol }

// scanner splits the text of a query into tokens. Each character that starts no other token becomes a symbol.
type scanner struct {
	text string
	pos  int
}

// splitStatements returns the tokens of each non-empty statement of a query.
func splitStatements(text string) [][]token {
	s := scanner{text: text}
	var statements [][]token
	var current []token
	for {
		t, ok := s.next()
		if !ok {
			break
		}
		if t.isSymbol(";") {
			if len(current) > 0 {
				statements = append(statements, current)
			}
			current = nil
			continue
		}
		current = append(current, t)
	}
	if len(current) > 0 {
		statements = append(statements, current)
	}
	return statements
}

// statementTexts returns the text of each non-empty statement of a query, without leading space and comments.
func statementTexts(text string) []string {
	s := scanner{text: text}
	var texts []string
	start, empty := 0, true
	for {
		s.skipSpace()
		pos := s.pos
		t, ok := s.next()
		switch {
		case ok && !t.isSymbol(";"):
			if empty {
				start, empty = pos, false
			}
			continue
		case !empty:
			texts = append(texts, text[start:pos])
			empty = true
		}
		if !ok {
			return texts
		}
	}
}

func (s *scanner) peek() byte {
	if s.pos+1 < len(s.text) {
		return s.text[s.pos+1]
	}
	return 0
}

// next returns the next token, false at the end of the text.
func (s *scanner) next() (token, bool) {
	s.skipSpace()
	if s.pos >= len(s.text) {
		return token{}, false
	}
	c := s.text[s.pos]
	switch {
	case c == '\'':
		return token{tokenString, s.quoted('\'', false)}, true
	case (c == 'e' || c == 'E') && s.peek() == '\'':
		s.pos++
		return token{tokenString, s.quoted('\'', true)}, true
	case c == '"':
		return token{tokenQuoted, s.quoted('"', false)}, true
	case c == '$':
		if text, ok := s.dollarQuoted(); ok {
			return token{tokenString, text}, true
		}
	case isWordStart(c):
		return token{tokenWord, strings.ToLower(s.takeWhile(isWordPart))}, true
	case isDigit(c):
		return token{tokenNumber, s.takeWhile(isNumberPart)}, true
	}
	s.pos++
	return token{tokenSymbol, string(c)}, true
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }
func isWordStart(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_' || c >= 0x80
}
func isWordPart(c byte) bool   { return isWordStart(c) || isDigit(c) || c == '$' }
func isNumberPart(c byte) bool { return isDigit(c) || c == '.' }

func (s *scanner) takeWhile(match func(byte) bool) string {
	start := s.pos
	for s.pos < len(s.text) && match(s.text[s.pos]) {
		s.pos++
	}
	return s.text[start:s.pos]
}

// skipSpace skips white space and comments; block comments nest.
func (s *scanner) skipSpace() {
	for s.pos < len(s.text) {
		switch c := s.text[s.pos]; {
		case c == ' ' || c == '\t' || c == '\n' || c == '\r' || c == '\f' || c == '\v':
			s.pos++
		case c == '-' && s.peek() == '-':
			end := strings.IndexAny(s.text[s.pos:], "\r\n")
			if end < 0 {
				end = len(s.text) - s.pos
			}
			s.pos += end
		case c == '/' && s.peek() == '*':
			s.skipBlockComment()
		default:
			return
		}
	}
}

func (s *scanner) skipBlockComment() {
	depth := 0
	for s.pos < len(s.text) {
		switch {
		case s.text[s.pos] == '/' && s.peek() == '*':
			depth++
			s.pos += 2
		case s.text[s.pos] == '*' && s.peek() == '/':
			depth--
			s.pos += 2
		default:
			s.pos++
		}
		if depth == 0 {
			return
		}
	}
}

// quoted reads a quoted literal or identifier; a doubled quote stands for one quote.
func (s *scanner) quoted(quote byte, escapes bool) string {
	var b strings.Builder
	s.pos++
	for s.pos < len(s.text) {
		c := s.text[s.pos]
		switch {
		case escapes && c == '\\' && s.pos+1 < len(s.text):
			s.pos++
			b.WriteByte(s.text[s.pos])
		case c == quote && s.peek() == quote:
			s.pos++
			b.WriteByte(c)
		case c == quote:
			s.pos++
			return b.String()
		default:
			b.WriteByte(c)
		}
		s.pos++
	}
	return b.String()
}

// dollarQuoted reads a string of the form $tag$...$tag$. It reports false for a parameter such as $1.
func (s *scanner) dollarQuoted() (string, bool) {
	rest := s.text[s.pos+1:]
	end := strings.IndexByte(rest, '$')
	if end < 0 || end > 0 && !isWordStart(rest[0]) {
		return "", false
	}
	for i := range end {
		if !isWordStart(rest[i]) && !isDigit(rest[i]) {
			return "", false
		}
	}
	tag := s.text[s.pos : s.pos+end+2]
	body := s.text[s.pos+len(tag):]
	length := strings.Index(body, tag)
	if length < 0 {
		s.pos = len(s.text)
		return body, true
	}
	s.pos += 2*len(tag) + length
	return body[:length], true
}
