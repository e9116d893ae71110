package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat   = 1200 * time.Millisecond
	promoteTime = 1000 * time.Millisecond
	runTime     = 5 * time.Millisecond
)

// entry is what a server says of itself in the store.
type entry struct {
	zone, role string
	sequence   int
	born       int64
}

// database is a service: a primary and its replicas with one log.
type database struct {
	name  string
	store *store
	log   *record

	mu      sync.Mutex
	servers []*server
	// term is the newest term, leader the primary of it; nil if it is lost.
	term      int
	leader    *server
	logTerms  []int
	seenFence map[string]uint64
	lastRun   int
	// log entries by number, from 1: the id of the statement that committed.
	commits []string
	// rolledBack are the ids of commits that a promotion has rolled back.
	rolledBack []string
	// lateBy is how much later calls to promote are carried out, without an answer; zero for none. called gets a value at
	// each of them.
	lateBy time.Duration
	called chan struct{}
	// promoted gets a value at each accepted call to promote another server; nil if nobody waits for it.
	promoted chan struct{}
	// roundTrip is how much later each reply arrives, because the servers are in another region than the nodes.
	roundTrip time.Duration
}

// server is a server of the service. Its fields are guarded by the lock of the database.
type server struct {
	db       *database
	id       string
	address  string
	listener net.Listener
	entry    entry
	// received is the number of commits that the server has; logTerm is the term of the newest one.
	received int
	held     int
	alive    bool
	// deaf says that the server, as a replica, receives nothing from the primary.
	deaf bool
	// dark says that nothing reaches the server and nothing comes from it, except from servers that are dark as well.
	dark bool
	// quietUntil is the time until which the server does not report.
	quietUntil time.Time
	conns      map[net.Conn]bool
}

func startDatabase(name string, s *store, log *record, zones []string) (*database, error) {
	db := &database{name: name, store: s, log: log, term: 1, seenFence: make(map[string]uint64)}
	for i, zone := range zones {
		l, err := listen("127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		v := &server{
			db: db, id: fmt.Sprintf("i-%d%s", i+1, name), address: l.Addr().String(), listener: l, alive: true,
			conns: make(map[net.Conn]bool),
		}
		v.entry = entry{zone: zone, role: "replica", born: time.Now().UnixMilli()}
		if i == 0 {
			v.entry.role = "primary"
			db.leader = v
		}
		db.servers = append(db.servers, v)
	}
	for _, v := range db.servers {
		v.report(true)
		go v.accept()
		go v.beat()
	}
	return db, nil
}

// report writes the entry of the server. Without a change the store has no event of it.
func (v *server) report(changed bool) {
	v.db.mu.Lock()
	silent := !v.alive || v.dark || time.Now().Before(v.quietUntil)
	v.entry.sequence++
	value := fill(entryFile, "SERVICE", v.db.name, "ADDRESS", v.address, "ZONE", v.entry.zone, "ROLE", v.entry.role,
		"SEQUENCE", strconv.Itoa(v.entry.sequence), "BORN", strconv.FormatInt(v.entry.born, 10))
	v.db.mu.Unlock()
	if silent {
		return
	}
	if changed || !v.db.store.putQuietly("servers/"+v.id, value) {
		v.db.store.put("servers/"+v.id, value)
	}
}

func (v *server) beat() {
	for range time.Tick(heartbeat) {
		v.report(false)
	}
}

func (v *server) accept() {
	for {
		conn, err := v.listener.Accept()
		if err != nil {
			return
		}
		v.db.mu.Lock()
		v.conns[conn] = true
		v.db.mu.Unlock()
		go func() {
			c := &serverConn{server: v, conn: conn, in: bufio.NewReader(conn)}
			c.serve()
			if c.replies != nil {
				close(c.replies)
			}
			_ = conn.Close()
			v.db.mu.Lock()
			delete(v.conns, conn)
			v.db.mu.Unlock()
		}()
	}
}

