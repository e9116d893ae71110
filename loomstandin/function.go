package loomstandin

import (
	"context"
	"strconv"
	"strings"
	"time"
)

// maxGenerated bounds a generated value.
const maxGenerated = 256 << 20

// usesSlot reports whether a function takes one of the server's slots. Control functions never wait.
func usesSlot(name string) bool {
	switch name {
	case "pg_sleep", "generate_rows", "repeat":
		return true
	}
	return false
}

// functionColumns returns the names of the columns of a function's result.
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

// call runs a function that is selected.
func (s *session) call(ctx context.Context, st *statement, parameters []*string) (result, error) {
	var arguments []string
	for _, e := range st.arguments {
		arguments = append(arguments, text(e.resolve(parameters)))
	}
	c := &call{session: s, arguments: arguments}
	row, err := c.run(ctx, st.function)
	if err == nil {
		err = c.err
	}
	if err != nil {
		return result{}, err
	}
	columns := functionColumns(st.function)
	r := result{columns: columns, integers: make([]bool, len(columns)), tag: "SELECT 1", stream: c.stream}
	if c.stream != nil {
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

// call is one run of a function; the first bad argument is its error.
type call struct {
	session   *session
	arguments []string
	err       error
	stream    func(send func([]*string) error) error
}

func (c *call) text(i int) string {
	if i < len(c.arguments) {
		return c.arguments[i]
	}
	c.err = newError("42883", "argument %d is missing", i+1)
	return ""
}

func (c *call) number(i int) uint64 {
	n, err := strconv.ParseUint(c.text(i), 10, 64)
	if err != nil && c.err == nil {
		c.err = newError("22P02", "argument %d is not a number", i+1)
	}
	return n
}

func (c *call) milliseconds() time.Duration {
	return time.Duration(c.number(0)) * time.Millisecond
}

func (c *call) run(ctx context.Context, name string) ([]string, error) {
	m := c.session.server.member
	switch name {
	case "group_status":
		r := m.status()
		return []string{
			r.role, format(r.term), format(r.granted), format(r.logTerm), strconv.Itoa(r.position),
			strconv.FormatInt(r.silence.Milliseconds(), 10),
		}, nil
	case "group_raise_term":
		term, proposer := c.number(0), c.text(1)
		if c.err != nil || proposer == "" {
			return nil, newError("22023", "group_raise_term needs a term and a proposer")
		}
		g := m.raiseTerm(term, proposer)
		return []string{
			map[bool]string{true: "t", false: "f"}[g.granted], format(g.highest), format(g.logTerm),
			strconv.Itoa(g.position),
		}, nil
	case "group_lead":
		return []string{""}, m.lead(c.number(0))
	case "group_follow":
		return []string{""}, m.follow(c.number(0), c.text(1))
	case "group_confirm":
		r, err := m.confirm(ctx, 0, 0, true)
		return []string{format(r.term), format(r.logTerm), strconv.Itoa(r.position), strconv.Itoa(r.confirmed)}, err
	}
	if strings.HasPrefix(name, "standin_") {
		return c.runFault(name)
	}
	return c.runWork(ctx, name)
}

func format(n uint64) string { return strconv.FormatUint(n, 10) }

// runWork runs the functions that stand for work of a caller.
func (c *call) runWork(ctx context.Context, name string) ([]string, error) {
	s := c.session
	s.noteRead()
	switch name {
	case "pg_sleep":
		seconds, err := strconv.ParseFloat(c.text(0), 64)
		if err != nil {
			return nil, newError("22P02", "invalid number of seconds")
		}
		if !s.server.pause(ctx, time.Duration(seconds*float64(time.Second))) {
			return nil, errCanceled
		}
		return []string{""}, nil
	case "repeat":
		n := c.number(1)
		if n*uint64(len(c.text(0))) > maxGenerated {
			return nil, newError("54000", "repeated text is too large")
		}
		return []string{strings.Repeat(c.text(0), int(n))}, nil
	case "generate_rows":
		n, size := c.number(0), c.number(1)
		if size > maxGenerated {
			return nil, newError("54000", "generated row is too large")
		}
		value := strings.Repeat("x", int(size))
		c.stream = func(send func([]*string) error) error {
			for i := range n {
				id := format(i + 1)
				if err := send([]*string{&id, &value}); err != nil {
					return err
				}
			}
			return nil
		}
		return nil, nil
	}
	return nil, newError("42883", "function %s does not exist", name)
}

// runFault runs the fault controls for use by hand: standin_lag(ms), standin_delay(ms), standin_statement_time(ms),
// standin_pause(ms), standin_close() and standin_fail_commit('before' or 'after').
func (c *call) runFault(name string) ([]string, error) {
	s := c.session.server
	switch name {
	case "standin_lag":
		s.SetApplyDelay(c.milliseconds())
	case "standin_delay":
		s.SetNetworkDelay(c.milliseconds())
	case "standin_statement_time":
		s.SetStatementTime(c.milliseconds())
	case "standin_pause":
		limit := c.milliseconds()
		s.Pause()
		s.goroutines.Go(func() {
			s.pause(s.ctx, limit)
			s.Resume()
		})
	case "standin_close":
		s.CloseConnections()
		return nil, errLost
	case "standin_fail_commit":
		switch c.text(0) {
		case "before":
			s.FailNextCommit(DropBeforeCommit)
		case "after":
			s.FailNextCommit(DropAfterCommit)
		default:
			return nil, newError("22023", "standin_fail_commit needs 'before' or 'after'")
		}
	default:
		return nil, newError("42883", "function %s does not exist", name)
	}
	return []string{""}, nil
}
