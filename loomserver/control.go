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
	// controlLimit bounds a control call whose context has no earlier deadline.
	controlLimit = 2 * time.Second
	// purgeBatch and purgePause keep the removal of old request ids from slowing the primary down.
	purgeBatch = 100
	purgePause = 50 * time.Millisecond
)

// Status asks the server for its report: role, term, granted term, last log term, position, silence of its primary in
// milliseconds.
func (p *Pool) Status(ctx context.Context) (currantloom.PostgresStatus, error) {
	row, err := p.controlRow(ctx, "SELECT * FROM group_status()", 6)
	if err != nil {
		return currantloom.PostgresStatus{}, err
	}
	return currantloom.PostgresStatus{
		Role:        currantloom.ParseRole(row[0]),
		Term:        currantloom.Term(parseUint(row[1])),
		GrantedTerm: currantloom.Term(parseUint(row[2])),
		Position: currantloom.NewLogPosition(
			currantloom.Term(parseUint(row[3])), currantloom.LogIndex(parseUint(row[4]))),
		PrimarySilence: time.Duration(parseUint(row[5])) * time.Millisecond,
	}, nil
}

// RaiseTerm asks the server to grant a term.
func (p *Pool) RaiseTerm(
	ctx context.Context, term currantloom.Term, proposer currantloom.VMName,
) (currantloom.TermGrant, error) {
	row, err := p.controlRow(ctx, fmt.Sprintf("SELECT * FROM group_raise_term(%d, %s)", term, quote(string(proposer))), 4)
	if err != nil {
		return currantloom.TermGrant{}, err
	}
	return currantloom.TermGrant{
		Granted:     row[0] == "t",
		HighestTerm: currantloom.Term(parseUint(row[1])),
		Position:    currantloom.NewLogPosition(currantloom.Term(parseUint(row[2])), currantloom.LogIndex(parseUint(row[3]))),
	}, nil
}

// Promote makes the server the primary of a term it granted.
func (p *Pool) Promote(ctx context.Context, term currantloom.Term) error {
	sql := fmt.Sprintf("SELECT group_lead(%d)", term)
	_, err := p.callControl(ctx, sql, queryMessage(sql))
	return err
}

// Follow makes the server a replica of the primary of the term.
func (p *Pool) Follow(ctx context.Context, term currantloom.Term, primary currantloom.PostgresUpstream) error {
	sql := fmt.Sprintf("SELECT group_follow(%d, %s)", term, quote(primary.Address()))
	_, err := p.callControl(ctx, sql, queryMessage(sql))
	return err
}

// PurgeRequests removes recorded request ids that are older than the age, in small batches, and returns how many it
// removed. The server must be the primary.
func (p *Pool) PurgeRequests(ctx context.Context, age time.Duration) (int, error) {
	before := strconv.FormatInt(time.Now().Add(-age).Unix(), 10)
	removed := 0
	for {
		sql := fmt.Sprintf(
			"SELECT caller, request_id FROM currantloom_requests WHERE recorded_at < %s LIMIT %d", before, purgeBatch)
		rows, err := p.callControl(ctx, "find old request ids", queryMessage(sql))
		if err != nil || len(rows) == 0 {
			return removed, err
		}
		messages, err := deleteMessages(rows)
		if err != nil {
			return removed, err
		}
		if _, err := p.callControl(ctx, "remove request ids", messages); err != nil {
			return removed, err
		}
		removed += len(rows)
		select {
		case <-ctx.Done():
			return removed, currantloom.ErrUnavailable.Wrap(ctx.Err(), "remove request ids on server %s", p.server.Name())
		case <-time.After(purgePause):
		}
	}
}

// deleteMessages encodes the removal of a batch of request ids in one transaction. The ids come from callers, so they
// are parameters.
func deleteMessages(rows [][]string) ([]byte, error) {
	var messages []byte
	for _, row := range rows {
		m, err := executeMessages("DELETE FROM currantloom_requests WHERE caller = $1 AND request_id = $2", row...)
		if err != nil {
			return nil, currantloom.ErrInput.Wrap(err, "request id %q", row)
		}
		messages = append(messages, m[:len(m)-syncSize]...)
	}
	return append(messages, encodedSync...), nil
}

// controlRow runs a control statement and returns its only row.
func (p *Pool) controlRow(ctx context.Context, sql string, columns int) ([]string, error) {
	rows, err := p.callControl(ctx, sql, queryMessage(sql))
	if err != nil {
		return nil, err
	}
	if len(rows) != 1 || len(rows[0]) != columns {
		return nil, currantloom.ErrInput.New("server %s answered %s with %d rows, want one of %d columns",
			p.server.Name(), sql, len(rows), columns)
	}
	return rows[0], nil
}

// callControl runs a control statement on a connection of its own. All control statements may be repeated, so a kept
// connection that turns out to be gone is replaced at once.
func (p *Pool) callControl(ctx context.Context, what string, messages []byte) ([][]string, error) {
	ctx, cancel := context.WithTimeout(ctx, controlLimit)
	defer cancel()
	if c := p.takeControl(); c != nil {
		rows, err := c.query(ctx, messages)
		answered := p.keepControl(c)
		if err == nil || answered || errors.Is(err, os.ErrDeadlineExceeded) {
			return rows, p.controlError(what, err)
		}
	}
	c, err := p.connect(ctx)
	if err != nil {
		return nil, err
	}
	rows, err := c.query(ctx, messages)
	p.keepControl(c)
	return rows, p.controlError(what, err)
}

func (p *Pool) controlError(what string, err error) error {
	if err == nil {
		return nil
	}
	return currantloom.ErrUnavailable.Wrap(err, "%s on server %s", what, p.server.Name())
}

func (p *Pool) takeControl() *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.control
	p.control = nil
	return c
}

// keepControl keeps one idle control connection and closes any further one. It reports whether the connection is
// clean.
func (p *Pool) keepControl(c *Conn) bool {
	c.mu.Lock()
	clean := !c.failed && c.status == currantloom.TransactionIdle
	c.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	if clean && p.control == nil && !p.closed {
		p.control = c
		return true
	}
	c.close()
	return clean
}

func parseUint(text string) uint64 {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0
	}
	return n
}
