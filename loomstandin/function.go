package loomstandin

import (
	"context"
	"strconv"
	"strings"
	"time"
)

// maxGeneratedBytes is the maximum size of a generated value.
const maxGeneratedBytes = 256 << 20

// functionUsesSlot reports whether a function occupies one of the server's slots. Control functions never wait for one.
func functionUsesSlot(name string) bool {
	switch name {
	case "pg_sleep", "generate_rows", "repeat":
		return true
	}
	return false
}

// functionColumns returns the column names of a function's result.
func functionColumns(name string) []string {
	switch name {
	case "group_status":
		return []string{"role", "term", "granted_term", "log_term", "position", "silence_ms"}
	case "group_raise_term":
		return []string{"granted", "highest_term", "log_term", "position"}
	case "group_confirm":
		return []string{"term", "log_term", "position", "confirmed"}
	case "generate_rows":
		return []string{"id", "value"}
	default:
		return []string{name}
	}
}

// callFunction runs the function of a SELECT statement.
func (s *session) callFunction(ctx context.Context, st *statement, parameters []*string) (result, error) {
	var arguments []string
	for _, e := range st.arguments {
		arguments = append(arguments, textOrEmpty(e.resolve(parameters)))
	}
	c := &functionCall{session: s, arguments: arguments}
	row, err := c.run(ctx, st.function)
	if err == nil {
		err = c.err
	}
	if err != nil {
		return result{}, err
	}
	columns := functionColumns(st.function)
	r := result{columns: columns, integers: make([]bool, len(columns)), tag: "SELECT 1", streamRows: c.streamRows}
	if c.streamRows != nil {
		r.tag = "SELECT " + arguments[0]
		return r, nil
	}
	values := make([]*string, len(row))
	for i := range row {
		values[i] = &row[i]
	}
	r.rows = [][]*string{values}
	return r, nil
}

// functionCall is one call of a function. err is the error of an invalid argument.
type functionCall struct {
	session    *session
	arguments  []string
	err        error
	streamRows func(send func([]*string) error) error
}

func (c *functionCall) textArgument(i int) string {
	if i < len(c.arguments) {
		return c.arguments[i]
	}
	c.err = newSQLError("42883", "argument %d is missing", i+1)
	return ""
}

func (c *functionCall) numberArgument(i int) uint64 {
	n, err := strconv.ParseUint(c.textArgument(i), 10, 64)
	if err != nil && c.err == nil {
		c.err = newSQLError("22P02", "argument %d is not a number", i+1)
	}
	return n
}

func (c *functionCall) millisecondsArgument() time.Duration {
	return time.Duration(c.numberArgument(0)) * time.Millisecond
}

func (c *functionCall) run(ctx context.Context, name string) ([]string, error) {
	m := c.session.server.member
	switch name {
	case "group_status":
		r := m.status()
		return []string{
			r.role, formatUint(r.term), formatUint(r.grantedTerm), formatUint(r.logTerm), strconv.Itoa(r.index),
			strconv.FormatInt(r.silence.Milliseconds(), 10),
		}, nil
	case "group_raise_term":
		term, proposer := c.numberArgument(0), c.textArgument(1)
		if c.err != nil || proposer == "" {
			return nil, newSQLError("22023", "group_raise_term needs a term and a proposer")
		}
		g := m.raiseTerm(term, proposer)
		return []string{
			map[bool]string{true: "t", false: "f"}[g.granted], formatUint(g.highestTerm), formatUint(g.logTerm),
			strconv.Itoa(g.index),
		}, nil
	case "group_lead":
		return []string{""}, m.promote(c.numberArgument(0))
	case "group_follow":
		return []string{""}, m.follow(c.numberArgument(0), c.textArgument(1))
	case "group_confirm":
		r, err := m.confirm(ctx, 0, 0, true)
		return []string{formatUint(r.term), formatUint(r.logTerm), strconv.Itoa(r.index), strconv.Itoa(r.confirmed)}, err
	}
	if strings.HasPrefix(name, "standin_") {
		return c.runFaultControl(name)
	}
	return c.runWorkload(ctx, name)
}

func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }

// runWorkload runs the functions that simulate a client's workload.
func (c *functionCall) runWorkload(ctx context.Context, name string) ([]string, error) {
	s := c.session
	s.reportRead()
	switch name {
	case "pg_sleep":
		seconds, err := strconv.ParseFloat(c.textArgument(0), 64)
		if err != nil {
			return nil, newSQLError("22P02", "invalid number of seconds")
		}
		if !s.server.sleep(ctx, time.Duration(seconds*float64(time.Second))) {
			return nil, errCanceled
		}
		return []string{""}, nil
	case "repeat":
		n := c.numberArgument(1)
		if n*uint64(len(c.textArgument(0))) > maxGeneratedBytes {
			return nil, newSQLError("54000", "repeated text is too large")
		}
		return []string{strings.Repeat(c.textArgument(0), int(n))}, nil
	case "generate_rows":
		n, size := c.numberArgument(0), c.numberArgument(1)
		if size > maxGeneratedBytes {
			return nil, newSQLError("54000", "generated row is too large")
		}
		value := strings.Repeat("x", int(size))
		c.streamRows = func(send func([]*string) error) error {
			for i := range n {
				id := formatUint(i + 1)
				if err := send([]*string{&id, &value}); err != nil {
					return err
				}
			}
			return nil
		}
		return nil, nil
	}
	return nil, newSQLError("42883", "function %s does not exist", name)
}

// runFaultControl runs the fault controls for manual use: standin_lag(ms), standin_delay(ms),
// standin_statement_time(ms), standin_pause(ms), standin_close() and standin_fail_commit('before' or 'after').
func (c *functionCall) runFaultControl(name string) ([]string, error) {
	s := c.session.server
	switch name {
	case "standin_lag":
		s.SetApplyDelay(c.millisecondsArgument())
	case "standin_delay":
		s.SetNetworkDelay(c.millisecondsArgument())
	case "standin_statement_time":
		s.SetStatementTime(c.millisecondsArgument())
	case "standin_pause":
		duration := c.millisecondsArgument()
		s.Pause()
		s.goroutines.Go(func() {
			s.sleep(s.ctx, duration)
			s.Resume()
		})
	case "standin_close":
		s.CloseConnections()
		return nil, errConnectionLost
	case "standin_fail_commit":
		switch c.textArgument(0) {
		case "before":
			s.FailNextCommit(DropBeforeCommit)
		case "after":
			s.FailNextCommit(DropAfterCommit)
		default:
			return nil, newSQLError("22023", "standin_fail_commit needs 'before' or 'after'")
		}
	default:
		return nil, newSQLError("42883", "function %s does not exist", name)
	}
	return []string{""}, nil
}
