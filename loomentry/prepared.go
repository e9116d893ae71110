package loomentry

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"currantloom.example/currantloom"
)

// maxStatementTexts bounds the texts of the prepared statements of one session, in bytes.
const maxStatementTexts = 64 << 10

// prepared is a prepared statement as a session keeps it: no server connection holds it between two requests.
type prepared struct {
	query   string
	oids    []uint32
	classes []class
}

func newPrepared(m *pgproto3.Parse) *prepared {
	return &prepared{query: m.Query, oids: m.ParameterOIDs, classes: classifyQuery(m.Query)}
}

// size returns the memory that the statement counts for.
func (p *prepared) size() int {
	if p == nil {
		return 0
	}
	return len(p.query) + 4*len(p.oids)
}

// statements are the prepared statements of a session. The unnamed one has the empty name.
type statements struct {
	byName map[string]*prepared
	size   int
}

func (s *statements) set(name string, p *prepared) {
	s.remove(name)
	if s.byName == nil {
		s.byName = make(map[string]*prepared)
	}
	s.byName[name] = p
	s.size += p.size() + len(name)
}

func (s *statements) remove(name string) {
	if p, ok := s.byName[name]; ok {
		s.size -= p.size() + len(name)
		delete(s.byName, name)
	}
}

func (s *statements) clear() { *s = statements{} }

// change is what the session does with its prepared statements once the server has answered a Parse or a Close.
type change struct {
	// inserted marks a Parse that the client did not send; its answer is removed from the response.
	inserted bool
	// portal marks a Close of a portal.
	portal bool
	name   string
	parsed *prepared
}

// apply makes the change in the session.
func (c change) apply(s *statements) {
	switch {
	case c.inserted || c.portal:
	case c.parsed == nil:
		s.remove(c.name)
	case c.name == "" && c.parsed.size() > maxStatementTexts-s.size:
		// A large unnamed statement stays usable only in the request that sent it.
		s.remove("")
	default:
		s.set(c.name, c.parsed)
	}
}

func unknownStatement(name string) error {
	return currantloom.NewRequestError(currantloom.NotRun, currantloom.SQLStateUnknownStatement, 0,
		"prepared statement %q does not exist", name)
}
