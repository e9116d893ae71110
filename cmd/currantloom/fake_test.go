package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomcore"
	"currantloom.example/currantloom/loomentry"
	"currantloom.example/currantloom/loomnode"
)

const benchDatabase = "wheel-core-1"

// fakeGroup is a database group whose servers share one state, so replicas never lag. It serves as the baseline of the
// benchmarks and knows four statements: sleep, insert, select and the transaction commands.
type fakeGroup struct {
	mu        sync.Mutex
	position  int
	inserted  map[string]int
	cancels   map[uint32]chan struct{}
	lastPID   uint32
	cancelled int
}

func (g *fakeGroup) serve(listener net.Listener, role string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go (&fakeConn{group: g, role: role, conn: conn, status: 'I'}).serve()
	}
}

func (g *fakeGroup) report() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return fmt.Sprintf("1/1/%d/3", g.position)
}

func (g *fakeGroup) count(id string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inserted[id]
}

func (g *fakeGroup) cancelCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cancelled
}

type fakeConn struct {
	group   *fakeGroup
	role    string
	conn    net.Conn
	b       *pgproto3.Backend
	pid     uint32
	status  byte
	unnamed string
	skip    bool
	pending []string
}

func (c *fakeConn) serve() {
	defer func() { _ = c.conn.Close() }()
	c.b = pgproto3.NewBackend(c.conn, c.conn)
	m, err := c.b.ReceiveStartupMessage()
	if err != nil {
		return
	}
	if cancel, ok := m.(*pgproto3.CancelRequest); ok {
		c.group.cancel(cancel.ProcessID)
		return
	}
	c.pid = c.group.register()
	c.b.Send(&pgproto3.AuthenticationOk{})
	c.b.Send(&pgproto3.BackendKeyData{ProcessID: c.pid, SecretKey: []byte{0, 0, 0, 1}})
	c.ready()
	for c.b.Flush() == nil {
		m, err := c.b.Receive()
		if err != nil || !c.message(m) {
			return
		}
	}
}

func (g *fakeGroup) register() uint32 {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastPID++
	if g.cancels == nil {
		g.cancels, g.inserted = make(map[uint32]chan struct{}), make(map[string]int)
	}
	g.cancels[g.lastPID] = make(chan struct{}, 1)
	return g.lastPID
}

func (g *fakeGroup) cancel(pid uint32) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cancelled++
	select {
	case g.cancels[pid] <- struct{}{}:
	default:
	}
}

func (c *fakeConn) ready() {
	if c.status == 'I' {
		c.b.Send(&pgproto3.ParameterStatus{Name: "group_position", Value: c.group.report()})
	}
	c.b.Send(&pgproto3.ReadyForQuery{TxStatus: c.status})
}

func (c *fakeConn) message(m pgproto3.FrontendMessage) bool {
	if _, ok := m.(*pgproto3.Sync); ok {
		c.skip = false
		c.ready()
		return true
	}
	if c.skip {
		return true
	}
	switch m := m.(type) {
	case *pgproto3.Query:
		c.query(m.String)
		c.skip = false
		c.ready()
	case *pgproto3.Parse:
		c.unnamed = m.Query
		c.b.Send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		c.b.Send(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		if m.ObjectType == 'S' {
			oids := []uint32{}
			for range strings.Count(c.unnamed, "$") {
				oids = append(oids, 25)
			}
			c.b.Send(&pgproto3.ParameterDescription{ParameterOIDs: oids})
		}
		c.describe(c.unnamed)
	case *pgproto3.Execute:
		c.run(c.unnamed)
	case *pgproto3.Terminate:
		return false
	}
	return true
}

func (c *fakeConn) describe(sql string) {
	if !strings.HasPrefix(strings.ToLower(sql), "select") {
		c.b.Send(&pgproto3.NoData{})
		return
	}
	c.b.Send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("v"), DataTypeOID: 25}}})
}

var (
	sleepCall  = regexp.MustCompile(`sleep\((\d+)\)`)
	insertText = regexp.MustCompile(`(?i)^insert into orders values \('([^']*)'`)
)

func (c *fakeConn) query(sql string) {
	switch {
	case strings.Contains(sql, "group_status"):
		c.rows(c.role, "1", "1", "1", strings.Split(c.group.report(), "/")[2], "0")
	case strings.Contains(sql, "group_confirm"):
		c.rows(strings.Split(c.group.report(), "/")...)
	default:
		for _, statement := range strings.Split(sql, "; ") {
			if strings.HasPrefix(strings.ToLower(statement), "select") {
				c.describe(statement)
			}
			c.run(statement)
		}
	}
}

func (c *fakeConn) rows(values ...string) {
	var fields []pgproto3.FieldDescription
	var data [][]byte
	for _, v := range values {
		fields = append(fields, pgproto3.FieldDescription{Name: []byte("v"), DataTypeOID: 25})
		data = append(data, []byte(v))
	}
	c.b.Send(&pgproto3.RowDescription{Fields: fields})
	c.b.Send(&pgproto3.DataRow{Values: data})
	c.b.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
}

