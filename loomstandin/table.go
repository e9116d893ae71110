package loomstandin

import (
	"fmt"
	"slices"
	"sort"
	"strconv"
	"strings"
)

// sqlError is an error that a session reports with its SQLSTATE.
type sqlError struct{ code, message string }

func (e *sqlError) Error() string { return e.message + " (SQLSTATE " + e.code + ")" }

func newSQLError(code, format string, args ...any) error {
	return &sqlError{code: code, message: fmt.Sprintf(format, args...)}
}

// schema describes the columns and the primary key of a table. Integer columns compare as numbers.
type schema struct {
	Columns  []string `json:"columns"`
	Integers []bool   `json:"integers"`
	Key      []int    `json:"key"`
}

// change is one change of a log entry: a new table (CreateTable), a new version of a row (Row), or a deleted row
// (neither).
type change struct {
	Table       string    `json:"table"`
	Key         string    `json:"key,omitempty"`
	Row         []*string `json:"row,omitempty"`
	CreateTable *schema   `json:"define,omitempty"`
}

// entry is one entry of the replicated log.
type entry struct {
	Term    uint64   `json:"term"`
	Changes []change `json:"changes,omitempty"`
}

// maxVersions is the maximum number of versions of a row. A transaction whose snapshot is older than all versions reads
// the oldest one.
const maxVersions = 64

// version is a row after the log entry at the index; a nil row is deleted.
type version struct {
	index int
	row   []*string
}

// table holds the versions of a table's rows, so that a transaction can read a snapshot.
type table struct {
	schema
	rows map[string][]version
}

// tables is the state computed from the applied prefix of the log.
type tables map[string]*table

// newTables returns the state of an empty log. It contains the table of request ids, which every database has.
func newTables() tables {
	t := tables{}
	t.define("currantloom_requests", &schema{
		Columns:  []string{"caller", "request_id", "digest", "tag", "recorded_at"},
		Integers: []bool{false, false, false, false, true}, Key: []int{0, 1},
	})
	return t
}

func (t tables) define(name string, sc *schema) {
	if _, ok := t[name]; !ok {
		t[name] = &table{schema: *sc, rows: make(map[string][]version)}
	}
}

func (t tables) apply(index int, e entry) {
	for _, c := range e.Changes {
		if c.CreateTable != nil {
			t.define(c.Table, c.CreateTable)
			continue
		}
		rows := t[c.Table].rows
		rows[c.Key] = append(rows[c.Key], version{index, c.Row})
		if history := rows[c.Key]; len(history) > maxVersions {
			rows[c.Key] = slices.Clone(history[len(history)-maxVersions/2:])
		}
	}
}

// rowAt returns the row as of a log index.
func (t *table) rowAt(key string, index int) []*string {
	history := t.rows[key]
	for i := len(history) - 1; i >= 0; i-- {
		if history[i].index <= index || i == 0 && len(history) >= maxVersions/2 {
			return history[i].row
		}
	}
	return nil
}

// changedAfter reports whether an entry after the index changed the row.
func (t *table) changedAfter(key string, index int) bool {
	history := t.rows[key]
	return len(history) > 0 && history[len(history)-1].index > index
}

func (sc *schema) columnIndex(name string) (int, error) {
	if i := slices.Index(sc.Columns, name); i >= 0 {
		return i, nil
	}
	return 0, newSQLError("42703", "column %q does not exist", name)
}

func (sc *schema) keyOf(row []*string) (string, error) {
	var parts []string
	for _, i := range sc.Key {
		if row[i] == nil {
			return "", newSQLError("23502", "null value in column %q", sc.Columns[i])
		}
		parts = append(parts, *row[i])
	}
	return strings.Join(parts, "\x00"), nil
}

// keyFromConditions returns the key that equality conditions determine, if they cover all key columns.
func (sc *schema) keyFromConditions(where []condition, parameters []*string) (string, bool) {
	var parts []string
	for _, i := range sc.Key {
		found := false
		for _, c := range where {
			if c.column == sc.Columns[i] && c.operator == "=" && !found {
				if v := c.value.resolve(parameters); v != nil {
					parts = append(parts, *v)
					found = true
				}
			}
		}
		if !found {
			return "", false
		}
	}
	return strings.Join(parts, "\x00"), true
}

// resolve returns the value of an expression, nil for NULL.
func (e expression) resolve(parameters []*string) *string {
	if e.null {
		return nil
	}
	if e.parameter > 0 {
		if e.parameter > len(parameters) {
			return nil
		}
		return parameters[e.parameter-1]
	}
	return &e.text
}

// compareValues orders two values, as numbers if the column holds integers.
func compareValues(a, b string, integer bool) int {
	if integer {
		x, errX := strconv.ParseInt(a, 10, 64)
		y, errY := strconv.ParseInt(b, 10, 64)
		if errX == nil && errY == nil {
			switch {
			case x < y:
				return -1
			case x > y:
				return 1
			}
			return 0
		}
	}
	return strings.Compare(a, b)
}

func (sc *schema) matches(row []*string, where []condition, parameters []*string) (bool, error) {
	for _, c := range where {
		i, err := sc.columnIndex(c.column)
		if err != nil {
			return false, err
		}
		want := c.value.resolve(parameters)
		if row[i] == nil || want == nil {
			return false, nil
		}
		if !satisfies(c.operator, compareValues(*row[i], *want, sc.Integers[i])) {
			return false, nil
		}
	}
	return true, nil
}

// satisfies reports whether the result of a comparison satisfies an operator.
func satisfies(operator string, order int) bool {
	switch operator {
	case "=":
		return order == 0
	case "<":
		return order < 0
	case ">":
		return order > 0
	case "<=":
		return order <= 0
	case ">=":
		return order >= 0
	default:
		return order != 0
	}
}

// sortRows sorts rows by the ORDER BY column. Without one they stay in the order of their keys.
func (sc *schema) sortRows(rows [][]*string, s *statement) error {
	if s.orderBy == "" {
		return nil
	}
	i, err := sc.columnIndex(s.orderBy)
	if err != nil {
		return err
	}
	sort.SliceStable(rows, func(a, b int) bool {
		x, y := rows[a][i], rows[b][i]
		if x == nil || y == nil {
			return x != nil
		}
		order := compareValues(*x, *y, sc.Integers[i])
		return order < 0 && !s.descending || order > 0 && s.descending
	})
	return nil
}

// inferSchema returns the schema of a table that its first INSERT creates: the first column is the key, and a column
// holds integers if the first row has a number in it.
func inferSchema(s *statement) *schema {
	sc := &schema{Columns: s.columns, Key: []int{0}}
	for i, e := range s.rows[0] {
		if len(s.columns) == 0 {
			sc.Columns = append(sc.Columns, defaultColumnName(i))
		}
		sc.Integers = append(sc.Integers, e.number)
	}
	return sc
}

func defaultColumnName(i int) string {
	if names := []string{"id", "value"}; i < len(names) {
		return names[i]
	}
	return fmt.Sprintf("column%d", i+1)
}

// schemaOf returns the schema that a CREATE TABLE statement defines.
func schemaOf(s *statement) (*schema, error) {
	sc := &schema{Columns: s.columns}
	for _, name := range s.columnTypes {
		sc.Integers = append(sc.Integers, strings.HasPrefix(name, "int") || strings.HasPrefix(name, "big"))
	}
	for _, name := range s.keyColumns {
		i, err := sc.columnIndex(name)
		if err != nil {
			return nil, err
		}
		sc.Key = append(sc.Key, i)
	}
	if len(sc.Key) == 0 {
		sc.Key = []int{0}
	}
	return sc, nil
}
