package loomentry

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomwire"
)

const (
	// maxRequestSize bounds the total size of the messages of one request, in bytes.
	maxRequestSize = loomwire.MaxBodySize
	// maxStatementExcerpt bounds the part of a statement's text, in bytes, that rules and the history of run times see.
	maxStatementExcerpt = 256
)

// pipeline collects the messages of one request: a Query, or extended-protocol messages up to a Sync. Uses of a named
// statement are rewritten to the unnamed statement, with a Parse inserted where the upstream's unnamed statement is a
// different one, because an upstream connection holds no statements of earlier requests.
type pipeline struct {
	session *Session
	body    []byte
	changes []statementChange
	steps   []pipelineStep
	// pendingStatements holds the statements that the pipeline parses or closes; the value is nil for a closed one.
	pendingStatements map[string]*preparedStatement
	pendingSize       int
	// unnamed is the upstream's unnamed statement at this point of the pipeline.
	unnamed *preparedStatement
	portals map[string]*preparedStatement
	// executedClasses are the classes of the statements that the request executes, in order.
	executedClasses []statementClass
	// statement is the text of the first executed statement, otherStatements are the texts of the others.
	statement           string
	otherStatements     []string
	executesStatement   bool
	hasLocal, hasRemote bool
	isSimpleQuery       bool
	err                 error
	// errorSent says that err was sent to the client before the end of the pipeline.
	errorSent bool
}

// pipelineStep is a message of a pipeline that the session may answer without an upstream.
type pipelineStep struct {
	kind byte
	// describesPortal says that a Describe names a portal.
	describesPortal bool
	change          statementChange
	local           *localStatement
}

func (p *pipeline) empty() bool { return len(p.body) == 0 && p.err == nil }

func (p *pipeline) failed() bool { return p.err != nil }

// fail records why the pipeline is refused. The whole pipeline is skipped: in PostgreSQL too, an error undoes the
// earlier messages back to the last Sync.
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
	p.isSimpleQuery = true
	p.addExecution(&preparedStatement{query: m.String, classes: classifyQuery(m.String)})
	p.hasRemote = p.hasRemote || !p.hasLocal
	return p.append(m)
}

func (p *pipeline) lookUpStatement(name string) *preparedStatement {
	if statement, ok := p.pendingStatements[name]; ok {
		return statement
	}
	return p.session.statements.byName[name]
}

func (p *pipeline) setPending(name string, statement *preparedStatement) {
	if p.pendingStatements == nil {
		p.pendingStatements = make(map[string]*preparedStatement)
	}
	p.pendingSize += statement.size() - p.lookUpStatement(name).size()
	p.pendingStatements[name] = statement
}

func (p *pipeline) parse(m *pgproto3.Parse) error {
	statement := newPreparedStatement(m)
	if m.Name != "" {
		if p.lookUpStatement(m.Name) != nil {
			p.fail(currantloom.NewRequestError(currantloom.NotRun, currantloom.SQLStateDuplicateStatement, 0,
				"prepared statement %q already exists", m.Name))
		}
		if p.session.statements.size+p.pendingSize+statement.size()+len(m.Name) > maxStatementTexts {
			p.fail(currantloom.NewRequestError(currantloom.NotRun, currantloom.SQLStateLimitExceeded, 0,
				"texts of the session's prepared statements exceed %d bytes", maxStatementTexts))
		}
	}
	p.checkRefusal(statement)
	p.setPending(m.Name, statement)
	p.unnamed = statement
	c := statementChange{name: m.Name, parsed: statement}
	p.changes = append(p.changes, c)
	p.addStep(pipelineStep{kind: 'P', change: c}, statement)
	return p.append(&pgproto3.Parse{Query: m.Query, ParameterOIDs: m.ParameterOIDs})
}

// useStatement makes the named statement the upstream's unnamed statement.
func (p *pipeline) useStatement(name string) (*preparedStatement, error) {
	statement := p.lookUpStatement(name)
	if statement == nil {
		p.fail(unknownStatement(name))
		return nil, nil
	}
	p.checkRefusal(statement)
	if p.unnamed == statement {
		return statement, nil
	}
	p.unnamed = statement
	p.changes = append(p.changes, statementChange{insertedParse: true})
	return statement, p.append(&pgproto3.Parse{Query: statement.query, ParameterOIDs: statement.parameterOIDs})
}

func (p *pipeline) bind(m *pgproto3.Bind) error {
	statement, err := p.useStatement(m.PreparedStatement)
	if statement == nil || err != nil {
		return err
	}
	if p.portals == nil {
		p.portals = make(map[string]*preparedStatement)
	}
	p.portals[m.DestinationPortal] = statement
	p.addStep(pipelineStep{kind: 'B'}, statement)
	m.PreparedStatement = ""
	return p.append(m)
}

