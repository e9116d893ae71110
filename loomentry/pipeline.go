package loomentry

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomwire"
)

const (
	// maxRequestSize bounds the messages of one request, in bytes.
	maxRequestSize = loomwire.MaxBodySize
	// maxStatementShown bounds the part of a statement that rules and history see.
	maxStatementShown = 256
)

// pipeline collects the messages of one request: a Query, or extended-protocol messages up to a Sync. Named statements
// are rewritten to the unnamed one, with a Parse inserted where the server's unnamed statement is another.
type pipeline struct {
	session *Session
	body    []byte
	changes []change
	steps   []step
	// pending holds the statements as the pipeline leaves them; nil marks a closed one.
	pending     map[string]*prepared
	pendingSize int
	// unnamed is what the server's unnamed statement holds at this point.
	unnamed *prepared
	portals map[string]*prepared
	// executed holds the classes of the statements that the request executes.
	executed  []class
	statement string
	// others are the texts of the executed statements after the first.
	others        []string
	executes      bool
	local, remote bool
	simple        bool
	err           error
	// reported says that err was sent before the end of the pipeline.
	reported bool
}

// step is one message of a pipeline that the session may answer itself.
type step struct {
	kind byte
	// portal says that a Describe names a portal.
	portal bool
	change change
	local  *localStatement
}

func (p *pipeline) empty() bool { return len(p.body) == 0 && p.err == nil }

func (p *pipeline) failed() bool { return p.err != nil }

// fail records why the pipeline is refused. The whole pipeline is skipped: in PostgreSQL an error also undoes the
// earlier messages up to the last Sync.
func (p *pipeline) fail(err error) {
	if p.err == nil {
		p.err = err
	}
}

func (p *pipeline) append(m loomwire.Encoder) error {
	body, err := m.Encode(p.body)
	if err != nil {
		return protocolError("%v", err)
	}
	p.body = body
	if len(body) > maxRequestSize {
		p.fail(currantloom.NewRequestError(currantloom.NotRun, currantloom.SQLStateLimitExceeded, 0,
			"request exceeds the limit of %d bytes", maxRequestSize))
	}
	return nil
}

// query adds a simple query.
func (p *pipeline) query(m *pgproto3.Query) error {
	if !p.empty() {
		p.fail(protocolError("Query message before the Sync of a pipeline"))
	}
	p.simple = true
	p.execute(&prepared{query: m.String, classes: classifyQuery(m.String)})
	p.remote = p.remote || !p.local
	return p.append(m)
}

func (p *pipeline) lookUp(name string) *prepared {
	if statement, ok := p.pending[name]; ok {
		return statement
	}
	return p.session.statements.byName[name]
}

func (p *pipeline) keep(name string, statement *prepared) {
	if p.pending == nil {
		p.pending = make(map[string]*prepared)
	}
	p.pendingSize += statement.size() - p.lookUp(name).size()
	p.pending[name] = statement
}

func (p *pipeline) parse(m *pgproto3.Parse) error {
	statement := newPrepared(m)
	if m.Name != "" {
		if p.lookUp(m.Name) != nil {
			p.fail(currantloom.NewRequestError(currantloom.NotRun, currantloom.SQLStateDuplicateStatement, 0,
				"prepared statement %q already exists", m.Name))
		}
		if p.session.statements.size+p.pendingSize+statement.size()+len(m.Name) > maxStatementTexts {
			p.fail(currantloom.NewRequestError(currantloom.NotRun, currantloom.SQLStateLimitExceeded, 0,
				"texts of the session's prepared statements exceed %d bytes", maxStatementTexts))
		}
	}
	p.checkRefusal(statement)
	p.keep(m.Name, statement)
	p.unnamed = statement
	c := change{name: m.Name, parsed: statement}
	p.changes = append(p.changes, c)
	p.addStep(step{kind: 'P', change: c}, statement)
	return p.append(&pgproto3.Parse{Query: m.Query, ParameterOIDs: m.ParameterOIDs})
}

// use makes the server's unnamed statement the named one.
func (p *pipeline) use(name string) (*prepared, error) {
	statement := p.lookUp(name)
	if statement == nil {
		p.fail(unknownStatement(name))
		return nil, nil
	}
	p.checkRefusal(statement)
	if p.unnamed == statement {
		return statement, nil
	}
	p.unnamed = statement
	p.changes = append(p.changes, change{inserted: true})
	return statement, p.append(&pgproto3.Parse{Query: statement.query, ParameterOIDs: statement.oids})
}

