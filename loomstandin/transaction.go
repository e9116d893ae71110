package loomstandin

import (
	"context"
	"fmt"
	"slices"
	"sort"
	"strconv"
	"time"
)

// lockLimit bounds the wait for another transaction that inserts the same key; the stand-in does not look for cycles.
const lockLimit = 30 * time.Second

// rowKey names a row.
type rowKey struct{ table, key string }

// transaction reads a snapshot and its own changes. Its changes become one log entry when it commits; a row that
// another transaction changed after the snapshot makes the commit fail (first committer wins).
type transaction struct {
	member   *member
	implicit bool
	readOnly bool
	snapshot int
	epoch    int
	changes  []change
	written  map[rowKey][]*string
	touched  map[rowKey]bool
	tables   map[string]*definition
	locks    []rowKey
	done     chan struct{}
	// end is the position of the log after the commit.
	end int
}

func (m *member) begin(implicit, readOnly bool) *transaction {
	m.mu.Lock()
	defer m.mu.Unlock()
	return &transaction{
		member: m, implicit: implicit, readOnly: readOnly, snapshot: m.applied, epoch: m.epoch,
		written: make(map[rowKey][]*string), touched: make(map[rowKey]bool), tables: make(map[string]*definition),
		done: make(chan struct{}),
	}
}

// result is the answer to a statement.
type result struct {
	columns  []string
	integers []bool
	rows     [][]*string
	tag      string
	// stream sends the rows of a large answer, which are not kept in memory.
	stream func(send func([]*string) error) error
}

// run executes a statement on tables. With last, an implicit transaction commits in the same step, so that single
// statements never conflict with each other. If another transaction holds a key that the statement inserts, run
// returns it without having changed anything; the caller waits for it and runs the statement again.
func (t *transaction) run(s *statement, parameters []*string, last bool) (result, *transaction, error) {
	m := t.member
	m.mu.Lock()
	defer m.mu.Unlock()
	if t.implicit && len(t.changes) == 0 && len(t.touched) == 0 {
		t.snapshot, t.epoch = m.applied, m.epoch
	}
	if t.epoch != m.epoch {
		return result{}, nil, newError("40001", "the role of the server changed during the transaction")
	}
	if s.writes() && (t.readOnly || !m.writable()) {
		return result{}, nil, newError("25006", "cannot execute a write in a read-only transaction or on a replica")
	}
	r, blocker, err := t.execute(s, parameters)
	if err == nil && blocker == nil && last && t.implicit {
		err = t.commitLocked()
	}
	return r, blocker, err
}

// writes reports whether the statement may write a log entry or locks rows.
func (s *statement) writes() bool {
	switch s.kind {
	case kindInsert, kindUpdate, kindDelete, kindCreate, kindCall:
		return true
	default:
		return s.forUpdate
	}
}