// servePromotion answers POST /failover, unless calls get no answer.
func (db *database) servePromotion(w http.ResponseWriter, r *http.Request) {
	var call promotion
	call.fence, _ = strconv.ParseUint(r.Header.Get(names.FenceHeader), 10, 64)
	call.holder = r.Header.Get(names.HolderHeader)
	_ = json.NewDecoder(r.Body).Decode(&call)
	db.mu.Lock()
	lateBy := db.lateBy
	db.mu.Unlock()
	if lateBy == 0 {
		w.WriteHeader(db.carryOut(call))
		return
	}
	db.log.note("the call of %s to promote %s gets no answer", call.holder, call.ID)
	time.AfterFunc(lateBy, func() { db.carryOut(call) })
	select {
	case db.called <- struct{}{}:
	default:
	}
	<-r.Context().Done()
}

// promotion is a call to promote a server.
type promotion struct {
	Service string `json:"service"`
	ID      string `json:"id"`
	fence   uint64
	holder  string
}

// carryOut carries a call out and returns its status.
func (db *database) carryOut(call promotion) int {
	db.mu.Lock()
	defer db.mu.Unlock()
	status := http.StatusConflict
	for _, v := range db.servers {
		if v.id != call.ID || !v.alive || v.dark || call.fence < db.seenFence[call.Service] {
			continue
		}
		status, db.seenFence[call.Service] = http.StatusOK, call.fence
		if v != db.leader {
			time.AfterFunc(promoteTime, func() { db.promote(v) })
			select {
			case db.promoted <- struct{}{}:
			default:
			}
		}
	}
	db.log.note("the call of %s to promote %s, fence %d: %d", call.holder, call.ID, call.fence, status)
	return status
}

func (db *database) promote(v *server) {
	db.mu.Lock()
	if db.leader != nil {
		db.leader.entry.role = "replica"
	}
	db.term++
	db.leader, v.entry.role, v.held = v, "primary", 0
	db.rolledBack = append(db.rolledBack, db.commits[v.received:]...)
	db.logTerms, db.commits = db.logTerms[:v.received], db.commits[:v.received]
	for _, other := range db.servers {
		other.received = min(other.received, v.received)
		other.held = 0
	}
	db.log.add("server %s leads term %d with %d commits", v.id, db.term, v.received)
	db.mu.Unlock()
	for _, other := range db.servers {
		other.report(true)
	}
}

// maxCommitWait is how long a commit waits for a replica.
const maxCommitWait = 5 * time.Second

// commit appends a commit at a primary, waits until a replica has received it, and reports whether one has. The lock is
// held, but not during the wait.
func (v *server) commit(id string) bool {
	db, term := v.db, v.db.term
	db.logTerms = append(db.logTerms[:v.received], term)
	db.commits = append(db.commits[:v.received], id)
	v.received++
	number := v.received
	for end := time.Now().Add(maxCommitWait); time.Now().Before(end); {
		if db.leader != v || db.term != term {
			return false
		}
		db.replicate()
		for _, other := range db.servers {
			if other != v && other.received >= number {
				return true
			}
		}
		db.mu.Unlock()
		time.Sleep(time.Millisecond)
		db.mu.Lock()
	}
	return false
}

// replicate gives the log of the primary to the replicas that receive. The lock is held.
func (db *database) replicate() {
	for _, v := range db.servers {
		if db.leader != nil && v != db.leader && v.alive && v.held == 0 && !v.deaf && v.dark == db.leader.dark {
			v.received = db.leader.received
		}
	}
}

// position returns the position of the server's log. The lock is held.
func (v *server) position() string {
	if v.received == 0 {
		return fmt.Sprintf("%d.0", v.db.term)
	}
	return fmt.Sprintf("%d.%d", v.db.logTerms[v.received-1], v.received)
}

// covers reports whether the log has a position. The lock is held.
func (v *server) covers(text string) bool {
	termText, numberText, _ := strings.Cut(text, ".")
	term, _ := strconv.Atoi(termText)
	number, _ := strconv.Atoi(numberText)
	last := v.db.term
	if v.received > 0 {
		last = v.db.logTerms[v.received-1]
	}
	return last > term || last == term && v.received >= number
}

// setDeaf lets a replica receive nothing, or ends that.
func (db *database) setDeaf(v *server, deaf bool) {
	db.mu.Lock()
	defer db.mu.Unlock()
	v.deaf = deaf
	db.log.note("replica %s is deaf: %t, it has %d commits", v.id, deaf, v.received)
}

