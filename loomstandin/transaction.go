package loomstandin

import (
	"context"
	"fmt"
	"slices"
	"sort"
	"strconv"
	"time"
)

// lockTimeout is the longest wait for another transaction that inserts the same key. Deadlocks are not detected.
const lockTimeout = 30 * time.Second

// rowKey identifies a row.
type rowKey struct{ table, key string }

// transaction reads a snapshot and its own changes. Its commit writes the changes as one log entry. The commit fails if
// another transaction changed one of the rows after the snapshot (first committer wins).
type transaction struct {
	member    *member
	implicit  bool
	readOnly  bool
	snapshot  int
	roleEpoch int
	changes   []change
	// writtenRows holds the new rows. conflictKeys holds the keys that the commit checks for conflicts: those of written
	// rows and of rows read FOR UPDATE.
	writtenRows   map[rowKey][]*string
	conflictKeys  map[rowKey]bool
	createdTables map[string]*schema
	lockedKeys    []rowKey
	done          chan struct{}
	// endIndex is the log index after the commit.
	endIndex int
}

func (m *member) begin(implicit, readOnly bool) *transaction {
	m.mu.Lock()
	defer m.mu.Unlock()
	return &transaction{
		member: m, implicit: implicit, readOnly: readOnly, snapshot: m.applied, roleEpoch: m.roleEpoch,
		writtenRows: make(map[rowKey][]*string), conflictKeys: make(map[rowKey]bool), createdTables: make(map[string]*schema),
		done: make(chan struct{}),
	}
}

// result is the result of a statement.
type result struct {
	columns  []string
	integers []bool
	rows     [][]*string
	tag      string
	// streamRows sends the rows of a large result one by one, so that they are not kept in memory.
	streamRows func(send func([]*string) error) error
}

// run executes a statement on tables. If it is the last statement of an implicit transaction, the transaction commits
// in the same step, so that single statements never conflict with each other. If another transaction has locked a key
// that the statement inserts, run changes nothing and returns that transaction. The caller then waits for its end and
// runs the statement again.
func (t *transaction) run(s *statement, parameters []*string, last bool) (result, *transaction, error) {
	m := t.member
	m.mu.Lock()
	defer m.mu.Unlock()
	if t.implicit && len(t.changes) == 0 && len(t.conflictKeys) == 0 {
		t.snapshot, t.roleEpoch = m.applied, m.roleEpoch
	}
	if t.roleEpoch != m.roleEpoch {
		return result{}, nil, newSQLError("40001", "the role of the server changed during the transaction")
	}
	if s.writes() && (t.readOnly || !m.writable()) {
		return result{}, nil, newSQLError("25006", "cannot execute a write in a read-only transaction or on a replica")
	}
	r, blocker, err := t.execute(s, parameters)
	if err == nil && blocker == nil && last && t.implicit {
		err = t.commitLocked()
	}
	return r, blocker, err
}

// writes reports whether the statement may write a log entry or lock rows.
func (s *statement) writes() bool {
	switch s.kind {
	case kindInsert, kindUpdate, kindDelete, kindCreate, kindCall:
		return true
	default:
		return s.forUpdate
	}
}

// await waits for the end of a transaction that has locked a key.
func (t *transaction) await(ctx context.Context) error {
	timer := time.NewTimer(lockTimeout)
	defer timer.Stop()
	select {
	case <-t.done:
		return nil
	case <-ctx.Done():
		return errCanceled
	case <-timer.C:
		return newSQLError("40P01", "waited too long for another transaction")
	}
}

func (t *transaction) execute(s *statement, parameters []*string) (result, *transaction, error) {
	var r result
	var err error
	switch s.kind {
	case kindSelect:
		r, err = t.selectRows(s, parameters)
	case kindInsert:
		return t.insert(s, parameters)
	case kindUpdate, kindDelete:
		r, err = t.modify(s, parameters)
	case kindCreate:
		r, err = t.create(s)
	}
	return r, nil, err
}

// schemaOf returns the schema of a table, or nil if the table does not exist.
func (t *transaction) schemaOf(name string) *schema {
	if existing, ok := t.member.tables[name]; ok {
		return &existing.schema
	}
	return t.createdTables[name]
}

func (t *transaction) define(name string, sc *schema) {
	t.createdTables[name] = sc
	t.changes = append(t.changes, change{Table: name, CreateTable: sc})
}

func (t *transaction) create(s *statement) (result, error) {
	if t.schemaOf(s.table) != nil {
		if s.ifNotExists {
			return result{tag: "CREATE TABLE"}, nil
		}
		return result{}, newSQLError("42P07", "table %q already exists", s.table)
	}
	sc, err := schemaOf(s)
	if err != nil {
		return result{}, err
	}
	t.define(s.table, sc)
	return result{tag: "CREATE TABLE"}, nil
}

