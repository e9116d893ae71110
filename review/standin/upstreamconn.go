package main

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"
)

// upstreamConn is a connection to an upstream.
type upstreamConn struct {
	database *database
	upstream *upstream
	conn     net.Conn
	// state is I, T or E; write says that the transaction may write, term is the term in which it began.
	state    string
	write    bool
	term     int
	pending  []entry
	prepared map[string]preparedStatement
	settings map[string]string
}

type preparedStatement struct {
	writes bool
	shape  string
}

func (d *database) accept(u *upstream) {
	for {
		conn, err := u.listener.Accept()
		if err != nil {
			return
		}
		d.mu.Lock()
		down := u.down
		if !down {
			u.conns[conn] = true
		}
		d.mu.Unlock()
		if down {
			reset(conn)
			continue
		}
		d.tasks.Go(func() { d.serve(u, conn) })
	}
}

// reset closes a connection with a reset, as a port without a listener does.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (d *database) serve(u *upstream, conn net.Conn) {
	defer func() {
		d.mu.Lock()
		delete(u.conns, conn)
		d.mu.Unlock()
		_ = conn.Close()
	}()
	in := bufio.NewReader(conn)
	line, err := readLine(in)
	if err != nil {
		return
	}
	fields := strings.Split(line, " ")
	if len(fields) < 3 || fields[0] != "STARTUP" || fields[1] != serviceName || len(fields) > 3 && fields[3] != u.id {
		_, _ = fmt.Fprintf(conn, "ERROR MISROUTED %s\r\n", u.id)
		return
	}
	c := &upstreamConn{database: d, upstream: u, conn: conn, state: "I"}
	c.prepared, c.settings = make(map[string]preparedStatement), make(map[string]string)
	_, _ = fmt.Fprintf(conn, "READY I %s\r\n", c.position())
	for {
		line, err := readLine(in)
		if err != nil || line == "TERMINATE" {
			return
		}
		if strings.Contains(line, " "+silentItem) {
			_, _ = io.Copy(io.Discard, in)
			return
		}
		response, ok := c.handle(line)
		if !ok {
			return
		}
		if d.losesAnswer(line) {
			continue
		}
		if _, err := fmt.Fprintf(conn, "%s\r\nREADY %s %s\r\n", response, c.state, c.position()); err != nil {
			return
		}
	}
}

// readLine returns the next line without its end, which is CR LF.
func readLine(in *bufio.Reader) (string, error) {
	var line []byte
	for {
		part, err := in.ReadBytes('\n')
		if err != nil {
			return "", err
		}
		line = append(line, part...)
		if n := len(line); n >= 2 && line[n-2] == '\r' {
			return string(line[:n-2]), nil
		}
	}
}

func (c *upstreamConn) position() string {
	c.database.mu.Lock()
	defer c.database.mu.Unlock()
	return c.database.visible(c.upstream)
}

// handle runs a line. It reports false if the connection ends without an answer.
func (c *upstreamConn) handle(line string) (string, bool) {
	query, ok := strings.CutPrefix(line, "QUERY ")
	if !ok {
		return "ERROR MALFORMED", true
	}
	id, text, _ := strings.Cut(query, " ")
	after := ""
	if rest, ok := strings.CutPrefix(text, names.After); ok {
		after, text, _ = strings.Cut(rest, " ")
	}
	word, rest, _ := strings.Cut(text, " ")
	if c.state == "E" && word != "ROLLBACK" && word != "COMMIT" {
		return "ERROR MALFORMED", true
	}
	switch word {
	case "STATUS", "PAUSE", "RESUME", names.StepDown:
		return c.command(word, rest), true
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		c.settings[name] = value
		return "COMPLETE -", true
	case "DEALLOC":
		delete(c.prepared, rest)
		return "COMPLETE -", true
	case "RESET":
		clear(c.prepared)
		clear(c.settings)
		return "COMPLETE -", true
	case "PREPARE":
		return c.prepare(rest), true
	case "BEGIN":
		return c.begin(rest, after), true
	case "ROLLBACK":
		c.state, c.pending = "I", nil
		return "COMPLETE -", true
	case "COMMIT":
		return c.commit(id, text)
	case "READ", "WRITE", "EXECUTE":
		return c.execute(id, text, after)
	default:
		return "ERROR MALFORMED " + word, true
	}
}

// command runs a command on replication.
func (c *upstreamConn) command(word, rest string) string {
	d, u := c.database, c.upstream
	d.mu.Lock()
	defer d.mu.Unlock()
	term, _ := strconv.Atoi(rest)
	switch {
	case word == "PAUSE" && u != d.leader && term > u.term:
		u.paused = true
	case word == "RESUME":
		u.paused = false
	case word == names.StepDown && d.leads(u) && term > u.term:
		u.steppedDown = true
		d.register(u)
	}
	if word != "STATUS" {
		d.record.add("%s: %s %s; %s, its log ends at %s", u.id, word, rest, d.role(u), u.position())
	}
	return fmt.Sprintf(names.Row+" %s %d %s %d 0 0 %d\r\nCOMPLETE -", d.role(u), u.term, u.position(), term, len(u.conns))
}

