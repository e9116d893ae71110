package loomserver

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strconv"
	"time"

	"currantloom.example/currantloom"
)

const (
	// controlTimeout bounds a control call whose context has no earlier deadline.
	controlTimeout = 2 * time.Second
	// purgeBatch and purgePause limit the rate at which old request ids are deleted, so that this does not slow down
	// the primary.
	purgeBatch = 100
	purgePause = 50 * time.Millisecond

	// statusSQL returns one row of statusColumns columns.
	statusSQL     = "SELECT * FROM group_status()"
	statusColumns = 6
)

// Status queries the upstream's replication status. The columns are role, term, granted term, term and index of the
// last log entry, and milliseconds since the upstream last heard from its primary.
func (p *Pool) Status(ctx context.Context) (currantloom.PostgresStatus, error) {
	row, err := p.queryControlRow(ctx, statusSQL, statusColumns)
	if err != nil {
		return currantloom.PostgresStatus{}, err
	}
	return parsePostgresStatus(row), nil
}

// parsePostgresStatus returns the status in a row of statusSQL.
func parsePostgresStatus(row []string) currantloom.PostgresStatus {
	return currantloom.PostgresStatus{
		Role:        currantloom.ParseRole(row[0]),
		Term:        currantloom.Term(parseUint(row[1])),
		GrantedTerm: currantloom.Term(parseUint(row[2])),
		Position: currantloom.NewLogPosition(
			currantloom.Term(parseUint(row[3])), currantloom.LogIndex(parseUint(row[4]))),
		PrimarySilence: time.Duration(parseUint(row[5])) * time.Millisecond,
	}
}

// RaiseTerm asks the upstream to grant a term.
func (p *Pool) RaiseTerm(
	ctx context.Context, term currantloom.Term, proposer currantloom.VMName,
) (currantloom.TermGrant, error) {
	row, err := p.queryControlRow(
		ctx, "SELECT * FROM group_raise_term($1, $2)", 4, formatTerm(term), string(proposer))
	if err != nil {
		return currantloom.TermGrant{}, err
	}
	return currantloom.TermGrant{
		Granted:     row[0] == "t",
		HighestTerm: currantloom.Term(parseUint(row[1])),
		Position:    currantloom.NewLogPosition(currantloom.Term(parseUint(row[2])), currantloom.LogIndex(parseUint(row[3]))),
	}, nil
}

// Promote makes the upstream the primary of a term that it has granted.
func (p *Pool) Promote(ctx context.Context, term currantloom.Term) error {
	_, err := p.queryControl(ctx, fmt.Sprintf("SELECT group_lead(%d)", term))
	return err
}

// Follow makes the upstream a replica of the term's primary.
func (p *Pool) Follow(ctx context.Context, term currantloom.Term, primary currantloom.PostgresUpstream) error {
	_, err := p.queryControl(ctx, "SELECT group_follow($1, $2)", formatTerm(term), primary.Address())
	return err
}

// PurgeRequestIDs deletes the recorded request ids that are older than the age, in small batches, and returns their
// number. The upstream must be the primary.
func (p *Pool) PurgeRequestIDs(ctx context.Context, age time.Duration) (int, error) {
	before := strconv.FormatInt(time.Now().Add(-age).Unix(), 10)
	removed := 0
	for {
		sql := fmt.Sprintf(
			"SELECT caller, request_id FROM currantloom_requests WHERE recorded_at < %s LIMIT %d", before, purgeBatch)
		rows, err := p.runControl(ctx, "find old request ids", encodeQuery(sql))
		if err != nil || len(rows) == 0 {
			return removed, err
		}
		messages, err := encodeDeletes(rows)
		if err != nil {
			return removed, err
		}
		if _, err := p.runControl(ctx, "remove request ids", messages); err != nil {
			return removed, err
		}
		removed += len(rows)
		select {
		case <-ctx.Done():
			return removed, currantloom.ErrUnavailable.Wrap(ctx.Err(), "remove request ids on server %s", p.upstream.Name())
		case <-time.After(purgePause):
		}
	}
}

// encodeDeletes encodes the deletion of a batch of request ids in one transaction. The ids come from clients, therefore
// they are sent as parameters.
func encodeDeletes(rows [][]string) ([]byte, error) {
	var messages []byte
	for _, row := range rows {
		m, err := encodeExtendedQuery("DELETE FROM currantloom_requests WHERE caller = $1 AND request_id = $2", row...)
		if err != nil {
			return nil, currantloom.ErrInput.Wrap(err, "request id %q", row)
		}
		messages = append(messages, m[:len(m)-syncSize]...)
	}
	return append(messages, encodedSync...), nil
}

// queryControl runs a control query. The parameters are sent apart from the text of the query.
func (p *Pool) queryControl(ctx context.Context, sql string, parameters ...string) ([][]string, error) {
	if len(parameters) == 0 {
		return p.runControl(ctx, sql, encodeQuery(sql))
	}
	messages, err := encodeExtendedQuery(sql, parameters...)
	if err != nil {
		return nil, err
	}
	return p.runControl(ctx, sql, messages)
}

// queryControlRow runs a control query that returns one row with the given number of columns.
func (p *Pool) queryControlRow(ctx context.Context, sql string, columns int, parameters ...string) ([]string, error) {
	rows, err := p.queryControl(ctx, sql, parameters...)
	if err != nil {
		return nil, err
	}
	if len(rows) != 1 || len(rows[0]) != columns {
		return nil, currantloom.ErrInput.New("server %s answered %s with %d rows, want one of %d columns",
			p.upstream.Name(), sql, len(rows), columns)
	}
	return rows[0], nil
}

// runControl runs a control statement on a control connection. All control statements are idempotent, so if the kept
// connection turns out to be dead, the statement is repeated on a new one.
func (p *Pool) runControl(ctx context.Context, operation string, messages []byte) ([][]string, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	if c := p.takeControlConn(); c != nil {
		rows, err := c.query(ctx, messages)
		connUsable := p.putControlConn(c)
		if err == nil || connUsable || errors.Is(err, os.ErrDeadlineExceeded) {
			return rows, p.controlError(operation, err)
		}
	}
	c, err := p.connect(ctx)
	if err != nil {
		return nil, err
	}
	rows, err := c.query(ctx, messages)
	p.putControlConn(c)
	return rows, p.controlError(operation, err)
}

func (p *Pool) controlError(operation string, err error) error {
	if err == nil {
		return nil
	}
	return currantloom.ErrUnavailable.Wrap(err, "%s on server %s", operation, p.upstream.Name())
}

func (p *Pool) takeControlConn() *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.controlConn
	p.controlConn = nil
	return c
}

// putControlConn keeps the control connection for the next call if it is clean and no other one is kept, and closes it
// otherwise. It reports whether the connection is clean.
func (p *Pool) putControlConn(c *Conn) bool {
	c.mu.Lock()
	clean := !c.failed && c.status == currantloom.TransactionIdle
	c.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	if clean && p.controlConn == nil && !p.closed {
		p.controlConn = c
		return true
	}
	c.close()
	return clean
}

func formatTerm(term currantloom.Term) string { return strconv.FormatUint(uint64(term), 10) }

func parseUint(text string) uint64 {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0
	}
	return n
}