// setDark makes servers dark, or ends that: connections that were open are then gone. Entries go after three
// heartbeats.
func (db *database) setDark(dark bool, servers ...*server) {
	db.mu.Lock()
	for _, v := range servers {
		v.dark = dark
		for conn := range v.conns {
			if !dark {
				_ = conn.Close()
			}
		}
	}
	db.mu.Unlock()
	for _, v := range servers {
		db.log.note("server %s is dark: %t", v.id, dark)
		if !dark {
			v.report(true)
			continue
		}
		id := v.id
		time.AfterFunc(3*heartbeat, func() {
			db.mu.Lock()
			still := v.dark
			db.mu.Unlock()
			if still {
				db.store.drop("servers/" + id)
			}
		})
	}
}

// awaitLight waits while the server is dark. It returns false if it was: the connection is gone then.
func (v *server) awaitLight() bool {
	waited := false
	for {
		v.db.mu.Lock()
		dark := v.dark
		v.db.mu.Unlock()
		if !dark {
			return !waited
		}
		waited = true
		time.Sleep(time.Millisecond)
	}
}

// serverConn is a connection to a server.
type serverConn struct {
	server *server
	conn   net.Conn
	in     *bufio.Reader
	state  string
	plain  bool
	wrote  bool
	term   int
	names  map[string]string
	// replies are those on their way; nil if there was none yet.
	replies chan delayedReply
}

func (c *serverConn) line() (string, bool) {
	text, err := c.in.ReadString('\n')
	return strings.TrimSuffix(text, "\r\n"), err == nil
}

func (c *serverConn) serve() {
	v := c.server
	text, ok := c.line()
	fields := strings.Fields(text)
	if !ok || !v.awaitLight() || len(fields) < 3 || fields[0] != "STARTUP" {
		return
	}
	if fields[1] != v.db.name || len(fields) > 3 && fields[3] != v.id {
		_, _ = fmt.Fprintf(c.conn, "ERROR MISROUTED %s\r\n", v.id)
		return
	}
	c.state, c.names = "I", make(map[string]string)
	v.db.mu.Lock()
	position := v.position()
	v.db.mu.Unlock()
	_, _ = fmt.Fprintf(c.conn, "READY I %s\r\n", position)
	for {
		text, ok := c.line()
		if !ok || text == "TERMINATE" {
			return
		}
		rest, isQuery := strings.CutPrefix(text, "QUERY ")
		if !isQuery || !v.awaitLight() {
			return
		}
		id, statement, _ := strings.Cut(rest, " ")
		arrived := time.Now()
		reply := c.answer(id, statement)
		if !v.awaitLight() || !c.write(reply, arrived) {
			return
		}
	}
}

// maxReplies bounds the replies on their way on a connection.
const maxReplies = 1000

// write writes a reply, later by the round trip if there is one. It reports false if the connection has ended.
func (c *serverConn) write(reply string, arrived time.Time) bool {
	if c.server.db.roundTrip == 0 {
		_, err := c.conn.Write([]byte(reply))
		return err == nil
	}
	if c.replies == nil {
		c.replies = make(chan delayedReply, maxReplies)
		go func() {
			for r := range c.replies {
				time.Sleep(time.Until(r.at))
				_, _ = c.conn.Write([]byte(r.text))
			}
		}()
	}
	c.replies <- delayedReply{text: reply, at: arrived.Add(c.server.db.roundTrip)}
	return true
}

// delayedReply is a reply on its way.
type delayedReply struct {
	text string
	at   time.Time
}

// answer runs a statement and returns its reply.
func (c *serverConn) answer(id, statement string) string {
	after := ""
	if rest, ok := strings.CutPrefix(statement, names.After); ok {
		after, statement, _ = strings.Cut(rest, " ")
	}
	word, rest, _ := strings.Cut(statement, " ")
	isWork := word == "READ" || word == "WRITE" || word == "EXECUTE" || word == "COMMIT"
	if isWork {
		time.Sleep(runTime)
	}
	v, db := c.server, c.server.db
	db.mu.Lock()
	defer db.mu.Unlock()
	body := c.run(id, statement, word, rest, after)
	return body + fmt.Sprintf("READY %s %s\r\n", c.state, v.position())
}

