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

// expression is a literal or a parameter ($n, n from 1).
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

// assignment sets a column to a value, or to base plus or minus a value.
type assignment struct {
	column, base string
	minus        bool
	value        expression
}

// statement is a parsed statement of the dialect. Which fields are set depends on the kind.
type statement struct {
	kind       statementKind
	table      string
	columns    []string
	count      bool
	rows       [][]expression
	where      []condition
	set        []assignment
	orderBy    string
	descending bool
	limit      int
	forUpdate  bool
	readOnly   bool
	// function and arguments are of SELECT function(...), SELECT * FROM function(...) and CALL.
	function  string
	arguments []expression
	literal   *expression
	name      string
	value     string
	types     []string
	key       []string
	exists    bool
}

// token is a lexical element; kind is 'i' word, 'n' number, 's' string, 'p' parameter or the symbol itself.
type token struct {
	kind byte
	text string
}

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
					return nil, newError("42601", "unterminated string")
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

// parser is a recursive descent parser; the first error ends it.
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
		if p.symbol(';') {
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

func (p *parser) fail() {
	if p.err != nil {
		return
	}
	near := "end of statement"
	if len(p.tokens) > 0 {
		near = p.tokens[0].text
	}
	p.err = newError("42601", "syntax error at or near %q", near)
	p.tokens = nil
}

func (p *parser) next(kind byte) string {
	if len(p.tokens) == 0 || p.tokens[0].kind != kind {
		p.fail()
		return ""
	}
	text := p.tokens[0].text
	p.tokens = p.tokens[1:]
	return text
}

func (p *parser) symbol(kind byte) bool {
	if len(p.tokens) == 0 || p.tokens[0].kind != kind {
		return false
	}
	p.tokens = p.tokens[1:]
	return true
}

// word consumes the given keywords if they all follow.
func (p *parser) word(words ...string) bool {
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

func (p *parser) expect(word string) {
	if !p.word(word) {
		p.fail()
	}
}

// list parses elements that are separated by commas, up to and including the closing parenthesis.
func (p *parser) list(element func()) {
	for p.err == nil {
		element()
		if !p.symbol(',') {
			break
		}
	}
	p.next(')')
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
	case p.word("select"):
		s.kind = kindSelect
		p.selection(s)
	case p.word("insert", "into"):
		s.kind = kindInsert
		p.insert(s)
	case p.word("update"):
		s.kind, s.table = kindUpdate, p.next('i')
		p.expect("set")
		for ok := true; ok && p.err == nil; ok = p.symbol(',') {
			p.assignment(s)
		}
		p.where(s)
	case p.word("delete", "from"):
		s.kind, s.table = kindDelete, p.next('i')
		p.where(s)
	case p.word("create", "table"):
		s.kind = kindCreate
		p.create(s)
	case p.word("call"):
		s.kind, s.function = kindCall, p.next('i')
		p.arguments(s)
	default:
		p.session(s)
	}
	return s
}

// session parses the statements that concern the session and its transaction.
func (p *parser) session(s *statement) {
	switch {
	case p.word("begin"), p.word("start", "transaction"):
		s.kind = kindBegin
		_ = p.word("transaction") || p.word("work")
		for p.err == nil && len(p.tokens) > 0 && p.tokens[0].kind != ';' {
			s.readOnly = s.readOnly || p.word("read", "only")
			if len(p.tokens) > 0 && p.tokens[0].kind != ';' {
				p.tokens = p.tokens[1:]
			}
		}
	case p.word("commit"), p.word("end"):
		s.kind = kindCommit
	case p.word("rollback"), p.word("abort"):
		s.kind = kindRollback
	case p.word("show"):
		s.kind, s.name = kindShow, p.next('i')
	case p.word("set"):
		s.kind = kindSet
		_ = p.word("session") || p.word("local")
		s.name = p.next('i')
		if !p.symbol('=') {
			p.expect("to")
		}
		if len(p.tokens) == 0 {
			p.fail()
			return
		}
		s.value = p.tokens[0].text
		p.tokens = p.tokens[1:]
	default:
		p.fail()
	}
}

func (p *parser) selection(s *statement) {
	switch {
	case p.symbol('*'):
	case len(p.tokens) > 0 && p.tokens[0].kind != 'i':
		e := p.expression()
		s.literal = &e
		return
	case p.word("count") && p.symbol('('):
		s.count = true
		p.next('*')
		p.next(')')
	default:
		name := p.next('i')
		if len(p.tokens) > 0 && p.tokens[0].kind == '(' {
			s.function = name
			p.arguments(s)
			return
		}
		s.columns = append(s.columns, name)
		for p.symbol(',') {
			s.columns = append(s.columns, p.next('i'))
		}
	}
	p.expect("from")
	s.table = p.next('i')
	if len(p.tokens) > 0 && p.tokens[0].kind == '(' {
		s.function, s.table = s.table, ""
		p.arguments(s)
		return
	}
	p.where(s)
	if p.word("order", "by") {
		s.orderBy = p.next('i')
		s.descending = p.word("desc")
		_ = p.word("asc")
	}
	if p.word("limit") {
		s.limit, p.err = p.integer()
	}
	s.forUpdate = p.word("for", "update") || p.word("for", "share")
}

func (p *parser) integer() (int, error) {
	n, err := strconv.Atoi(p.next('n'))
	if err != nil {
		p.fail()
	}
	return n, p.err
}

func (p *parser) arguments(s *statement) {
	p.next('(')
	if p.symbol(')') {
		return
	}
	p.list(func() { s.arguments = append(s.arguments, p.expression()) })
}

func (p *parser) insert(s *statement) {
	s.table = p.next('i')
	if p.symbol('(') {
		p.list(func() { s.columns = append(s.columns, p.next('i')) })
	}
	p.expect("values")
	for ok := true; ok && p.err == nil; ok = p.symbol(',') {
		var row []expression
		p.next('(')
		p.list(func() { row = append(row, p.expression()) })
		s.rows = append(s.rows, row)
	}
}

func (p *parser) assignment(s *statement) {
	a := assignment{column: p.next('i')}
	p.next('=')
	if len(p.tokens) > 1 && p.tokens[0].kind == 'i' && p.tokens[0].text != "null" {
		a.base = p.next('i')
		a.minus = p.symbol('-')
		if !a.minus && len(p.tokens) > 0 && p.tokens[0].kind != 'n' {
			p.next('+')
		}
	}
	a.value = p.expression()
	s.set = append(s.set, a)
}

func (p *parser) where(s *statement) {
	if !p.word("where") {
		return
	}
	for ok := true; ok && p.err == nil; ok = p.word("and") {
		c := condition{column: p.next('i')}
		if len(p.tokens) == 0 || !strings.ContainsRune("=<>o", rune(p.tokens[0].kind)) {
			p.fail()
			return
		}
		c.operator = p.tokens[0].text
		p.tokens = p.tokens[1:]
		c.value = p.expression()
		s.where = append(s.where, c)
	}
}

func (p *parser) create(s *statement) {
	s.exists = p.word("if", "not", "exists")
	s.table = p.next('i')
	p.next('(')
	p.list(func() {
		if p.word("primary", "key") {
			p.next('(')
			p.list(func() { s.key = append(s.key, p.next('i')) })
			return
		}
		name := p.next('i')
		s.columns = append(s.columns, name)
		s.types = append(s.types, p.next('i'))
		for p.err == nil && len(p.tokens) > 0 && p.tokens[0].kind == 'i' {
			if p.word("primary", "key") {
				s.key = append(s.key, name)
				continue
			}
			p.next('i')
		}
	})
}