func (p *pipeline) bind(m *pgproto3.Bind) error {
	statement, err := p.use(m.PreparedStatement)
	if statement == nil || err != nil {
		return err
	}
	if p.portals == nil {
		p.portals = make(map[string]*prepared)
	}
	p.portals[m.DestinationPortal] = statement
	p.addStep(step{kind: 'B'}, statement)
	m.PreparedStatement = ""
	return p.append(m)
}

func (p *pipeline) describe(m *pgproto3.Describe) error {
	statement := p.portals[m.Name]
	if m.ObjectType == 'S' {
		var err error
		if statement, err = p.use(m.Name); statement == nil || err != nil {
			return err
		}
		m.Name = ""
	}
	p.addStep(step{kind: 'D', portal: m.ObjectType == 'P'}, statement)
	return p.append(m)
}

func (p *pipeline) executePortal(m *pgproto3.Execute) error {
	statement := p.portals[m.Portal]
	p.executes = true
	if statement != nil {
		p.execute(statement)
	}
	p.addStep(step{kind: 'E'}, statement)
	return p.append(m)
}

func (p *pipeline) close(m *pgproto3.Close) error {
	c := change{portal: m.ObjectType == 'P', name: m.Name}
	if !c.portal {
		p.keep(m.Name, nil)
		p.unnamed = nil
		m.Name = ""
	} else {
		delete(p.portals, m.Name)
	}
	p.changes = append(p.changes, c)
	p.steps = append(p.steps, step{kind: 'C', change: c})
	return p.append(m)
}

// addStep notes whether the session or a server answers the message.
func (p *pipeline) addStep(s step, statement *prepared) {
	if statement != nil && len(statement.classes) == 1 {
		if s.local = p.session.localOf(statement.classes[0]); s.local != nil {
			p.local = true
			p.steps = append(p.steps, s)
			return
		}
	}
	p.remote = true
}

// addTexts notes the texts that rules apply to. A query of several statements is split, so that none hides another.
func (p *pipeline) addTexts(statement *prepared) {
	texts := []string{statement.query}
	s := scanner{text: statement.query}
	s.skipSpace()
	if len(statement.classes) > 1 || strings.HasPrefix(s.text[s.at:], ";") {
		texts = statementTexts(statement.query)
	} else {
		texts[0] = s.text[s.at:]
	}
	for _, text := range texts {
		text = strings.ToValidUTF8(text[:min(len(text), maxStatementShown)], "")
		if p.statement == "" {
			p.statement = text
		} else {
			p.others = append(p.others, text)
		}
	}
}

// execute notes a statement that the request executes.
func (p *pipeline) execute(statement *prepared) {
	p.addTexts(statement)
	p.executes = true
	p.checkRefusal(statement)
	p.executed = append(p.executed, statement.classes...)
	for _, c := range statement.classes {
		if p.session.localOf(c) != nil {
			p.local = true
		} else {
			p.remote = true
		}
	}
}

func (p *pipeline) checkRefusal(statement *prepared) {
	for _, c := range statement.classes {
		if c.refusal != "" {
			p.fail(unsupported("%s", c.refusal))
		}
	}
}

// finish checks the request as a whole.
func (p *pipeline) finish() {
	if p.local && p.remote {
		p.fail(unsupported("SET, SHOW, RESET or DISCARD together with other statements in one request is not supported"))
	}
	open := p.session.status != currantloom.TransactionIdle
	for _, c := range p.executed {
		if c.inTransaction && !open {
			p.fail(unsupported("the statement is supported only in a transaction"))
		}
		open = c.boundary.leavesOpen(open)
	}
	if p.remote && p.session.isAbandoned() {
		p.fail(currantloom.NewRequestError(currantloom.NotRun, currantloom.SQLStateFailedTransaction, 0,
			"current transaction is aborted, commands ignored until end of transaction block"))
	}
}

func (b boundary) leavesOpen(open bool) bool {
	switch b {
	case boundaryBegin:
		return true
	case boundaryEnd:
		return false
	default:
		return open
	}
}

// leavesOpen reports whether a transaction is open after the request.
func (p *pipeline) leavesOpen() bool {
	open := p.session.status != currantloom.TransactionIdle
	for _, c := range p.executed {
		open = c.boundary.leavesOpen(open)
	}
	return open
}

// kind says whether the request may write. Parsing and describing do not.
func (p *pipeline) kind() currantloom.RequestKind {
	if p.session.status != currantloom.TransactionIdle {
		return p.session.kind
	}
	readOnly := false
	for _, c := range p.executed {
		readOnly = readOnly || c.readOnly
		if c.kind != currantloom.ReadRequest && !c.readOnly && (!readOnly || c.boundary == boundaryNone) {
			return currantloom.WriteRequest
		}
	}
	return currantloom.ReadRequest
}
