package loomstandin

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// errConnectionLost ends a session without a response.
var errConnectionLost = errors.New("connection lost")

func isConnectionLost(err error) bool { return errors.Is(err, errConnectionLost) }

// execute runs one statement in the current transaction, or in an implicit one. If the statement is the last one of an
// implicit transaction, the transaction ends with it.
func (s *session) execute(ctx context.Context, st *statement, parameters []*string, last bool) (result, error) {
	if s.txFailed && st.kind != kindCommit && st.kind != kindRollback {
		return result{}, newSQLError("25P02",
			"current transaction is aborted, commands ignored until end of transaction block")
	}
	switch st.kind {
	case kindEmpty:
		return result{}, nil
	case kindBegin:
		return s.beginBlock(st)
	case kindCommit, kindRollback:
		return s.endBlock(st.kind)
	case kindSet:
		return s.setParameter(st)
	case kindShow:
		value := s.showParameter(st.parameterName)
		return result{
			columns: []string{st.parameterName}, integers: []bool{false}, rows: [][]*string{{&value}}, tag: "SHOW",
		}, nil
	}
	if st.kind == kindSelect && st.function != "" && !functionUsesSlot(st.function) {
		return s.callFunction(ctx, st, parameters)
	}
	release, err := s.server.acquireSlot(ctx)
	if err != nil {
		return result{}, err
	}
	defer func() { release() }()
	if !s.server.sleep(ctx, time.Duration(s.server.statementTime.Load())) {
		return result{}, errCanceled
	}
	if st.literal != nil {
		return s.selectLiteral(st, parameters), nil
	}
	if st.kind == kindSelect && st.function != "" {
		return s.callFunction(ctx, st, parameters)
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
		// The statement that ends the blocking transaction may need the slot.
		release()
		release = func() {}
		if err := blocker.await(ctx); err != nil {
			return result{}, err
		}
		if release, err = s.server.acquireSlot(ctx); err != nil {
			release = func() {}
			return result{}, err
		}
	}
}

// runOnce runs a statement on tables. If another transaction blocks it, that transaction is returned.
func (s *session) runOnce(st *statement, parameters []*string, last bool) (result, *transaction, error) {
	if s.tx == nil {
		s.tx = s.server.member.begin(true, s.readOnly)
	}
	tx := s.tx
	last = last && tx.implicit
	var r result
	var blocker *transaction
	err := s.withCommitFault(last && st.writes(), func() (err error) {
		r, blocker, err = tx.run(st, parameters, last)
		return err
	})
	if err != nil || blocker != nil || !last {
		return r, blocker, err
	}
	s.tx = nil
	s.reportCommit(tx.endIndex, st.writes())
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
	failed := s.txFailed
	s.txFailed = false
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

func (s *session) setParameter(st *statement) (result, error) {
	if st.parameterName == readOnlySetting {
		switch strings.ToLower(st.parameterValue) {
		case "on", "true":
			s.readOnly = true
		case "off", "false":
			s.readOnly = false
		default:
			return result{}, newSQLError("22023", "parameter %q requires a Boolean value", st.parameterName)
		}
		return result{tag: "SET"}, nil
	}
	s.parameters[st.parameterName] = st.parameterValue
	return result{tag: "SET"}, nil
}

func (s *session) showParameter(name string) string {
	if name == readOnlySetting {
		if s.readOnly {
			return "on"
		}
		return "off"
	}
	return s.parameters[name]
}

func (s *session) selectLiteral(st *statement, parameters []*string) result {
	s.reportRead()
	return result{
		columns: []string{"?column?"}, integers: []bool{st.literal.number},
		rows: [][]*string{{st.literal.resolve(parameters)}}, tag: "SELECT 1",
	}
}

// reportRead schedules the position report of a read that uses no table.
func (s *session) reportRead() {
	if s.pendingReport == nil {
		s.pendingReport = &pendingReport{position: s.server.member.currentPosition()}
	}
}

// callProcedure runs CALL batch_release(seconds), and returns the INSERT statement that records the call.
func (s *session) callProcedure(ctx context.Context, st *statement, parameters []*string) (*statement, error) {
	if st.function != "batch_release" || len(st.arguments) != 1 {
		return nil, newSQLError("42883", "procedure %s does not exist", st.function)
	}
	m := s.server.member
	m.mu.Lock()
	writable := m.writable()
	m.mu.Unlock()
	if !writable || s.readOnly {
		return nil, newSQLError("25006", "cannot execute CALL on a replica or in read-only mode")
	}
	seconds, err := strconv.ParseFloat(textOrEmpty(st.arguments[0].resolve(parameters)), 64)
	if err != nil {
		return nil, newSQLError("22P02", "invalid number of seconds")
	}
	if !s.server.sleep(ctx, time.Duration(seconds*float64(time.Second))) {
		return nil, errCanceled
	}
	id := fmt.Sprintf("%d-%d", time.Now().UnixNano(), s.pid)
	return &statement{
		kind: kindInsert, table: "batch_releases", columns: []string{"id", "seconds"},
		rows: [][]expression{{{text: id}, {text: textOrEmpty(st.arguments[0].resolve(parameters))}}},
	}, nil
}

func textOrEmpty(v *string) string {
	if v == nil {
		return ""
	}
	return *v
}