// await waits for the end of the transaction that holds a key.
func (t *transaction) await(ctx context.Context) error {
	timer := time.NewTimer(lockLimit)
	defer timer.Stop()
	select {
	case <-t.done:
		return nil
	case <-ctx.Done():
		return errCanceled
	case <-timer.C:
		return newError("40P01", "waited too long for another transaction")
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

// shape returns the definition of a table, nil if it does not exist.
func (t *transaction) shape(name string) *definition {
	if existing, ok := t.member.tables[name]; ok {
		return &existing.definition
	}
	return t.tables[name]
}

func (t *transaction) define(name string, d *definition) {
	t.tables[name] = d
	t.changes = append(t.changes, change{Table: name, Define: d})
}

func (t *transaction) create(s *statement) (result, error) {
	if t.shape(s.table) != nil {
		if s.exists {
			return result{tag: "CREATE TABLE"}, nil
		}
		return result{}, newError("42P07", "table %q already exists", s.table)
	}
	d, err := definitionOf(s)
	if err != nil {
		return result{}, err
	}
	t.define(s.table, d)
	return result{tag: "CREATE TABLE"}, nil
}

func (t *transaction) row(k rowKey) []*string {
	if row, ok := t.written[k]; ok {
		return row
	}
	if existing, ok := t.member.tables[k.table]; ok {
		return existing.at(k.key, t.snapshot)
	}
	return nil
}

// find returns the keys of the rows that match the conditions, in order.
func (t *transaction) find(name string, d *definition, where []condition, parameters []*string) ([]string, error) {
	var keys []string
	if key, ok := d.keyIn(where, parameters); ok {
		keys = []string{key}
	} else {
		if existing, ok := t.member.tables[name]; ok {
			for key := range existing.rows {
				keys = append(keys, key)
			}
		}
		for k := range t.written {
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
		ok, err := d.matches(row, where, parameters)
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
	d := t.shape(s.table)
	if d == nil {
		// A replica that lags may not know the table yet, so an unknown table is an empty one.
		d = &definition{Columns: s.columns, Integers: make([]bool, len(s.columns)), Key: nil}
		s = &statement{kind: s.kind, columns: s.columns, count: s.count, limit: s.limit}
	}
	keys, err := t.find(s.table, d, s.where, parameters)
	if err != nil {
		return result{}, err
	}
	if s.count {
		n := strconv.Itoa(len(keys))
		return result{columns: []string{"count"}, integers: []bool{true}, rows: [][]*string{{&n}}, tag: "SELECT 1"}, nil
	}
	var rows [][]*string
	for _, key := range keys {
		rows = append(rows, t.row(rowKey{s.table, key}))
		if s.forUpdate {
			t.touched[rowKey{s.table, key}] = true
		}
	}
	if err := d.sortRows(rows, s); err != nil {
		return result{}, err
	}
	if s.limit >= 0 && s.limit < len(rows) {
		rows = rows[:s.limit]
	}
	r := result{columns: s.columns, tag: fmt.Sprintf("SELECT %d", len(rows))}
	if len(s.columns) == 0 {
		r.columns = d.Columns
	}
	return r, r.project(d, rows)
}

func (r *result) project(d *definition, rows [][]*string) error {
	var indexes []int
	for _, name := range r.columns {
		i, err := d.column(name)
		if err != nil {
			return err
		}
		indexes = append(indexes, i)
		r.integers = append(r.integers, d.Integers[i])
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
	d, isNew := t.shape(s.table), false
	if d == nil {
		d, isNew = newDefinition(s), true
	}
	var keys []rowKey
	var rows [][]*string
	for _, values := range s.rows {
		row, err := d.insertRow(s.columns, values, parameters)
		if err != nil {
			return result{}, nil, err
		}
		key, err := d.keyOf(row)
		if err != nil {
			return result{}, nil, err
		}
		k := rowKey{s.table, key}
		if other, ok := t.member.locks[k]; ok && other != t {
			return result{}, other, nil
		}
		if t.exists(k) || slices.Contains(keys, k) {
			return result{}, nil, newError("23505", "duplicate key value violates unique constraint of table %q", s.table)
		}
		keys, rows = append(keys, k), append(rows, row)
	}
	if isNew {
		t.define(s.table, d)
	}
	for i, k := range keys {
		t.member.locks[k] = t
		t.locks = append(t.locks, k)
		t.write(k, rows[i])
	}
	return result{tag: fmt.Sprintf("INSERT 0 %d", len(rows))}, nil, nil
}

// exists looks at the latest state, not the snapshot, as a unique index does.
func (t *transaction) exists(k rowKey) bool {
	if row, ok := t.written[k]; ok {
		return row != nil
	}
	existing, ok := t.member.tables[k.table]
	return ok && existing.at(k.key, t.member.applied) != nil
}

func (d *definition) insertRow(columns []string, values []expression, parameters []*string) ([]*string, error) {
	row := make([]*string, len(d.Columns))
	if len(columns) > 0 && len(columns) != len(values) || len(values) > len(row) {
		return nil, newError("42601", "INSERT has %d values for %d columns", len(values), len(d.Columns))
	}
	for i, e := range values {
		at := i
		if len(columns) > 0 {
			var err error
			if at, err = d.column(columns[i]); err != nil {
				return nil, err
			}
		}
		row[at] = e.resolve(parameters)
	}
	return row, nil
}

func (t *transaction) write(k rowKey, row []*string) {
	t.written[k] = row
	t.touched[k] = true
	t.changes = append(t.changes, change{Table: k.table, Key: k.key, Row: row})
}

func (t *transaction) modify(s *statement, parameters []*string) (result, error) {
	verb := "UPDATE"
	if s.kind == kindDelete {
		verb = "DELETE"
	}
	d := t.shape(s.table)
	if d == nil {
		return result{tag: verb + " 0"}, nil
	}
	keys, err := t.find(s.table, d, s.where, parameters)
	if err != nil {
		return result{}, err
	}
	for _, key := range keys {
		k := rowKey{s.table, key}
		if s.kind == kindDelete {
			t.write(k, nil)
			continue
		}
		row := slices.Clone(t.row(k))
		for _, a := range s.set {
			if err := d.assign(row, a, parameters); err != nil {
				return result{}, err
			}
		}
		t.write(k, row)
	}
	return result{tag: fmt.Sprintf("%s %d", verb, len(keys))}, nil
}

func (d *definition) assign(row []*string, a assignment, parameters []*string) error {
	i, err := d.column(a.column)
	if err != nil {
		return err
	}
	if slices.Contains(d.Key, i) {
		return newError("0A000", "cannot change column %q of the primary key", a.column)
	}
	value := a.value.resolve(parameters)
	if a.base == "" {
		row[i] = value
		return nil
	}
	from, err := d.column(a.base)
	if err != nil {
		return err
	}
	if value == nil || row[from] == nil {
		row[i] = nil
		return nil
	}
	x, errX := strconv.ParseInt(*row[from], 10, 64)
	y, errY := strconv.ParseInt(*value, 10, 64)
	if errX != nil || errY != nil {
		return newError("22P02", "invalid input for an integer sum: %q and %q", *row[from], *value)
	}
	if a.minus {
		y = -y
	}
	sum := strconv.FormatInt(x+y, 10)
	row[i] = &sum
	return nil
}

// commit makes the changes a log entry, if there are any.
func (t *transaction) commit() error {
	t.member.mu.Lock()
	defer t.member.mu.Unlock()
	return t.commitLocked()
}

func (t *transaction) commitLocked() error {
	m := t.member
	defer t.finish()
	if len(t.changes) == 0 {
		t.end = m.applied
		return nil
	}
	if t.epoch != m.epoch || !m.writable() {
		return newError("25006", "the server is no longer the primary of the transaction's term")
	}
	for k := range t.touched {
		if existing, ok := m.tables[k.table]; ok && existing.changedAfter(k.key, t.snapshot) {
			return newError("40001", "could not serialize access due to concurrent update of table %q", k.table)
		}
	}
	for name, d := range t.tables {
		if existing, ok := m.tables[name]; ok && !slices.Equal(existing.Columns, d.Columns) {
			return newError("40001", "table %q was created concurrently", name)
		}
	}
	m.append(entry{Term: m.term, Changes: t.changes})
	t.end = m.applied
	return nil
}

// rollback drops the changes.
func (t *transaction) rollback() {
	t.member.mu.Lock()
	defer t.member.mu.Unlock()
	t.finish()
}

// finish gives the locks back; the member's lock is held. It may be called again.
func (t *transaction) finish() {
	for _, k := range t.locks {
		if t.member.locks[k] == t {
			delete(t.member.locks, k)
		}
	}
	t.locks, t.changes = nil, nil
	select {
	case <-t.done:
	default:
		close(t.done)
	}
}