// row returns the row that the transaction sees.
func (t *transaction) row(k rowKey) []*string {
	if row, ok := t.writtenRows[k]; ok {
		return row
	}
	if existing, ok := t.member.tables[k.table]; ok {
		return existing.rowAt(k.key, t.snapshot)
	}
	return nil
}

// matchingKeys returns the sorted keys of the rows that match the conditions.
func (t *transaction) matchingKeys(name string, sc *schema, where []condition, parameters []*string) ([]string, error) {
	var keys []string
	if key, ok := sc.keyFromConditions(where, parameters); ok {
		keys = []string{key}
	} else {
		if existing, ok := t.member.tables[name]; ok {
			for key := range existing.rows {
				keys = append(keys, key)
			}
		}
		for k := range t.writtenRows {
			if k.table == name {
				keys = append(keys, k.key)
			}
		}
		sort.Strings(keys)
		keys = slices.Compact(keys)
	}
	var found []string
	for _, key := range keys {
		row := t.row(rowKey{name, key})
		if row == nil {
			continue
		}
		ok, err := sc.matches(row, where, parameters)
		if err != nil {
			return nil, err
		}
		if ok {
			found = append(found, key)
		}
	}
	return found, nil
}

func (t *transaction) selectRows(s *statement, parameters []*string) (result, error) {
	sc := t.schemaOf(s.table)
	if sc == nil {
		// A lagging replica may not have the table yet, so a missing table counts as empty.
		sc = &schema{Columns: s.columns, Integers: make([]bool, len(s.columns)), Key: nil}
		s = &statement{kind: s.kind, columns: s.columns, countRows: s.countRows, limit: s.limit}
	}
	keys, err := t.matchingKeys(s.table, sc, s.conditions, parameters)
	if err != nil {
		return result{}, err
	}
	if s.countRows {
		n := strconv.Itoa(len(keys))
		return result{columns: []string{"count"}, integers: []bool{true}, rows: [][]*string{{&n}}, tag: "SELECT 1"}, nil
	}
	var rows [][]*string
	for _, key := range keys {
		rows = append(rows, t.row(rowKey{s.table, key}))
		if s.forUpdate {
			t.conflictKeys[rowKey{s.table, key}] = true
		}
	}
	if err := sc.sortRows(rows, s); err != nil {
		return result{}, err
	}
	if s.limit >= 0 && s.limit < len(rows) {
		rows = rows[:s.limit]
	}
	r := result{columns: s.columns, tag: fmt.Sprintf("SELECT %d", len(rows))}
	if len(s.columns) == 0 {
		r.columns = sc.Columns
	}
	return r, r.project(sc, rows)
}

// project sets the rows of the result to the result's columns of the given rows.
func (r *result) project(sc *schema, rows [][]*string) error {
	var indexes []int
	for _, name := range r.columns {
		i, err := sc.columnIndex(name)
		if err != nil {
			return err
		}
		indexes = append(indexes, i)
		r.integers = append(r.integers, sc.Integers[i])
	}
	for _, row := range rows {
		values := make([]*string, 0, len(indexes))
		for _, i := range indexes {
			values = append(values, row[i])
		}
		r.rows = append(r.rows, values)
	}
	return nil
}

func (t *transaction) insert(s *statement, parameters []*string) (result, *transaction, error) {
	sc, isNew := t.schemaOf(s.table), false
	if sc == nil {
		sc, isNew = inferSchema(s), true
	}
	var keys []rowKey
	var rows [][]*string
	for _, values := range s.rows {
		row, err := sc.buildRow(s.columns, values, parameters)
		if err != nil {
			return result{}, nil, err
		}
		key, err := sc.keyOf(row)
		if err != nil {
			return result{}, nil, err
		}
		k := rowKey{s.table, key}
		if holder, ok := t.member.keyLocks[k]; ok && holder != t {
			return result{}, holder, nil
		}
		if t.exists(k) || slices.Contains(keys, k) {
			return result{}, nil, newSQLError("23505", "duplicate key value violates unique constraint of table %q", s.table)
		}
		keys, rows = append(keys, k), append(rows, row)
	}
	if isNew {
		t.define(s.table, sc)
	}
	for i, k := range keys {
		t.member.keyLocks[k] = t
		t.lockedKeys = append(t.lockedKeys, k)
		t.writeRow(k, rows[i])
	}
	return result{tag: fmt.Sprintf("INSERT 0 %d", len(rows))}, nil, nil
}