func (c *fakeConn) run(sql string) {
	lower := strings.ToLower(sql)
	switch {
	case strings.HasPrefix(lower, "begin"):
		c.status = 'T'
	case lower == "commit" || lower == "rollback":
		if lower == "commit" {
			c.insert(c.pending)
		}
		c.pending, c.status = nil, 'I'
	case strings.HasPrefix(lower, "insert"):
		c.sleep(sql)
		id := insertText.FindStringSubmatch(sql)[1]
		if c.status == 'T' {
			c.pending = append(c.pending, id)
		} else {
			c.insert([]string{id})
		}
	case strings.HasPrefix(lower, "select"):
		if !c.sleep(sql) {
			c.b.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: "57014", Message: "cancelled"})
			c.skip = true
			return
		}
		c.b.Send(&pgproto3.DataRow{Values: [][]byte{[]byte("wheel")}})
	}
	c.b.Send(&pgproto3.CommandComplete{CommandTag: []byte(strings.ToUpper(strings.Fields(sql + " SET")[0]))})
}

func (c *fakeConn) insert(ids []string) {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	for _, id := range ids {
		c.group.inserted[id]++
		c.group.position++
	}
}

// sleep waits as the statement says and reports false if it was cancelled.
func (c *fakeConn) sleep(sql string) bool {
	m := sleepCall.FindStringSubmatch(sql)
	if m == nil {
		return true
	}
	d, _ := time.ParseDuration(m[1] + "ms")
	c.group.mu.Lock()
	cancelled := c.group.cancels[c.pid]
	c.group.mu.Unlock()
	select {
	case <-time.After(d):
		return true
	case <-cancelled:
		return false
	}
}

// listen opens n listeners on free ports.
func listen(t testing.TB, n int) []net.Listener {
	t.Helper()
	var listeners []net.Listener
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, l)
		t.Cleanup(func() { _ = l.Close() })
	}
	return listeners
}

// startFakeGroup starts a group of three servers; the first is the primary.
func startFakeGroup(t testing.TB) (*fakeGroup, []string) {
	t.Helper()
	g := &fakeGroup{}
	var addresses []string
	for i, l := range listen(t, 3) {
		role := "replica"
		if i == 0 {
			role = "primary"
		}
		go g.serve(l, role)
		addresses = append(addresses, l.Addr().String())
	}
	return g, addresses
}

// fixedVMs is a VM list that never changes.
type fixedVMs []currantloom.VM

func (f fixedVMs) VMs(ctx context.Context, after uint64) (currantloom.VMSet, error) {
	if after > 0 {
		<-ctx.Done()
		return currantloom.VMSet{}, ctx.Err()
	}
	return currantloom.VMSet{VMs: f, Index: 1}, nil
}

// nodePlace puts the first node into the failure domain of the servers, so that it carries them.
func nodePlace(i int) currantloom.Place {
	if i == 0 {
		return currantloom.NewPlace("ost", "ost-linz")
	}
	return currantloom.NewPlace("ost", "ost-steyr")
}

// startNodes starts nodes in this process and returns them with the addresses for clients.
func startNodes(t testing.TB, n int, servers []string) ([]*loomnode.Node, []string) {
	t.Helper()
	var group []currantloom.Server
	for i, address := range servers {
		name := currantloom.ServerName(fmt.Sprintf("%s-%c", benchDatabase, 'a'+i))
		group = append(group, currantloom.NewServer(name, benchDatabase, address, nodePlace(0)))
	}
	credentials := &loomentry.Credentials{}
	if err := credentials.Add("steyr", "secret"); err != nil {
		t.Fatal(err)
	}
	callers, links := listen(t, n), listen(t, n)
	var vms fixedVMs
	for i := range n {
		vms = append(vms, currantloom.NewVM(vmName(i), nodePlace(i), links[i].Addr().String(), "", currantloom.VMLive))
	}
	var nodes []*loomnode.Node
	var addresses []string
	for i := range n {
		node := loomnode.New(loomnode.Config{
			Core: loomcore.Config{Self: vmName(i), Place: nodePlace(i), Databases: []currantloom.Database{
				currantloom.NewDatabase(benchDatabase, 16, 100, group),
			}},
			Credentials: credentials, ServerUser: "currantloom", Callers: callers[i], Links: links[i], VMs: vms,
			DrainInterval: 50 * time.Millisecond, Log: io.Discard,
		})
		done := make(chan error, 1)
		go func() { done <- node.Run(context.Background()) }()
		t.Cleanup(func() {
			_ = node.Close()
			if err := <-done; err != nil {
				t.Errorf("node ended with %v", err)
			}
		})
		nodes = append(nodes, node)
		addresses = append(addresses, callers[i].Addr().String())
	}
	return nodes, addresses
}

func vmName(i int) currantloom.VMName { return currantloom.VMName(fmt.Sprintf("vm-%d", i+1)) }

// connectConfig is the client configuration of caller steyr.
func connectConfig(t testing.TB, address string) *pgx.ConnConfig {
	t.Helper()
	config, err := pgx.ParseConfig("postgres://steyr:secret@" + address + "/" + benchDatabase + "?sslmode=disable")
	if err != nil {
		t.Fatal(err)
	}
	return config
}