func (c *upstreamConn) prepare(rest string) string {
	name, rest, _ := strings.Cut(rest, " ")
	mode, shape, _ := strings.Cut(rest, " ")
	if mode != "READ" && mode != "WRITE" {
		return "ERROR MALFORMED PREPARE"
	}
	c.prepared[name] = preparedStatement{writes: mode == "WRITE", shape: shape}
	return "COMPLETE -"
}

func (c *upstreamConn) begin(mode, after string) string {
	d, u := c.database, c.upstream
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case mode != "READ" && !d.leads(u):
		return "ERROR " + names.NotPrimary + " " + u.id
	case !u.covers(after):
		return "ERROR LAGGING"
	}
	c.state, c.write, c.term, c.pending = "T", mode != "READ", u.term, nil
	return "COMPLETE -"
}

// covers reports whether the log has the position. The lock is held.
func (u *upstream) covers(position string) bool {
	if position == "" {
		return true
	}
	termText, numberText, _ := strings.Cut(position, ".")
	term, _ := strconv.Atoi(termText)
	number, _ := strconv.Atoi(numberText)
	last := 1
	if len(u.log) > 0 {
		last = u.log[len(u.log)-1].term
	}
	return last > term || last == term && len(u.log) >= number
}

// execute runs a read or a write.
func (c *upstreamConn) execute(id, text, after string) (string, bool) {
	word, rest, _ := strings.Cut(text, " ")
	writes, shape := word == "WRITE", ""
	if word == "EXECUTE" {
		name, arguments, _ := strings.Cut(rest, " ")
		p, ok := c.prepared[name]
		if !ok {
			c.database.record.add("%s: %s %q: no statement of that name", c.upstream.id, id, text)
			return "ERROR " + names.NoStatement + " " + name, true
		}
		writes, shape, rest = p.writes, p.shape, arguments
	}
	item, data, _ := strings.Cut(rest, " ")
	time.Sleep(workTime)
	d, u := c.database, c.upstream
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case u.down:
		return "", false
	case c.state == "T" && c.write && (!d.leads(u) || u.term != c.term):
		c.state = "E"
		return "ERROR " + names.NotPrimary + " " + u.id, true
	case writes && !d.leads(u):
		return "ERROR " + names.NotPrimary + " " + u.id, true
	case !writes && !u.covers(after):
		return "ERROR LAGGING", true
	}
	r := ran{upstream: u.id, id: id, text: text, shape: shape, settings: maps.Clone(c.settings)}
	d.statements = append(d.statements, r)
	if !writes {
		return names.Row + " " + u.value(item) + "\r\nCOMPLETE " + signature(u, id), true
	}
	e := entry{term: u.term, id: id, item: item, data: data}
	if c.state == "T" {
		c.pending = append(c.pending, e)
		return "COMPLETE " + signature(u, id), true
	}
	return c.append(id, []entry{e})
}

func signature(u *upstream, id string) string { return "7." + u.id + "." + id }

// value returns the newest value of an item. The lock is held.
func (u *upstream) value(item string) string {
	for _, e := range slices.Backward(u.log) {
		if e.item == item {
			return e.data
		}
	}
	return "none"
}

func (c *upstreamConn) commit(id, text string) (string, bool) {
	d, u := c.database, c.upstream
	d.mu.Lock()
	defer d.mu.Unlock()
	pending, state := c.pending, c.state
	c.state, c.pending = "I", nil
	switch {
	case state == "E":
		return "ERROR ABORTED", true
	case len(pending) > 0 && (!d.leads(u) || u.term != c.term):
		return "ERROR " + names.NotPrimary + " " + u.id, true
	}
	d.statements = append(d.statements, ran{upstream: u.id, id: id, text: text, settings: maps.Clone(c.settings)})
	if len(pending) == 0 {
		return "COMPLETE " + signature(u, id), true
	}
	return c.append(id, pending)
}

// append adds commits to the log and waits until a replica has received them. The lock is held.
func (c *upstreamConn) append(id string, entries []entry) (string, bool) {
	d, u := c.database, c.upstream
	term := u.term
	u.log = append(u.log, entries...)
	number := len(u.log)
	for {
		if u.down || !d.leads(u) || u.term != term {
			return "", false
		}
		for _, r := range d.upstreams {
			if r != u && !r.down && r.term == term && len(r.log) >= number {
				u.acked = max(u.acked, number)
				return "COMPLETE " + signature(u, id), true
			}
		}
		d.mu.Unlock()
		time.Sleep(time.Millisecond)
		d.mu.Lock()
	}
}
