package loomentry

import "strings"

// tokenKind tells words, literals and punctuation apart.
type tokenKind uint8

const (
	tokenWord tokenKind = iota
	tokenQuoted
	tokenString
	tokenNumber
	tokenSymbol
)

// token is one token of a statement. Words are in lower case; quoted identifiers and strings are without quotes.
type token struct {
	kind tokenKind
	text string
}

func (t token) is(word string) bool { return t.kind == tokenWord && t.text == word }

func (t token) isSymbol(symbol string) bool { return t.kind == tokenSymbol && t.text == symbol }

// scanner splits the text of a query into tokens. Text it does not understand becomes symbols.
type scanner struct {
	text string
	at   int
}

// splitStatements returns the tokens of each statement of a query that is not empty.
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

// statementTexts returns the text of each non-empty statement of a query, from its first token on.
func statementTexts(text string) []string {
	s := scanner{text: text}
	var texts []string
	start, empty := 0, true
	for {
		s.skipSpace()
		at := s.at
		t, ok := s.next()
		switch {
		case ok && !t.isSymbol(";"):
			if empty {
				start, empty = at, false
			}
			continue
		case !empty:
			texts = append(texts, text[start:at])
			empty = true
		}
		if !ok {
			return texts
		}
	}
}

func (s *scanner) peek() byte {
	if s.at+1 < len(s.text) {
		return s.text[s.at+1]
	}
	return 0
}

// next returns the next token.
func (s *scanner) next() (token, bool) {
	s.skipSpace()
	if s.at >= len(s.text) {
		return token{}, false
	}
	c := s.text[s.at]
	switch {
	case c == '\'':
		return token{tokenString, s.quoted('\'', false)}, true
	case (c == 'e' || c == 'E') && s.peek() == '\'':
		s.at++
		return token{tokenString, s.quoted('\'', true)}, true
	case c == '"':
		return token{tokenQuoted, s.quoted('"', false)}, true
	case c == '$':
		if text, ok := s.dollarQuoted(); ok {
			return token{tokenString, text}, true
		}
	case isWordStart(c):
		return token{tokenWord, strings.ToLower(s.while(isWordPart))}, true
	case isDigit(c):
		return token{tokenNumber, s.while(isNumberPart)}, true
	}
	s.at++
	return token{tokenSymbol, string(c)}, true
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }
func isWordStart(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_' || c >= 0x80
}
func isWordPart(c byte) bool   { return isWordStart(c) || isDigit(c) || c == '$' }
func isNumberPart(c byte) bool { return isDigit(c) || c == '.' }

func (s *scanner) while(match func(byte) bool) string {
	start := s.at
	for s.at < len(s.text) && match(s.text[s.at]) {
		s.at++
	}
	return s.text[start:s.at]
}

// skipSpace skips white space and comments; block comments nest.
func (s *scanner) skipSpace() {
	for s.at < len(s.text) {
		switch c := s.text[s.at]; {
		case c == ' ' || c == '\t' || c == '\n' || c == '\r' || c == '\f' || c == '\v':
			s.at++
		case c == '-' && s.peek() == '-':
			end := strings.IndexAny(s.text[s.at:], "\r\n")
			if end < 0 {
				end = len(s.text) - s.at
			}
			s.at += end
		case c == '/' && s.peek() == '*':
			s.skipBlockComment()
		default:
			return
		}
	}
}

func (s *scanner) skipBlockComment() {
	depth := 0
	for s.at < len(s.text) {
		switch {
		case s.text[s.at] == '/' && s.peek() == '*':
			depth++
			s.at += 2
		case s.text[s.at] == '*' && s.peek() == '/':
			depth--
			s.at += 2
		default:
			s.at++
		}
		if depth == 0 {
			return
		}
	}
}

// quoted reads a literal or identifier; a doubled quote stands for one.
func (s *scanner) quoted(quote byte, escapes bool) string {
	var b strings.Builder
	s.at++
	for s.at < len(s.text) {
		c := s.text[s.at]
		switch {
		case escapes && c == '\\' && s.at+1 < len(s.text):
			s.at++
			b.WriteByte(s.text[s.at])
		case c == quote && s.peek() == quote:
			s.at++
			b.WriteByte(c)
		case c == quote:
			s.at++
			return b.String()
		default:
			b.WriteByte(c)
		}
		s.at++
	}
	return b.String()
}

// dollarQuoted reads $tag$...$tag$. A parameter such as $1 is none.
func (s *scanner) dollarQuoted() (string, bool) {
	rest := s.text[s.at+1:]
	end := strings.IndexByte(rest, '$')
	if end < 0 || end > 0 && !isWordStart(rest[0]) {
		return "", false
	}
	for i := range end {
		if !isWordStart(rest[i]) && !isDigit(rest[i]) {
			return "", false
		}
	}
	tag := s.text[s.at : s.at+end+2]
	body := s.text[s.at+len(tag):]
	length := strings.Index(body, tag)
	if length < 0 {
		s.at = len(s.text)
		return body, true
	}
	s.at += 2*len(tag) + length
	return body[:length], true
}