// exists reports whether a row exists in the latest state instead of the snapshot, as a unique index does.
func (t *transaction) exists(k rowKey) bool {
	if row, ok := t.writtenRows[k]; ok {
		return row != nil
	}
	existing, ok := t.member.tables[k.table]
	return ok && existing.rowAt(k.key, t.member.applied) != nil
}

func (sc *schema) buildRow(columns []string, values []expression, parameters []*string) ([]*string, error) {
	row := make([]*string, len(sc.Columns))
	if len(columns) > 0 && len(columns) != len(values) || len(values) > len(row) {
		return nil, newSQLError("42601", "INSERT has %d values for %d columns", len(values), len(sc.Columns))
	}
	for i, e := range values {
		column := i
		if len(columns) > 0 {
			var err error
			if column, err = sc.columnIndex(columns[i]); err != nil {
				return nil, err
			}
		}
		row[column] = e.resolve(parameters)
	}
	return row, nil
}

func (t *transaction) writeRow(k rowKey, row []*string) {
	t.writtenRows[k] = row
	t.conflictKeys[k] = true
	t.changes = append(t.changes, change{Table: k.table, Key: k.key, Row: row})
}

func (t *transaction) modify(s *statement, parameters []*string) (result, error) {
	verb := "UPDATE"
	if s.kind == kindDelete {
		verb = "DELETE"
	}
	sc := t.schemaOf(s.table)
	if sc == nil {
		return result{tag: verb + " 0"}, nil
	}
	keys, err := t.matchingKeys(s.table, sc, s.conditions, parameters)
	if err != nil {
		return result{}, err
	}
	for _, key := range keys {
		k := rowKey{s.table, key}
		if s.kind == kindDelete {
			t.writeRow(k, nil)
			continue
		}
		row := slices.Clone(t.row(k))
		for _, a := range s.assignments {
			if err := sc.applyAssignment(row, a, parameters); err != nil {
				return result{}, err
			}
		}
		t.writeRow(k, row)
	}
	return result{tag: fmt.Sprintf("%s %d", verb, len(keys))}, nil
}

func (sc *schema) applyAssignment(row []*string, a assignment, parameters []*string) error {
	i, err := sc.columnIndex(a.column)
	if err != nil {
		return err
	}
	if slices.Contains(sc.Key, i) {
		return newSQLError("0A000", "cannot change column %q of the primary key", a.column)
	}
	value := a.value.resolve(parameters)
	if a.baseColumn == "" {
		row[i] = value
		return nil
	}
	base, err := sc.columnIndex(a.baseColumn)
	if err != nil {
		return err
	}
	if value == nil || row[base] == nil {
		row[i] = nil
		return nil
	}
	x, errX := strconv.ParseInt(*row[base], 10, 64)
	y, errY := strconv.ParseInt(*value, 10, 64)
	if errX != nil || errY != nil {
		return newSQLError("22P02", "invalid input for an integer sum: %q and %q", *row[base], *value)
	}
	if a.subtract {
		y = -y
	}
	sum := strconv.FormatInt(x+y, 10)
	row[i] = &sum
	return nil
}

// commit writes the changes as a log entry, if there are any.
func (t *transaction) commit() error {
	t.member.mu.Lock()
	defer t.member.mu.Unlock()
	return t.commitLocked()
}

func (t *transaction) commitLocked() error {
	m := t.member
	defer t.release()
	if len(t.changes) == 0 {
		t.endIndex = m.applied
		return nil
	}
	if t.roleEpoch != m.roleEpoch || !m.writable() {
		return newSQLError("25006", "the server is no longer the primary of the transaction's term")
	}
	for k := range t.conflictKeys {
		if existing, ok := m.tables[k.table]; ok && existing.changedAfter(k.key, t.snapshot) {
			return newSQLError("40001", "could not serialize access due to concurrent update of table %q", k.table)
		}
	}
	for name, sc := range t.createdTables {
		if existing, ok := m.tables[name]; ok && !slices.Equal(existing.Columns, sc.Columns) {
			return newSQLError("40001", "table %q was created concurrently", name)
		}
	}
	m.append(entry{Term: m.term, Changes: t.changes})
	t.endIndex = m.applied
	return nil
}

// rollback discards the changes.
func (t *transaction) rollback() {
	t.member.mu.Lock()
	defer t.member.mu.Unlock()
	t.release()
}

// release releases the locked keys; the member's lock is held. It may be called more than once.
func (t *transaction) release() {
	for _, k := range t.lockedKeys {
		if t.member.keyLocks[k] == t {
			delete(t.member.keyLocks, k)
		}
	}
	t.lockedKeys, t.changes = nil, nil
	select {
	case <-t.done:
	default:
		close(t.done)
	}
}