func (c *serverConn) fail(code string) string {
	if c.state == "T" {
		c.state = "E"
	}
	return fmt.Sprintf("ERROR %s %s\r\n", code, c.server.id)
}

const done = "COMPLETE -\r\n"

// run executes a statement. The lock is held.
func (c *serverConn) run(id, statement, word, rest, after string) string {
	v, db := c.server, c.server.db
	switch word {
	case "STATUS", "PAUSE", "RESUME", names.StepDown:
		return c.control(word, rest)
	case "RESET":
		clear(c.names)
		return done
	case "SET":
		return done
	case "PREPARE":
		name, shape, _ := strings.Cut(rest, " ")
		c.names[name] = shape
		return done
	case "DEALLOC":
		delete(c.names, rest)
		return done
	case "ROLLBACK":
		c.state, c.wrote = "I", false
		return done
	}
	switch {
	case c.state == "E" && word == "COMMIT":
		c.state = "I"
		return fmt.Sprintf("ERROR ABORTED %s\r\n", v.id)
	case c.state == "E":
		return c.fail("MALFORMED")
	case after != "" && !v.covers(after):
		return c.fail("LAGGING")
	case c.state == "T" && c.plain && (db.leader != v || db.term != c.term) && (word != "COMMIT" || c.wrote):
		if word == "COMMIT" {
			c.state = "I"
		}
		return c.fail(names.NotPrimary)
	}
	return c.runWork(id, statement, word, rest)
}

func (c *serverConn) runWork(id, statement, word, rest string) string {
	v, db := c.server, c.server.db
	writes := word == "WRITE"
	if word == "EXECUTE" {
		name, _, _ := strings.Cut(rest, " ")
		shape, ok := c.names[name]
		if !ok {
			return c.fail(names.NoStatement)
		}
		writes = strings.HasPrefix(shape, "WRITE")
	}
	switch {
	case word == "BEGIN":
		if rest != "READ" && db.leader != v {
			return c.fail(names.NotPrimary)
		}
		c.state, c.plain, c.wrote, c.term = "T", rest != "READ", false, db.term
		return done
	case word == "COMMIT":
		c.state = "I"
		db.ran(v, id, statement)
		if c.wrote && !v.commit(id) {
			return "ERROR TIMEOUT no replica\r\n"
		}
		return db.signed(v)
	case writes && (db.leader != v || c.state == "T" && !c.plain):
		return c.fail(names.NotPrimary)
	case writes && c.state == "T":
		c.wrote = true
		db.ran(v, id, statement)
		return db.signed(v)
	case writes:
		db.ran(v, id, statement)
		if !v.commit(id) {
			return "ERROR TIMEOUT no replica\r\n"
		}
		return db.signed(v)
	case word == "READ" || word == "EXECUTE":
		db.ran(v, id, statement)
		return names.Row + " x\r\n" + db.signed(v)
	default:
		return c.fail("MALFORMED")
	}
}

// ran records a run. The lock is held.
func (db *database) ran(v *server, id, statement string) {
	db.lastRun++
	db.log.add("run at %s: %s %s", v.id, id, statement)
}

func (db *database) signed(v *server) string {
	return fmt.Sprintf("COMPLETE %s.%d\r\n", v.id, db.lastRun)
}

// control runs a command for replication. The lock is held.
func (c *serverConn) control(word, rest string) string {
	v, db := c.server, c.server.db
	term, _ := strconv.Atoi(rest)
	switch {
	case word == "PAUSE" && db.leader != v && term > db.term:
		v.held = max(v.held, term)
	case word == "RESUME":
		v.held = 0
		db.replicate()
	case word == names.StepDown && db.leader == v && db.term < term:
		db.leader, v.entry.role = nil, "replica"
	}
	role := "replica"
	if db.leader == v {
		role = "primary"
	}
	return names.Row + fmt.Sprintf(" %s %d %s %d 0 0 %d\r\n", role, db.term, v.position(), v.held, len(v.conns)) + done
}
