package casekit3

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// heartbeatInterval is the time between two reports of a server to the store.
const heartbeatInterval = 1200 * time.Millisecond

// maxDelayedLines bounds the lines that are on their way on a connection.
const maxDelayedLines = 1024

// Database is a stand-in for a service with several servers that share one log. Replicas receive and apply each commit
// at once.
type Database struct {
	// Service is the name of the service.
	Service string
	// Slots and Connections are those of each server.
	Slots, Connections int
	// WorkTime is how long a read, a write or a commit occupies its slot.
	WorkTime time.Duration
	// Delay is the time that a line takes from a node to a server, or back.
	Delay time.Duration
	// RowSize is the size of the rows with which a read of an item that begins with "large" is answered, Rows their
	// number.
	RowSize, Rows int
	Store         *Store
	// Record gets a line for each statement that a server runs.
	Record *Record

	mu      sync.Mutex
	term    int
	index   int
	primary string
}

// server is a server of the database.
type server struct {
	database *Database
	id       string
	address  string
	zone     string
	born     int64
	slots    chan struct{}

	mu    sync.Mutex
	conns int
	beats int
}

func (d *Database) position() string { return fmt.Sprintf("%d.%d", d.term, d.index) }

// Promote makes a server the primary.
func (d *Database) Promote(_, id string, _ uint64) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.primary != id {
		d.primary = id
		d.term++
		d.index++
	}
	return http.StatusOK
}

// StartServer starts a server at the address. The first one is the primary.
func (d *Database) StartServer(id, address, zone string) error {
	l, err := Listen(address)
	if err != nil {
		return err
	}
	d.mu.Lock()
	if d.primary == "" {
		d.primary, d.term, d.index = id, 1, 1
	}
	d.mu.Unlock()
	s := &server{
		database: d, id: id, address: address, zone: zone, born: time.Now().UnixMilli(),
		slots: make(chan struct{}, d.Slots),
	}
	go s.beat()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return nil
}

// beat registers the server again and again.
func (s *server) beat() {
	d := s.database
	for ; ; time.Sleep(heartbeatInterval) {
		d.mu.Lock()
		role := "replica"
		if d.primary == s.id {
			role = "primary"
		}
		d.mu.Unlock()
		s.beats++
		d.Store.Put("servers/"+s.id, fmt.Appendf(nil, entryFormat, d.Service, s.address, s.zone,
			d.Slots, role, s.beats, s.born))
	}
}

func (s *server) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns >= s.database.Connections {
		return false
	}
	s.conns++
	return true
}

func (s *server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns--
}

// delayed is a text that arrives at a time.
type delayed struct {
	text string
	at   time.Time
}

