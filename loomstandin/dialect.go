package loomstandin

import (
	"strconv"
	"strings"
)

// statementKind is the kind of a parsed statement.
type statementKind uint8

const (
	kindEmpty statementKind = iota
	kindSelect
	kindInsert
	kindUpdate
	kindDelete
	kindCreate
	kindCall
	kindBegin
	kindCommit
	kindRollback
	kindSet
	kindShow
)

// expression is a literal, or a parameter $n with n >= 1.
type expression struct {
	parameter int
	text      string
	null      bool
	number    bool
}

// condition compares a column with a value.
type condition struct {
	column, operator string
	value            expression
}

// assignment sets a column to a value, or to baseColumn plus or minus a value.
type assignment struct {
	column, baseColumn string
	subtract           bool
	value              expression
}

// statement is a parsed statement of the supported SQL dialect. The kind determines which fields are set.
type statement struct {
	kind        statementKind
	table       string
	columns     []string
	countRows   bool
	rows        [][]expression
	conditions  []condition
	assignments []assignment
	orderBy     string
	descending  bool
	limit       int
	forUpdate   bool
	readOnly    bool
	// function and arguments are of SELECT function(...), SELECT * FROM function(...) and CALL.
	function       string
	arguments      []expression
	literal        *expression
	parameterName  string
	parameterValue string
	columnTypes    []string
	keyColumns     []string
	ifNotExists    bool
}

// token is a lexical element. Its kind is 'i' for a word, 'n' for a number, 's' for a string, 'p' for a parameter, 'o'
// for an operator of two characters, and the character itself for any other symbol.
type token struct {
	kind byte
	text string
}

// scan splits an SQL text into tokens.
func scan(sql string) ([]token, error) {
	var tokens []token
	for i := 0; i < len(sql); {
		c := sql[i]
		switch {
		case c == ' ' || c == '\n' || c == '\t' || c == '\r':
			i++
		case c == '\'':
			var b strings.Builder
			for i++; ; i++ {
				if i >= len(sql) {
					return nil, newSQLError("42601", "unterminated string")
				}
				if sql[i] == '\'' {
					if i+1 >= len(sql) || sql[i+1] != '\'' {
						break
					}
					i++
				}
				b.WriteByte(sql[i])
			}
			i++
			tokens = append(tokens, token{'s', b.String()})
		case isWordByte(c) || c == '$' || c == '-' && i+1 < len(sql) && isDigit(sql[i+1]):
			start := i
			i++
			for i < len(sql) && (isWordByte(sql[i]) || sql[i] == '.') {
				i++
			}
			tokens = append(tokens, wordToken(sql[start:i]))
		case strings.ContainsRune("<>!", rune(c)) && i+1 < len(sql) && strings.ContainsRune("=>", rune(sql[i+1])):
			tokens = append(tokens, token{'o', sql[i : i+2]})
			i += 2
		default:
			tokens = append(tokens, token{c, string(c)})
			i++
		}
	}
	return tokens, nil
}

