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

func newError(code, format string, args ...any) error {
	return &sqlError{code: code, message: fmt.Sprintf(format, args...)}
}

// definition is the shape of a table. Integer columns compare as numbers.
type definition struct {
	Columns  []string `json:"columns"`
	Integers []bool   `json:"integers"`
	Key      []int    `json:"key"`
}

// change is one change of a log entry: a new table (Define), a new image of a row (Row), or a deleted row (no Row).
type change struct {
	Table  string      `json:"table"`
	Key    string      `json:"key,omitempty"`
	Row    []*string   `json:"row,omitempty"`
	Define *definition `json:"define,omitempty"`
}

// entry is one entry of the replicated log.
type entry struct {
	Term    uint64   `json:"term"`
	Changes []change `json:"changes,omitempty"`
}

// maxVersions bounds the history of a row. A transaction that is older than the history reads the oldest version.
const maxVersions = 64

// version is a row as a log entry left it; a nil row was deleted.
type version struct {
	position int
	row      []*string
}

// table holds the rows of a table with their history, which gives transactions a snapshot.
type table struct {
	definition
	rows map[string][]version
}

// tables is the state that the applied prefix of the log yields.
type tables map[string]*table

// newTables returns the state of an empty log. The table of request ids is part of a database's schema.
func newTables() tables {
	t := tables{}
	t.define("currantloom_requests", &definition{
		Columns:  []string{"caller", "request_id", "digest", "tag", "recorded_at"},
		Integers: []bool{false, false, false, false, true}, Key: []int{0, 1},
	})
	return t
}

func (t tables) define(name string, d *definition) {
	if _, ok := t[name]; !ok {
		t[name] = &table{definition: *d, rows: make(map[string][]version)}
	}
}

func (t tables) apply(position int, e entry) {
	for _, c := range e.Changes {
		if c.Define != nil {
			t.define(c.Table, c.Define)
			continue
		}
		rows := t[c.Table].rows
		rows[c.Key] = append(rows[c.Key], version{position, c.Row})
		if history := rows[c.Key]; len(history) > maxVersions {
			rows[c.Key] = slices.Clone(history[len(history)-maxVersions/2:])
		}
	}
}

// at returns the row as of a position.
func (t *table) at(key string, position int) []*string {
	history := t.rows[key]
	for i := len(history) - 1; i >= 0; i-- {
		if history[i].position <= position || i == 0 && len(history) >= maxVersions/2 {
			return history[i].row
		}
	}
	return nil
}

// changedAfter reports whether an entry after the position changed the row.
func (t *table) changedAfter(key string, position int) bool {
	history := t.rows[key]
	return len(history) > 0 && history[len(history)-1].position > position
}

func (d *definition) column(name string) (int, error) {
	if i := slices.Index(d.Columns, name); i >= 0 {
		return i, nil
	}
	return 0, newError("42703", "column %q does not exist", name)
}

func (d *definition) keyOf(row []*string) (string, error) {
	var parts []string
	for _, i := range d.Key {
		if row[i] == nil {
			return "", newError("23502", "null value in column %q", d.Columns[i])
		}
		parts = append(parts, *row[i])
	}
	return strings.Join(parts, "\x00"), nil
}

// keyIn returns the key that equality conditions determine, if they name all its columns.
func (d *definition) keyIn(where []condition, parameters []*string) (string, bool) {
	var parts []string
	for _, i := range d.Key {
		found := false
		for _, c := range where {
			if c.column == d.Columns[i] && c.operator == "=" && !found {
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

// resolve returns the value of an expression; nil is NULL.
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

// compare orders two values, as numbers if the column holds integers.
func compare(a, b string, integer bool) int {
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

func (d *definition) matches(row []*string, where []condition, parameters []*string) (bool, error) {
	for _, c := range where {
		i, err := d.column(c.column)
		if err != nil {
			return false, err
		}
		want := c.value.resolve(parameters)
		if row[i] == nil || want == nil {
			return false, nil
		}
		if !holds(c.operator, compare(*row[i], *want, d.Integers[i])) {
			return false, nil
		}
	}
	return true, nil
}

func holds(operator string, order int) bool {
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

// sortRows orders rows by a column; without one they keep the order of their keys.
func (d *definition) sortRows(rows [][]*string, s *statement) error {
	if s.orderBy == "" {
		return nil
	}
	i, err := d.column(s.orderBy)
	if err != nil {
		return err
	}
	sort.SliceStable(rows, func(a, b int) bool {
		x, y := rows[a][i], rows[b][i]
		if x == nil || y == nil {
			return x != nil
		}
		order := compare(*x, *y, d.Integers[i])
		return order < 0 && !s.descending || order > 0 && s.descending
	})
	return nil
}

// newDefinition returns the shape of a table that is created by its first insert: the first column is the key, and a
// column is an integer one if the first row has a number in it.
func newDefinition(s *statement) *definition {
	d := &definition{Columns: s.columns, Key: []int{0}}
	for i, e := range s.rows[0] {
		if len(s.columns) == 0 {
			d.Columns = append(d.Columns, defaultColumn(i))
		}
		d.Integers = append(d.Integers, e.number)
	}
	return d
}

func defaultColumn(i int) string {
	if names := []string{"id", "value"}; i < len(names) {
		return names[i]
	}
	return fmt.Sprintf("column%d", i+1)
}

func definitionOf(s *statement) (*definition, error) {
	d := &definition{Columns: s.columns}
	for _, name := range s.types {
		d.Integers = append(d.Integers, strings.HasPrefix(name, "int") || strings.HasPrefix(name, "big"))
	}
	for _, name := range s.key {
		i, err := d.column(name)
		if err != nil {
			return nil, err
		}
		d.Key = append(d.Key, i)
	}
	if len(d.Key) == 0 {
		d.Key = []int{0}
	}
	return d, nil
}
