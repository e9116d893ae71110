package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// node is a process of currantloom.
type node struct {
	binary, dir, name, ip string
	ports                 [3]int
	command               *exec.Cmd
	ended                 chan struct{}
}

// newNode writes the settings of a node, like those that `fleetbench wire` prints.
func newNode(binary, dir, name, ip, zone, cloud string, s *store, seeds func() []string) (*node, error) {
	n := &node{binary: binary, dir: dir, name: name, ip: ip}
	for i := range n.ports {
		port, err := freePort(ip)
		if err != nil {
			return nil, err
		}
		n.ports[i] = port
	}
	text := fill(settingsFile, "NODE", name, "IP", ip, "ZONE", zone, "PORT1", strconv.Itoa(n.ports[0]), "PORT2",
		strconv.Itoa(n.ports[1]), "PORT3", strconv.Itoa(n.ports[2]), "SEEDS", strings.Join(seeds(), ", "),
		"STORE", s.address, "CLOUD", cloud)
	return n, os.WriteFile(n.settings(), []byte(text), 0o600)
}

func (n *node) settings() string { return filepath.Join(n.dir, n.name+".yaml") }

func (n *node) clientAddress() string { return fmt.Sprintf("%s:%d", n.ip, n.ports[0]) }

func (n *node) start() error {
	log, err := os.OpenFile(filepath.Join(n.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	//nolint:gosec // The caller names the program to test.
	n.command = exec.CommandContext(context.Background(), n.binary, "platform")
	n.command.Env = append(os.Environ(), names.SettingsVariable+"="+n.settings())
	n.command.Stdout, n.command.Stderr = log, log
	if err := n.command.Start(); err != nil {
		return err
	}
	ended, command := make(chan struct{}), n.command
	n.ended = ended
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	return nil
}

func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	<-n.ended
}

func (n *node) signal(s syscall.Signal) { _ = n.command.Process.Signal(s) }

// isReady asks as the platform's load balancer does.
func (n *node) isReady() bool {
	c := http.Client{Timeout: time.Second}
	//nolint:gosec,noctx // The address is that of a process of this case, and the client has a timeout.
	r, err := c.Get(fmt.Sprintf("http://%s:%d%s", n.ip, n.ports[1], names.ReadyPath))
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// outcome is what became of an operation.
type outcome struct {
	at     time.Duration
	id     string
	text   string
	result string
	served bool
}

// clients sends operations, each in a session of its own, at a steady rate.
type clients struct {
	log      *record
	database string
	nodes    []*node
	lastID   atomic.Uint64
	stopped  atomic.Bool
	// key is the key of the sessions.
	key atomic.Value

	mu       sync.Mutex
	outcomes []outcome
}

func newClients(log *record) *clients {
	c := &clients{log: log, database: databaseName}
	c.key.Store("key")
	return c
}

const clientDeadline = 3 * time.Second

// send sends an operation, of one statement or more, to a node and records what became of it. Retries are operations of
// their own here.
func (c *clients) send(n *node, texts ...string) {
	o := outcome{at: c.log.now(), id: fmt.Sprintf("%016x", 0xabc0000000+c.lastID.Add(1)), text: strings.Join(texts, "; ")}
	o.result = c.operate(n, o, texts)
	o.served = strings.HasPrefix(o.result, "COMPLETE ") && o.result != "COMPLETE -"
	c.log.add("sent at %.3f to %s: %s %s -> %s", o.at.Seconds(), n.name, o.id, o.text, o.result)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, o)
}

// operate runs the statements in a session of its own and returns the answer to the last one, or the first failure.
func (c *clients) operate(n *node, o outcome, texts []string) string {
	conn, err := dial(n.clientAddress())
	if err != nil {
		return "no connection"
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(clientDeadline))
	in := bufio.NewReader(conn)
	_, _ = fmt.Fprintf(conn, "STARTUP %s %v\r\n", c.database, c.key.Load())
	first, err := in.ReadString('\n')
	if err != nil || !strings.HasPrefix(first, "READY ") {
		return "startup: " + strings.TrimSpace(first)
	}
	result := ""
	for i, text := range texts {
		id := o.id
		if i < len(texts)-1 {
			id = fmt.Sprintf("%s-%d", o.id, i)
		}
		if result = ask(conn, in, id, text); !strings.HasPrefix(result, "COMPLETE ") {
			return result
		}
	}
	_, _ = fmt.Fprint(conn, "TERMINATE\r\n")
	return result
}

// ask sends a statement and returns its answer without the rows.
func ask(conn net.Conn, in *bufio.Reader, id, text string) string {
	_, _ = fmt.Fprintf(conn, "QUERY %s %s\r\n", id, text)
	result := ""
	for {
		line, err := in.ReadString('\n')
		switch {
		case err != nil:
			return "no answer"
		case strings.HasPrefix(line, "READY "):
			return result
		case !strings.HasPrefix(line, names.Row):
			result = strings.TrimSpace(line)
		}
	}
}

// run sends operations to the nodes in turn until the time of the record.
func (c *clients) run(until, pause time.Duration, texts ...string) {
	var sent sync.WaitGroup
	for i := 0; c.log.now() < until && !c.stopped.Load(); i++ {
		n, text := c.nodes[i%len(c.nodes)], texts[i%len(texts)]
		sent.Go(func() { c.send(n, text) })
		time.Sleep(pause)
	}
	sent.Wait()
}

// all returns the outcomes so far.
func (c *clients) all() []outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.outcomes)
}
