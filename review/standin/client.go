package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

const (
	// startupTimeout is how long a client waits for READY.
	startupTimeout = 2 * time.Second
	// clientDeadline is the deadline of an operation.
	clientDeadline = 8 * time.Second
	// primaryRoute is the name of the database that clients ask for, a route of the type primary.
	primaryRoute = "lepu270"
)

// client is a session.
type client struct {
	conn net.Conn
	in   *bufio.Reader
}

// answer is the reply to a statement. Code is empty after a success.
type answer struct {
	rows                   []string
	signature, code, state string
}

// connect opens a session on the primary route through a node.
func (w *world) connect(n *node) (*client, error) {
	var d net.Dialer
	conn, err := d.DialContext(w.ctx, "tcp", n.sessionAddress)
	if err != nil {
		return nil, err
	}
	c := &client{conn: conn, in: bufio.NewReader(conn)}
	_ = conn.SetDeadline(time.Now().Add(startupTimeout))
	if _, err := fmt.Fprintf(conn, "STARTUP %s u3f1\r\n", primaryRoute); err != nil {
		return nil, err
	}
	line, err := readLine(c.in)
	if err == nil && !strings.HasPrefix(line, "READY ") {
		err = fmt.Errorf("startup: %s", line)
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return c, nil
}

func (c *client) close() { _ = c.conn.Close() }

// query sends a statement and reads its reply.
func (c *client) query(id, text string) (answer, error) {
	_ = c.conn.SetDeadline(time.Now().Add(clientDeadline))
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return answer{}, err
	}
	var a answer
	for {
		line, err := readLine(c.in)
		if err != nil {
			return a, err
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case names.Row:
			a.rows = append(a.rows, rest)
		case "COMPLETE":
			a.signature = rest
		case "ERROR":
			a.code = rest
		case "READY":
			a.state, _, _ = strings.Cut(rest, " ")
			return a, nil
		default:
			return a, fmt.Errorf("unknown line %q", line)
		}
	}
}