// serve answers the statements of a connection.
func (s *server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	d := s.database
	lines, replies := make(chan delayed, maxDelayedLines), make(chan delayed, maxDelayedLines)
	defer close(replies)
	go func() {
		defer close(lines)
		in := bufio.NewReader(conn)
		for {
			line, err := ReadLine(in)
			if err != nil {
				return
			}
			lines <- delayed{line, time.Now().Add(d.Delay)}
		}
	}()
	go func() {
		for r := range replies {
			time.Sleep(time.Until(r.at))
			if _, err := conn.Write([]byte(r.text)); err != nil {
				_ = conn.Close()
			}
		}
	}()
	reply := func(format string, args ...any) {
		replies <- delayed{fmt.Sprintf(format, args...), time.Now().Add(d.Delay)}
	}
	c := serverConn{server: s, state: "I", prepared: make(map[string]string)}
	for line := range lines {
		time.Sleep(time.Until(line.at))
		if !c.entered {
			if !c.start(line.text, reply) {
				return
			}
			defer s.leave()
			continue
		}
		word, rest, _ := strings.Cut(line.text, " ")
		if word != "QUERY" {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		answer := c.run(id, text)
		reply("%s\r\nREADY %s %s\r\n", answer, c.state, s.currentPosition())
	}
}

func (s *server) currentPosition() string {
	s.database.mu.Lock()
	defer s.database.mu.Unlock()
	return s.database.position()
}

// serverConn is the state of a connection to a server.
type serverConn struct {
	server   *server
	entered  bool
	state    string
	plain    bool
	wrote    bool
	prepared map[string]string
}

// start answers the startup line. It reports false if the connection is refused.
func (c *serverConn) start(line string, reply func(format string, args ...any)) bool {
	s := c.server
	fields := strings.Fields(line)
	if len(fields) < 3 || fields[0] != "STARTUP" || fields[1] != s.database.Service ||
		len(fields) > 3 && fields[3] != s.id {
		reply("ERROR MISROUTED %s\r\n", s.id)
		return false
	}
	if !s.enter() {
		reply("ERROR %s %s\r\n", names.NoConnection, s.id)
		return false
	}
	c.entered = true
	reply("READY I %s\r\n", s.currentPosition())
	return true
}

// run runs a statement and returns the lines of its answer before READY.
func (c *serverConn) run(id, text string) string {
	if rest, ok := strings.CutPrefix(text, names.After); ok {
		_, text, _ = strings.Cut(rest, " ")
	}
	word, rest, _ := strings.Cut(text, " ")
	switch word {
	case "STATUS", "PAUSE", "RESUME", names.StepDown:
		return c.status()
	case "SET", "DEALLOC":
		return "COMPLETE -"
	case "RESET":
		clear(c.prepared)
		return "COMPLETE -"
	case "PREPARE":
		name, shape, _ := strings.Cut(rest, " ")
		c.prepared[name] = shape
		return "COMPLETE -"
	case "BEGIN":
		if rest == "" && !c.leads() {
			return "ERROR " + names.NotPrimary + " " + c.server.id
		}
		c.state, c.plain, c.wrote = "T", rest == "", false
		return "COMPLETE -"
	case "ROLLBACK":
		c.state = "I"
		return "COMPLETE -"
	default:
		return c.work(id, word, rest)
	}
}

func (c *serverConn) leads() bool {
	d := c.server.database
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.primary == c.server.id
}

func (c *serverConn) status() string {
	role := "replica"
	if c.leads() {
		role = "primary"
	}
	d := c.server.database
	d.mu.Lock()
	defer d.mu.Unlock()
	return fmt.Sprintf("%s %s %d %s %d 0 0 0\r\nCOMPLETE -", names.Row, role, d.term, d.position(), d.term)
}

// work runs a read, a write or a commit in a slot.
func (c *serverConn) work(id, word, rest string) string {
	d := c.server.database
	writes := word == "WRITE"
	name, item, _ := strings.Cut(rest, " ")
	if word == "EXECUTE" {
		shape, ok := c.prepared[name]
		if !ok {
			return "ERROR " + names.NoStatement + " " + name
		}
		writes, name = strings.HasPrefix(shape, "WRITE"), item
	}
	if (writes || c.state == "T" && c.plain) && !c.leads() {
		return "ERROR " + names.NotPrimary + " " + c.server.id
	}
	c.server.slots <- struct{}{}
	time.Sleep(d.WorkTime)
	<-c.server.slots
	if writes && c.state == "I" || word == "COMMIT" && c.wrote {
		d.mu.Lock()
		d.index++
		d.mu.Unlock()
	}
	c.wrote = c.wrote || writes
	if word == "COMMIT" {
		c.state, c.wrote = "I", false
	}
	d.Record.Logf("server %s runs %s %s", c.server.id, id, word)
	rows := names.Row + " row\r\n"
	if strings.HasPrefix(name, "large") {
		rows = strings.Repeat(names.Row+" "+strings.Repeat("r", d.RowSize)+"\r\n", d.Rows)
	}
	return rows + "COMPLETE sig." + id
}
