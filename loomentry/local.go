package loomentry

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"currantloom.example/currantloom"
)

// textOID is the object id of the type text, which SHOW returns.
const textOID = 25

// localStatement is a statement that the session answers without an upstream.
type localStatement struct {
	// keyword is the first keyword of the statement in lower case. It is "reset" for SET TO DEFAULT and "rollback" for
	// the end of an aborted transaction.
	keyword string
	// parameter is the parameter of SET, SHOW and RESET; it is empty for RESET ALL.
	parameter, value string
}

// classifyLocal classifies SET, SHOW, RESET, DISCARD and DEALLOCATE statements.
func classifyLocal(tokens []token) statementClass {
	keyword, rest := tokens[0].text, tokens[1:]
	if len(rest) == 0 {
		return statementClass{}
	}
	switch keyword {
	case "discard", "deallocate":
		if len(rest) == 1 && rest[0].is("all") {
			return statementClass{local: &localStatement{keyword: keyword}}
		}
		return refusedClass(strings.ToUpper(keyword) + " of anything but ALL")
	case "set":
		return classifySet(rest)
	case "reset":
		name, _ := parameterName(rest)
		if name == "all" {
			name = ""
		}
		return statementClass{local: &localStatement{keyword: keyword, parameter: name}}
	default:
		name, _ := parameterName(rest)
		return statementClass{kind: currantloom.ReadRequest, local: &localStatement{keyword: keyword, parameter: name}}
	}
}

func classifySet(tokens []token) statementClass {
	switch {
	case tokens[0].is("transaction") || tokens[0].is("constraints"):
		return statementClass{requiresTransaction: true}
	case tokens[0].is("local"):
		return refusedClass("SET LOCAL")
	case hasKeywordPair(tokens, "session", "authorization"), hasKeywordPair(tokens, "session", "characteristics"),
		tokens[0].is("role"):
		return refusedClass("SET SESSION AUTHORIZATION, ROLE or CHARACTERISTICS")
	case tokens[0].is("session") && len(tokens) > 1:
		tokens = tokens[1:]
	}
	local := &localStatement{keyword: "set"}
	switch {
	case tokens[0].is("names"):
		local.parameter, tokens = "client_encoding", tokens[1:]
	case len(tokens) > 1 && hasKeywordPair(tokens[:2], "time", "zone"):
		local.parameter, tokens = "timezone", tokens[2:]
	default:
		local.parameter, tokens = parameterName(tokens)
		if len(tokens) > 0 && (tokens[0].isSymbol("=") || tokens[0].is("to")) {
			tokens = tokens[1:]
		}
	}
	for _, t := range tokens {
		local.value += t.text
	}
	if len(tokens) == 1 && tokens[0].is("default") {
		local.keyword, local.value = "reset", ""
	}
	return statementClass{local: local}
}

// parameterName parses a dotted name and returns the tokens after it.
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

// localStatementFor returns the statement if the session answers it without an upstream, nil otherwise. SHOW of a
// parameter that the session does not keep is answered by an upstream. The end of an aborted transaction needs no
// upstream.
func (s *Session) localStatementFor(c statementClass) *localStatement {
	switch {
	case c.local != nil && (c.local.keyword != "show" || isSessionParameter(c.local.parameter)):
		return c.local
	case c.boundary == boundaryEnd && s.hasAbortedTransaction():
		return &localStatement{keyword: "rollback"}
	default:
		return nil
	}
}

// apply changes the session as the statement says and returns the command tag.
func (l *localStatement) apply(s *Session) (tag string, err error) {
	switch l.keyword {
	case "set":
		return "SET", s.parameters.set(l.parameter, l.value, s.database)
	case "reset":
		return "RESET", s.parameters.reset(l.parameter)
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

// run applies the statement and sends its result.
func (l *localStatement) run(s *Session) error {
	tag, err := l.apply(s)
	if err != nil {
		return err
	}
	if l.keyword == "show" {
		value := []byte(s.parameters.show(l.parameter))
		if err := s.writer.Send(&pgproto3.DataRow{Values: [][]byte{value}}); err != nil {
			return err
		}
	}
	for _, name := range reportedParameters {
		if l.keyword == "set" && strings.EqualFold(name, l.parameter) {
			_ = s.writer.Send(&pgproto3.ParameterStatus{Name: name, Value: s.parameters.show(l.parameter)})
		}
	}
	return s.writer.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}

// describe sends the row description of the statement.
func (l *localStatement) describe(s *Session) error {
	if l.keyword != "show" {
		return s.writer.Send(&pgproto3.NoData{})
	}
	return s.writer.Send(l.rowDescription())
}

func (l *localStatement) rowDescription() *pgproto3.RowDescription {
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{
		{Name: []byte(l.parameter), DataTypeOID: textOID, DataTypeSize: -1},
	}}
}

// runLocally answers a request that needs no upstream.
func (s *Session) runLocally(p *pipeline) error {
	var err error
	if p.isSimpleQuery {
		err = s.runLocalQuery(p.executedClasses)
	} else {
		err = s.runLocalSteps(p.steps)
	}
	if err != nil {
		s.sendRefusal(err)
	}
	return s.sendReady()
}

func (s *Session) runLocalQuery(classes []statementClass) error {
	for _, c := range classes {
		local := s.localStatementFor(c)
		if local == nil {
			return unsupported("statement after the end of a failed transaction in one query is not supported")
		}
		if local.keyword == "show" {
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

func (s *Session) runLocalSteps(steps []pipelineStep) error {
	for _, step := range steps {
		if err := s.runLocalStep(step); err != nil {
			return err
		}
	}
	return nil
}

func (s *Session) runLocalStep(t pipelineStep) error {
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
	if !t.describesPortal {
		if err := s.writer.Send(&pgproto3.ParameterDescription{}); err != nil {
			return err
		}
	}
	return t.local.describe(s)
}
