package loomstandin

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// errLost ends a session without an answer.
var errLost = errors.New("connection lost")

func isLost(err error) bool { return errors.Is(err, errLost) }

// perform runs one statement in the current transaction, or in an implicit one. With last, no other statement follows
// in an implicit transaction, so it ends with the statement.
func (s *session) perform(ctx context.Context, st *statement, parameters []*string, last bool) (result, error) {
	if s.failed && st.kind != kindCommit && st.kind != kindRollback {
		return result{}, newError("25P02", "current transaction is aborted, commands ignored until end of transaction block")
	}
	switch st.kind {
	case kindEmpty:
		return result{}, nil
	case kindBegin:
		return s.beginBlock(st)
	case kindCommit, kindRollback:
		return s.endBlock(st.kind)
	case kindSet:
		return s.set(st)
	case kindShow:
		value := s.show(st.name)
		return result{columns: []string{st.name}, integers: []bool{false}, rows: [][]*string{{&value}}, tag: "SHOW"}, nil
	}
	if st.kind == kindSelect && st.function != "" && !usesSlot(st.function) {
		return s.call(ctx, st, parameters)
	}
	giveBack, err := s.server.useSlot(ctx)
	if err != nil {
		return result{}, err
	}
	defer func() { giveBack() }()
	if !s.server.pause(ctx, time.Duration(s.server.stateTime.Load())) {
		return result{}, errCanceled
	}
	if st.literal != nil {
		return s.literal(st, parameters), nil
	}
	if st.kind == kindSelect && st.function != "" {
		return s.call(ctx, st, parameters)
	}
	if st.kind == kindCall {
		if st, err = s.callProcedure(ctx, st, parameters); err != nil {
			return result{}, err
		}
		parameters = nil
	}
	for {
		r, blocker, err := s.runOnce(st, parameters, last)
		if blocker == nil {
			return r, err
		}
		// The statement that ends the other transaction may need the slot.
		giveBack()
		giveBack = func() {}
		if err := blocker.await(ctx); err != nil {
			return result{}, err
		}
		if giveBack, err = s.server.useSlot(ctx); err != nil {
			giveBack = func() {}
			return result{}, err
		}
	}
}

// runOnce runs a statement on tables.
func (s *session) runOnce(st *statement, parameters []*string, last bool) (result, *transaction, error) {
	if s.tx == nil {
		s.tx = s.server.member.begin(true, s.readOnly)
	}
	tx := s.tx
	last = last && tx.implicit
	var r result
	var blocker *transaction
	err := s.atCommit(last && st.writes(), func() (err error) {
		r, blocker, err = tx.run(st, parameters, last)
		return err
	})
	if err != nil || blocker != nil || !last {
		return r, blocker, err
	}
	s.tx = nil
	s.noteCommit(tx.end, st.writes())
	return r, nil, nil
}

func (s *session) beginBlock(st *statement) (result, error) {
	readOnly := s.readOnly || st.readOnly
	if s.tx == nil {
		s.tx = s.server.member.begin(false, readOnly)
	}
	s.tx.implicit, s.tx.readOnly = false, readOnly
	return result{tag: "BEGIN"}, nil
}

func (s *session) endBlock(kind statementKind) (result, error) {
	failed := s.failed
	s.failed = false
	if s.tx == nil {
		return result{tag: map[statementKind]string{kindCommit: "COMMIT", kindRollback: "ROLLBACK"}[kind]}, nil
	}
	if failed || kind == kindRollback {
		s.tx.rollback()
		s.tx = nil
		return result{tag: "ROLLBACK"}, nil
	}
	s.tx.implicit = false
	return result{tag: "COMMIT"}, s.commit()
}

const readOnlySetting = "default_transaction_read_only"

func (s *session) set(st *statement) (result, error) {
	if st.name == readOnlySetting {
		switch strings.ToLower(st.value) {
		case "on", "true":
			s.readOnly = true
		case "off", "false":
			s.readOnly = false
		default:
			return result{}, newError("22023", "parameter %q requires a Boolean value", st.name)
		}
		return result{tag: "SET"}, nil
	}
	s.settings[st.name] = st.value
	return result{tag: "SET"}, nil
}

func (s *session) show(name string) string {
	if name == readOnlySetting {
		if s.readOnly {
			return "on"
		}
		return "off"
	}
	return s.settings[name]
}

func (s *session) literal(st *statement, parameters []*string) result {
	s.noteRead()
	return result{
		columns: []string{"?column?"}, integers: []bool{st.literal.number},
		rows: [][]*string{{st.literal.resolve(parameters)}}, tag: "SELECT 1",
	}
}

// noteRead arranges the report of a read that touches no table.
func (s *session) noteRead() {
	if s.report == nil {
		s.report = &pendingReport{read: s.server.member.readReport()}
	}
}

// callProcedure runs CALL batch_release(seconds) and returns the insert that records its end.
func (s *session) callProcedure(ctx context.Context, st *statement, parameters []*string) (*statement, error) {
	if st.function != "batch_release" || len(st.arguments) != 1 {
		return nil, newError("42883", "procedure %s does not exist", st.function)
	}
	m := s.server.member
	m.mu.Lock()
	writable := m.writable()
	m.mu.Unlock()
	if !writable || s.readOnly {
		return nil, newError("25006", "cannot execute CALL on a replica or in read-only mode")
	}
	seconds, err := strconv.ParseFloat(text(st.arguments[0].resolve(parameters)), 64)
	if err != nil {
		return nil, newError("22P02", "invalid number of seconds")
	}
	if !s.server.pause(ctx, time.Duration(seconds*float64(time.Second))) {
		return nil, errCanceled
	}
	id := fmt.Sprintf("%d-%d", time.Now().UnixNano(), s.pid)
	return &statement{
		kind: kindInsert, table: "batch_releases", columns: []string{"id", "seconds"},
		rows: [][]expression{{{text: id}, {text: text(st.arguments[0].resolve(parameters))}}},
	}, nil
}

func text(v *string) string {
	if v == nil {
		return ""
	}
	return *v
}
