package loomentry

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"currantloom.example/currantloom"
)

// maxStatementTexts bounds the total size of the prepared statements of one session, in bytes.
const maxStatementTexts = 64 << 10

// preparedStatement is a prepared statement. Only the session keeps it: no upstream connection holds it between two
// requests.
type preparedStatement struct {
	query         string
	parameterOIDs []uint32
	classes       []statementClass
}

func newPreparedStatement(m *pgproto3.Parse) *preparedStatement {
	return &preparedStatement{query: m.Query, parameterOIDs: m.ParameterOIDs, classes: classifyQuery(m.Query)}
}

// size returns the statement's share of maxStatementTexts.
func (p *preparedStatement) size() int {
	if p == nil {
		return 0
	}
	return len(p.query) + 4*len(p.parameterOIDs)
}

// preparedStatements are the prepared statements of a session. The unnamed statement has the empty name.
type preparedStatements struct {
	byName map[string]*preparedStatement
	size   int
}

func (s *preparedStatements) set(name string, p *preparedStatement) {
	s.remove(name)
	if s.byName == nil {
		s.byName = make(map[string]*preparedStatement)
	}
	s.byName[name] = p
	s.size += p.size() + len(name)
}

func (s *preparedStatements) remove(name string) {
	if p, ok := s.byName[name]; ok {
		s.size -= p.size() + len(name)
		delete(s.byName, name)
	}
}

func (s *preparedStatements) clear() { *s = preparedStatements{} }

// statementChange is the change to the session's prepared statements when the upstream has answered a Parse or a Close.
type statementChange struct {
	// insertedParse marks a Parse that the client did not send; the answer to it is removed from the response.
	insertedParse bool
	// closesPortal marks a Close of a portal, which changes no statement.
	closesPortal bool
	name         string
	parsed       *preparedStatement
}

// apply applies the change to the statements.
func (c statementChange) apply(s *preparedStatements) {
	switch {
	case c.insertedParse || c.closesPortal:
	case c.parsed == nil:
		s.remove(c.name)
	case c.name == "" && c.parsed.size() > maxStatementTexts-s.size:
		// An unnamed statement that exceeds the limit is usable only in the request that sent it.
		s.remove("")
	default:
		s.set(c.name, c.parsed)
	}
}

func unknownStatement(name string) error {
	return currantloom.NewRequestError(currantloom.NotRun, currantloom.SQLStateUnknownStatement, 0,
		"prepared statement %q does not exist", name)
}