func wordToken(word string) token {
	switch {
	case word[0] == '$':
		return token{'p', word[1:]}
	case isDigit(word[0]) || word[0] == '-':
		return token{'n', word}
	default:
		return token{'i', strings.ToLower(word)}
	}
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isWordByte(c byte) bool {
	return c == '_' || isDigit(c) || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= 0x80
}

// parser is a recursive descent parser. Parsing ends at the first error.
type parser struct {
	tokens []token
	err    error
}

// parse parses the statements of a simple query; an empty one yields a statement of kindEmpty.
func parse(sql string) ([]*statement, error) {
	tokens, err := scan(sql)
	if err != nil {
		return nil, err
	}
	p := &parser{tokens: tokens}
	var statements []*statement
	for len(p.tokens) > 0 {
		if p.acceptSymbol(';') {
			continue
		}
		s := p.statement()
		if p.err == nil && len(p.tokens) > 0 && p.tokens[0].kind != ';' {
			p.fail()
		}
		if p.err != nil {
			return nil, p.err
		}
		statements = append(statements, s)
	}
	if len(statements) == 0 {
		statements = append(statements, &statement{})
	}
	return statements, nil
}

// fail records a syntax error at the next token.
func (p *parser) fail() {
	if p.err != nil {
		return
	}
	near := "end of statement"
	if len(p.tokens) > 0 {
		near = p.tokens[0].text
	}
	p.err = newSQLError("42601", "syntax error at or near %q", near)
	p.tokens = nil
}

// expectToken consumes a token of the kind and returns its text.
func (p *parser) expectToken(kind byte) string {
	if len(p.tokens) == 0 || p.tokens[0].kind != kind {
		p.fail()
		return ""
	}
	text := p.tokens[0].text
	p.tokens = p.tokens[1:]
	return text
}

// acceptSymbol consumes the next token if it has the kind.
func (p *parser) acceptSymbol(kind byte) bool {
	if len(p.tokens) == 0 || p.tokens[0].kind != kind {
		return false
	}
	p.tokens = p.tokens[1:]
	return true
}

// acceptWords consumes the given keywords if all of them follow.
func (p *parser) acceptWords(words ...string) bool {
	if len(p.tokens) < len(words) {
		return false
	}
	for i, w := range words {
		if p.tokens[i].kind != 'i' || p.tokens[i].text != w {
			return false
		}
	}
	p.tokens = p.tokens[len(words):]
	return true
}

func (p *parser) expectWord(word string) {
	if !p.acceptWords(word) {
		p.fail()
	}
}

// commaList parses elements separated by commas, up to and including the closing parenthesis.
func (p *parser) commaList(element func()) {
	for p.err == nil {
		element()
		if !p.acceptSymbol(',') {
			break
		}
	}
	p.expectToken(')')
}

func (p *parser) expression() expression {
	if len(p.tokens) == 0 {
		p.fail()
		return expression{}
	}
	t := p.tokens[0]
	p.tokens = p.tokens[1:]
	switch {
	case t.kind == 'p':
		n, err := strconv.Atoi(t.text)
		if err != nil || n < 1 {
			p.fail()
		}
		return expression{parameter: n}
	case t.kind == 'n':
		return expression{text: t.text, number: true}
	case t.kind == 's':
		return expression{text: t.text}
	case t.kind == 'i' && t.text == "null":
		return expression{null: true}
	case t.kind == 'i' && (t.text == "true" || t.text == "false"):
		return expression{text: t.text}
	}
	p.tokens = append([]token{t}, p.tokens...)
	p.fail()
	return expression{}
}

func (p *parser) statement() *statement {
	s := &statement{limit: -1}
	switch {
	case p.acceptWords("select"):
		s.kind = kindSelect
		p.selectStatement(s)
	case p.acceptWords("insert", "into"):
		s.kind = kindInsert
		p.insertStatement(s)
	case p.acceptWords("update"):
		s.kind, s.table = kindUpdate, p.expectToken('i')
		p.expectWord("set")
		for ok := true; ok && p.err == nil; ok = p.acceptSymbol(',') {
			p.assignment(s)
		}
		p.whereClause(s)
	case p.acceptWords("delete", "from"):
		s.kind, s.table = kindDelete, p.expectToken('i')
		p.whereClause(s)
	case p.acceptWords("create", "table"):
		s.kind = kindCreate
		p.createTable(s)
	case p.acceptWords("call"):
		s.kind, s.function = kindCall, p.expectToken('i')
		p.arguments(s)
	default:
		p.sessionStatement(s)
	}
	return s
}

// sessionStatement parses the statements that control the session and its transaction.
func (p *parser) sessionStatement(s *statement) {
	switch {
	case p.acceptWords("begin"), p.acceptWords("start", "transaction"):
		s.kind = kindBegin
		_ = p.acceptWords("transaction") || p.acceptWords("work")
		for p.err == nil && len(p.tokens) > 0 && p.tokens[0].kind != ';' {
			s.readOnly = s.readOnly || p.acceptWords("read", "only")
			if len(p.tokens) > 0 && p.tokens[0].kind != ';' {
				p.tokens = p.tokens[1:]
			}
		}
	case p.acceptWords("commit"), p.acceptWords("end"):
		s.kind = kindCommit
	case p.acceptWords("rollback"), p.acceptWords("abort"):
		s.kind = kindRollback
	case p.acceptWords("show"):
		s.kind, s.parameterName = kindShow, p.expectToken('i')
	case p.acceptWords("set"):
		s.kind = kindSet
		_ = p.acceptWords("session") || p.acceptWords("local")
		s.parameterName = p.expectToken('i')
		if !p.acceptSymbol('=') {
			p.expectWord("to")
		}
		if len(p.tokens) == 0 {
			p.fail()
			return
		}
		s.parameterValue = p.tokens[0].text
		p.tokens = p.tokens[1:]
	default:
		p.fail()
	}
}

func (p *parser) selectStatement(s *statement) {
	switch {
	case p.acceptSymbol('*'):
	case len(p.tokens) > 0 && p.tokens[0].kind != 'i':
		e := p.expression()
		s.literal = &e
		return
	case p.acceptWords("count") && p.acceptSymbol('('):
		s.countRows = true
		p.expectToken('*')
		p.expectToken(')')
	default:
		name := p.expectToken('i')
		if len(p.tokens) > 0 && p.tokens[0].kind == '(' {
			s.function = name
			p.arguments(s)
			return
		}
		s.columns = append(s.columns, name)
		for p.acceptSymbol(',') {
			s.columns = append(s.columns, p.expectToken('i'))
		}
	}
	p.expectWord("from")
	s.table = p.expectToken('i')
	if len(p.tokens) > 0 && p.tokens[0].kind == '(' {
		s.function, s.table = s.table, ""
		p.arguments(s)
		return
	}
	p.whereClause(s)
	if p.acceptWords("order", "by") {
		s.orderBy = p.expectToken('i')
		s.descending = p.acceptWords("desc")
		_ = p.acceptWords("asc")
	}
	if p.acceptWords("limit") {
		s.limit, p.err = p.integer()
	}
	s.forUpdate = p.acceptWords("for", "update") || p.acceptWords("for", "share")
}

func (p *parser) integer() (int, error) {
	n, err := strconv.Atoi(p.expectToken('n'))
	if err != nil {
		p.fail()
	}
	return n, p.err
}

func (p *parser) arguments(s *statement) {
	p.expectToken('(')
	if p.acceptSymbol(')') {
		return
	}
	p.commaList(func() { s.arguments = append(s.arguments, p.expression()) })
}

func (p *parser) insertStatement(s *statement) {
	s.table = p.expectToken('i')
	if p.acceptSymbol('(') {
		p.commaList(func() { s.columns = append(s.columns, p.expectToken('i')) })
	}
	p.expectWord("values")
	for ok := true; ok && p.err == nil; ok = p.acceptSymbol(',') {
		var row []expression
		p.expectToken('(')
		p.commaList(func() { row = append(row, p.expression()) })
		s.rows = append(s.rows, row)
	}
}

func (p *parser) assignment(s *statement) {
	a := assignment{column: p.expectToken('i')}
	p.expectToken('=')
	if len(p.tokens) > 1 && p.tokens[0].kind == 'i' && p.tokens[0].text != "null" {
		a.baseColumn = p.expectToken('i')
		a.subtract = p.acceptSymbol('-')
		if !a.subtract && len(p.tokens) > 0 && p.tokens[0].kind != 'n' {
			p.expectToken('+')
		}
	}
	a.value = p.expression()
	s.assignments = append(s.assignments, a)
}

func (p *parser) whereClause(s *statement) {
	if !p.acceptWords("where") {
		return
	}
	for ok := true; ok && p.err == nil; ok = p.acceptWords("and") {
		c := condition{column: p.expectToken('i')}
		if len(p.tokens) == 0 || !strings.ContainsRune("=<>o", rune(p.tokens[0].kind)) {
			p.fail()
			return
		}
		c.operator = p.tokens[0].text
		p.tokens = p.tokens[1:]
		c.value = p.expression()
		s.conditions = append(s.conditions, c)
	}
}

func (p *parser) createTable(s *statement) {
	s.ifNotExists = p.acceptWords("if", "not", "exists")
	s.table = p.expectToken('i')
	p.expectToken('(')
	p.commaList(func() {
		if p.acceptWords("primary", "key") {
			p.expectToken('(')
			p.commaList(func() { s.keyColumns = append(s.keyColumns, p.expectToken('i')) })
			return
		}
		name := p.expectToken('i')
		s.columns = append(s.columns, name)
		s.columnTypes = append(s.columnTypes, p.expectToken('i'))
		for p.err == nil && len(p.tokens) > 0 && p.tokens[0].kind == 'i' {
			if p.acceptWords("primary", "key") {
				s.keyColumns = append(s.keyColumns, name)
				continue
			}
			p.expectToken('i')
		}
	})
}
