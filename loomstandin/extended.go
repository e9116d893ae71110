package loomstandin

import (
	"context"
	"encoding/binary"
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"
)

const (
	textOID = 25
	int8OID = 20
)

// prepared is a prepared statement with its number of parameters.
type prepared struct {
	statement  *statement
	parameters int
}

// portal is a prepared statement bound to parameter values and result formats.
type portal struct {
	statement  *statement
	parameters []*string
	formats    []int16
}

// extendedMessage handles a message of the extended query protocol.
func (s *session) extendedMessage(ctx context.Context, message pgproto3.FrontendMessage) error {
	switch m := message.(type) {
	case *pgproto3.Parse:
		return s.parse(m)
	case *pgproto3.Bind:
		return s.bind(m)
	case *pgproto3.Describe:
		return s.describe(m)
	case *pgproto3.Execute:
		p, ok := s.portals[m.Portal]
		if !ok {
			return newSQLError("34000", "portal %q does not exist", m.Portal)
		}
		s.pendingExecute = p
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			delete(s.prepared, m.Name)
		} else {
			delete(s.portals, m.Name)
		}
		s.send(&pgproto3.CloseComplete{})
	case *pgproto3.Flush:
		return s.flush(ctx)
	default:
		return newSQLError("08P01", "unexpected message %T", m)
	}
	return nil
}

func (s *session) parse(m *pgproto3.Parse) error {
	statements, err := parse(m.Query)
	if err != nil {
		return err
	}
	if len(statements) > 1 {
		return newSQLError("42601", "cannot insert multiple commands into a prepared statement")
	}
	if _, ok := s.prepared[m.Name]; ok && m.Name != "" {
		return newSQLError("42P05", "prepared statement %q already exists", m.Name)
	}
	tokens, err := scan(m.Query)
	if err != nil {
		return err
	}
	p := &prepared{statement: statements[0]}
	for _, t := range tokens {
		if n, err := strconv.Atoi(t.text); t.kind == 'p' && err == nil {
			p.parameters = max(p.parameters, n)
		}
	}
	s.prepared[m.Name] = p
	s.send(&pgproto3.ParseComplete{})
	return nil
}

func (s *session) bind(m *pgproto3.Bind) error {
	p, ok := s.prepared[m.PreparedStatement]
	if !ok {
		return newSQLError("26000", "prepared statement %q does not exist", m.PreparedStatement)
	}
	if len(m.Parameters) != p.parameters {
		return newSQLError("08P01", "bind message supplies %d parameters, but the statement requires %d",
			len(m.Parameters), p.parameters)
	}
	bound := &portal{statement: p.statement, formats: append([]int16(nil), m.ResultFormatCodes...)}
	for _, value := range m.Parameters {
		if value == nil {
			bound.parameters = append(bound.parameters, nil)
			continue
		}
		text := string(value)
		bound.parameters = append(bound.parameters, &text)
	}
	s.portals[m.DestinationPortal] = bound
	s.send(&pgproto3.BindComplete{})
	return nil
}

func (s *session) describe(m *pgproto3.Describe) error {
	var st *statement
	var formats []int16
	if m.ObjectType == 'S' {
		p, ok := s.prepared[m.Name]
		if !ok {
			return newSQLError("26000", "prepared statement %q does not exist", m.Name)
		}
		oids := make([]uint32, p.parameters)
		for i := range oids {
			oids[i] = textOID
		}
		s.send(&pgproto3.ParameterDescription{ParameterOIDs: oids})
		st = p.statement
	} else {
		p, ok := s.portals[m.Name]
		if !ok {
			return newSQLError("34000", "portal %q does not exist", m.Name)
		}
		st, formats = p.statement, p.formats
	}
	columns, integers := s.columnsOf(st)
	if columns == nil {
		s.send(&pgproto3.NoData{})
		return nil
	}
	s.send(rowDescription(columns, integers, formats))
	return nil
}

// columnsOf returns the names of a statement's result columns, and which of them are integers, without running it.
func (s *session) columnsOf(st *statement) ([]string, []bool) {
	switch {
	case st.kind == kindShow:
		return []string{st.parameterName}, []bool{false}
	case st.kind != kindSelect:
		return nil, nil
	case st.literal != nil:
		return []string{"?column?"}, []bool{st.literal.number}
	case st.function != "":
		columns := functionColumns(st.function)
		return columns, make([]bool, len(columns))
	case st.countRows:
		return []string{"count"}, []bool{true}
	}
	m := s.server.member
	m.mu.Lock()
	defer m.mu.Unlock()
	t, ok := m.tables[st.table]
	if !ok {
		return st.columns, make([]bool, len(st.columns))
	}
	var r result
	r.columns = st.columns
	if len(r.columns) == 0 {
		r.columns = t.Columns
	}
	if r.project(&t.schema, nil) != nil {
		return st.columns, make([]bool, len(st.columns))
	}
	return r.columns, r.integers
}

// executePending runs the pending Execute message. last says that Sync follows it.
func (s *session) executePending(ctx context.Context, last bool) error {
	p := s.pendingExecute
	s.pendingExecute = nil
	if p == nil {
		return nil
	}
	if p.statement.kind == kindEmpty {
		s.send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	r, err := s.execute(ctx, p.statement, p.parameters, last)
	if err != nil {
		return err
	}
	if err := s.sendRows(ctx, &r, p.formats); err != nil {
		return err
	}
	s.send(&pgproto3.CommandComplete{CommandTag: []byte(r.tag)})
	return nil
}

// sync handles a Sync message: it ends the implicit transaction.
func (s *session) sync(ctx context.Context) error {
	if s.skipToSync {
		s.pendingExecute = nil
		return nil
	}
	if err := s.executePending(ctx, true); err != nil {
		return err
	}
	return s.endImplicit()
}

func rowDescription(columns []string, integers []bool, formats []int16) *pgproto3.RowDescription {
	m := &pgproto3.RowDescription{}
	for i, name := range columns {
		f := pgproto3.FieldDescription{
			Name: []byte(name), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1, Format: formatOf(formats, i),
		}
		if integers[i] {
			f.DataTypeOID, f.DataTypeSize = int8OID, 8
		}
		m.Fields = append(m.Fields, f)
	}
	return m
}

// formatOf returns the format of a column. A single code applies to all columns; without codes the format is text.
func formatOf(formats []int16, i int) int16 {
	switch {
	case len(formats) == 1:
		return formats[0]
	case i < len(formats):
		return formats[i]
	default:
		return pgproto3.TextFormat
	}
}

// encodeValue encodes a value. Binary integers have eight bytes; text is the same in both formats.
func encodeValue(value string, binaryInteger bool) []byte {
	if n, err := strconv.ParseInt(value, 10, 64); binaryInteger && err == nil {
		return binary.BigEndian.AppendUint64(nil, uint64(n))
	}
	return []byte(value)
}