func (p *pipeline) describe(m *pgproto3.Describe) error {
	statement := p.portals[m.Name]
	if m.ObjectType == 'S' {
		var err error
		if statement, err = p.useStatement(m.Name); statement == nil || err != nil {
			return err
		}
		m.Name = ""
	}
	p.addStep(pipelineStep{kind: 'D', describesPortal: m.ObjectType == 'P'}, statement)
	return p.append(m)
}

func (p *pipeline) executePortal(m *pgproto3.Execute) error {
	statement := p.portals[m.Portal]
	p.executesStatement = true
	if statement != nil {
		p.addExecution(statement)
	}
	p.addStep(pipelineStep{kind: 'E'}, statement)
	return p.append(m)
}

func (p *pipeline) close(m *pgproto3.Close) error {
	c := statementChange{closesPortal: m.ObjectType == 'P', name: m.Name}
	if !c.closesPortal {
		p.setPending(m.Name, nil)
		p.unnamed = nil
		m.Name = ""
	} else {
		delete(p.portals, m.Name)
	}
	p.changes = append(p.changes, c)
	p.steps = append(p.steps, pipelineStep{kind: 'C', change: c})
	return p.append(m)
}

// addStep records whether the session or an upstream answers the message.
func (p *pipeline) addStep(s pipelineStep, statement *preparedStatement) {
	if statement != nil && len(statement.classes) == 1 {
		if s.local = p.session.localStatementFor(statement.classes[0]); s.local != nil {
			p.hasLocal = true
			p.steps = append(p.steps, s)
			return
		}
	}
	p.hasRemote = true
}

// addStatementTexts adds the texts that rules apply to. A query of several statements is split, so that rules apply to
// each statement.
func (p *pipeline) addStatementTexts(statement *preparedStatement) {
	texts := []string{statement.query}
	s := scanner{text: statement.query}
	s.skipSpace()
	if len(statement.classes) > 1 || strings.HasPrefix(s.text[s.pos:], ";") {
		texts = statementTexts(statement.query)
	} else {
		texts[0] = s.text[s.pos:]
	}
	for _, text := range texts {
		text = strings.ToValidUTF8(text[:min(len(text), maxStatementExcerpt)], "")
		if p.statement == "" {
			p.statement = text
		} else {
			p.otherStatements = append(p.otherStatements, text)
		}
	}
}

// addExecution records a statement that the request executes.
func (p *pipeline) addExecution(statement *preparedStatement) {
	p.addStatementTexts(statement)
	p.executesStatement = true
	p.checkRefusal(statement)
	p.executedClasses = append(p.executedClasses, statement.classes...)
	for _, c := range statement.classes {
		if p.session.localStatementFor(c) != nil {
			p.hasLocal = true
		} else {
			p.hasRemote = true
		}
	}
}

func (p *pipeline) checkRefusal(statement *preparedStatement) {
	for _, c := range statement.classes {
		if c.refusal != "" {
			p.fail(unsupported("%s", c.refusal))
		}
	}
}

// validate refuses combinations of statements that cannot run together or in the session's transaction status.
func (p *pipeline) validate() {
	if p.hasLocal && p.hasRemote {
		p.fail(unsupported("SET, SHOW, RESET or DISCARD together with other statements in one request is not supported"))
	}
	open := p.session.status != currantloom.TransactionIdle
	for _, c := range p.executedClasses {
		if c.requiresTransaction && !open {
			p.fail(unsupported("the statement is supported only in a transaction"))
		}
		open = c.boundary.transactionOpenAfter(open)
	}
	if p.hasRemote && p.session.hasAbortedTransaction() {
		p.fail(currantloom.NewRequestError(currantloom.NotRun, currantloom.SQLStateFailedTransaction, 0,
			"current transaction is aborted, commands ignored until end of transaction block"))
	}
}

func (b boundary) transactionOpenAfter(open bool) bool {
	switch b {
	case boundaryBegin:
		return true
	case boundaryEnd:
		return false
	default:
		return open
	}
}

// leavesTransactionOpen reports whether a transaction is open after the request has run.
func (p *pipeline) leavesTransactionOpen() bool {
	open := p.session.status != currantloom.TransactionIdle
	for _, c := range p.executedClasses {
		open = c.boundary.transactionOpenAfter(open)
	}
	return open
}

// kind returns whether the request may write. Parsing and describing a statement do not write.
func (p *pipeline) kind() currantloom.RequestKind {
	if p.session.status != currantloom.TransactionIdle {
		return p.session.transactionKind
	}
	readOnly := false
	for _, c := range p.executedClasses {
		readOnly = readOnly || c.readOnly
		if c.kind != currantloom.ReadRequest && !c.readOnly && (!readOnly || c.boundary == boundaryNone) {
			return currantloom.WriteRequest
		}
	}
	return currantloom.ReadRequest
}
