package loomentry

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"currantloom.example/currantloom"
)

// textOID is the type of the value that SHOW returns.
const textOID = 25

// localStatement is a statement that the session answers without a database server.
type localStatement struct {
	// verb is the statement's first keyword.
	verb string
	// name is the parameter of SET, SHOW and RESET; it is empty for RESET ALL.
	name, value string
}

// classifyLocal recognises SET, SHOW, RESET, DISCARD and DEALLOCATE.
func classifyLocal(tokens []token) class {
	verb, rest := tokens[0].text, tokens[1:]
	if len(rest) == 0 {
		return class{}
	}
	switch verb {
	case "discard", "deallocate":
		if len(rest) == 1 && rest[0].is("all") {
			return class{local: &localStatement{verb: verb}}
		}
		return refused(strings.ToUpper(verb) + " of anything but ALL")
	case "set":
		return classifySet(rest)
	case "reset":
		name, _ := parameterName(rest)
		if name == "all" {
			name = ""
		}
		return class{local: &localStatement{verb: verb, name: name}}
	default:
		name, _ := parameterName(rest)
		return class{kind: currantloom.ReadRequest, local: &localStatement{verb: verb, name: name}}
	}
}

func classifySet(tokens []token) class {
	switch {
	case tokens[0].is("transaction") || tokens[0].is("constraints"):
		return class{inTransaction: true}
	case tokens[0].is("local"):
		return refused("SET LOCAL")
	case hasPair(tokens, "session", "authorization"), hasPair(tokens, "session", "characteristics"), tokens[0].is("role"):
		return refused("SET SESSION AUTHORIZATION, ROLE or CHARACTERISTICS")
	case tokens[0].is("session") && len(tokens) > 1:
		tokens = tokens[1:]
	}
	local := &localStatement{verb: "set"}
	switch {
	case tokens[0].is("names"):
		local.name, tokens = "client_encoding", tokens[1:]
	case len(tokens) > 1 && hasPair(tokens[:2], "time", "zone"):
		local.name, tokens = "timezone", tokens[2:]
	default:
		local.name, tokens = parameterName(tokens)
		if len(tokens) > 0 && (tokens[0].isSymbol("=") || tokens[0].is("to")) {
			tokens = tokens[1:]
		}
	}
	for _, t := range tokens {
		local.value += t.text
	}
	if len(tokens) == 1 && tokens[0].is("default") {
		local.verb, local.value = "reset", ""
	}
	return class{local: local}
}

// parameterName reads a name with dots and returns the tokens after it.
func parameterName(tokens []token) (string, []token) {
	var name strings.Builder
	for i, t := range tokens {
		if t.kind != tokenWord && t.kind != tokenQuoted && !t.isSymbol(".") || i%2 == 1 && !t.isSymbol(".") {
			return name.String(), tokens[i:]
		}
		name.WriteString(strings.ToLower(t.text))
	}
	return name.String(), nil
}

// localOf returns the statement if the session answers it itself, nil otherwise. SHOW of a parameter that the session
// does not keep is answered by a server. The end of a transaction that was given up needs no server.
func (s *Session) localOf(c class) *localStatement {
	switch {
	case c.local != nil && (c.local.verb != "show" || isKept(c.local.name)):
		return c.local
	case c.boundary == boundaryEnd && s.isAbandoned():
		return &localStatement{verb: "rollback"}
	default:
		return nil
	}
}

// execute runs a local statement and returns the rows and the command tag.
func (l *localStatement) execute(s *Session) (tag string, err error) {
	switch l.verb {
	case "set":
		return "SET", s.parameters.set(l.name, l.value, s.database)
	case "reset":
		return "RESET", s.parameters.reset(l.name)
	case "rollback":
		s.status = currantloom.TransactionIdle
		return "ROLLBACK", nil
	case "deallocate":
		s.statements.clear()
		return "DEALLOCATE ALL", nil
	case "discard":
		s.statements.clear()
		return "DISCARD ALL", s.parameters.reset("")
	default:
		return "SHOW", nil
	}
}

// run executes the statement and sends its result.
func (l *localStatement) run(s *Session) error {
	tag, err := l.execute(s)
	if err != nil {
		return err
	}
	if l.verb == "show" {
		value := []byte(s.parameters.show(l.name))
		if err := s.writer.Send(&pgproto3.DataRow{Values: [][]byte{value}}); err != nil {
			return err
		}
	}
	for _, name := range reportedParameters {
		if l.verb == "set" && strings.EqualFold(name, l.name) {
			_ = s.writer.Send(&pgproto3.ParameterStatus{Name: name, Value: s.parameters.show(l.name)})
		}
	}
	return s.writer.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}

// describe sends the row description of the statement.
func (l *localStatement) describe(s *Session) error {
	if l.verb != "show" {
		return s.writer.Send(&pgproto3.NoData{})
	}
	return s.writer.Send(l.rowDescription())
}

func (l *localStatement) rowDescription() *pgproto3.RowDescription {
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{
		{Name: []byte(l.name), DataTypeOID: textOID, DataTypeSize: -1},
	}}
}

// runLocally answers a request that needs no server.
func (s *Session) runLocally(p *pipeline) error {
	var err error
	if p.simple {
		err = s.runLocalQuery(p.executed)
	} else {
		err = s.runSteps(p.steps)
	}
	if err != nil {
		s.refuse(err)
	}
	return s.ready()
}

func (s *Session) runLocalQuery(classes []class) error {
	for _, c := range classes {
		local := s.localOf(c)
		if local == nil {
			return unsupported("statement after the end of a failed transaction in one query is not supported")
		}
		if local.verb == "show" {
			if err := s.writer.Send(local.rowDescription()); err != nil {
				return err
			}
		}
		if err := local.run(s); err != nil {
			return err
		}
	}
	return nil
}

func (s *Session) runSteps(steps []step) error {
	for _, step := range steps {
		if err := s.runStep(step); err != nil {
			return err
		}
	}
	return nil
}

func (s *Session) runStep(t step) error {
	switch t.kind {
	case 'P':
		t.change.apply(&s.statements)
		return s.writer.Send(&pgproto3.ParseComplete{})
	case 'B':
		return s.writer.Send(&pgproto3.BindComplete{})
	case 'C':
		t.change.apply(&s.statements)
		return s.writer.Send(&pgproto3.CloseComplete{})
	case 'E':
		return t.local.run(s)
	}
	if !t.portal {
		if err := s.writer.Send(&pgproto3.ParameterDescription{}); err != nil {
			return err
		}
	}
	return t.local.describe(s)
}
