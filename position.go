package currantloom

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
)

// Term counts the primaries of a database. Each term has at most one primary.
type Term uint64

// LogIndex numbers the entries in the log of a database.
type LogIndex uint64

// LogPosition identifies an entry in the log of a database, and with it the state up to this entry, by the entry's term
// and index.
type LogPosition struct {
	term  Term
	index LogIndex
}

// NewLogPosition returns the position of the log entry with the given index, written in the given term.
func NewLogPosition(term Term, index LogIndex) LogPosition {
	return LogPosition{term: term, index: index}
}

// Term returns the term of the log entry.
func (p LogPosition) Term() Term { return p.term }

// Index returns the index of the log entry.
func (p LogPosition) Index() LogIndex { return p.index }

// Compare orders positions by term, then by index. A log that holds an entry of a later term holds every acknowledged
// entry of the earlier terms, whatever the index.
func (p LogPosition) Compare(other LogPosition) int {
	if c := cmp.Compare(p.term, other.term); c != 0 {
		return c
	}
	return cmp.Compare(p.index, other.index)
}

// Covers reports whether a log that ends at p holds every acknowledged entry up to other.
func (p LogPosition) Covers(other LogPosition) bool { return p.Compare(other) >= 0 }

// String returns the position as "term/index".
func (p LogPosition) String() string { return fmt.Sprintf("%d/%d", p.term, p.index) }

// ParseLogPosition parses the form that String returns.
func ParseLogPosition(text string) (LogPosition, error) {
	left, right, ok := strings.Cut(text, "/")
	if !ok {
		return LogPosition{}, ErrInput.New("mark %q is not of the form term/position", text)
	}
	term, err := strconv.ParseUint(left, 10, 64)
	if err != nil {
		return LogPosition{}, ErrInput.Wrap(err, "term of mark %q", text)
	}
	index, err := strconv.ParseUint(right, 10, 64)
	if err != nil {
		return LogPosition{}, ErrInput.Wrap(err, "position of mark %q", text)
	}
	return NewLogPosition(Term(term), LogIndex(index)), nil
}

// Token is the position of a session's last acknowledged write, which the session takes from node to node. The zero
// token is unknown: the session may have written through another node.
type Token struct {
	database DatabaseName
	position LogPosition
	known    bool
}

// noWrites is the text of the token of a session that declares that it has no earlier writes.
const noWrites = "none"

// NewToken returns the token of a session whose last acknowledged write to the database is at position.
func NewToken(database DatabaseName, position LogPosition) Token {
	return Token{database: database, position: position, known: true}
}

// Known reports whether the token covers all earlier writes of the session.
func (t Token) Known() bool { return t.known }

// Position returns the position that an upstream's log must cover to serve the session.
func (t Token) Position() LogPosition { return t.position }

// Database returns the database the token is for; it is empty for a session without earlier writes.
func (t Token) Database() DatabaseName { return t.database }

// Advance returns the token with the given position if that is later, else the token unchanged.
func (t Token) Advance(database DatabaseName, position LogPosition) Token {
	if t.known && t.position.Covers(position) {
		return t
	}
	return NewToken(database, position)
}

// String returns the text that is reported to the client: "database:term/index", "none", or "" if unknown.
func (t Token) String() string {
	switch {
	case !t.known:
		return ""
	case t.database == "":
		return noWrites
	default:
		return string(t.database) + ":" + t.position.String()
	}
}

// ParseToken parses the text form of a token. A token of another database is unknown for this one.
func ParseToken(text string, database DatabaseName) (Token, error) {
	if text == "" {
		return Token{}, nil
	}
	if text == noWrites {
		return Token{known: true}, nil
	}
	name, rest, ok := strings.Cut(text, ":")
	if !ok {
		return Token{}, ErrInput.New("token %q is not of the form database:term/position", text)
	}
	position, err := ParseLogPosition(rest)
	if err != nil {
		return Token{}, err
	}
	if DatabaseName(name) != database {
		return Token{}, nil
	}
	return NewToken(database, position), nil
}
