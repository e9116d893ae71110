package main

import (
	"io"
	"net"
	"sync"
	"testing"
)

// relay forwards TCP connections to a target and can be cut.
type relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	free  *sync.Cond
	cut   bool
	conns map[*relayed]bool
}

// relayed is one forwarded connection; a silent one forwards nothing any more, and neither end is told.
type relayed struct {
	client, server net.Conn
	silent         bool
}

func startRelay(t *testing.T, target string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: listener, target: target, conns: make(map[*relayed]bool)}
	r.free = sync.NewCond(&r.mu)
	go r.accept()
	t.Cleanup(r.close)
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(client)
	}
}

func (r *relay) forward(client net.Conn) {
	c := &relayed{client: client}
	r.wait(c)
	server, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = client.Close()
		return
	}
	c.server = server
	r.mu.Lock()
	r.conns[c] = true
	r.mu.Unlock()
	var done sync.WaitGroup
	done.Go(func() { r.copy(c, server, client) })
	done.Go(func() { r.copy(c, client, server) })
	done.Wait()
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
}

// copy forwards one direction. A cut holds the bytes back until it ends.
func (r *relay) copy(c *relayed, to, from net.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		r.wait(c)
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = to.(interface{ CloseWrite() error }).CloseWrite()
	_, _ = io.Copy(io.Discard, from)
	_ = to.Close()
}

// wait returns once the connection may forward.
func (r *relay) wait(c *relayed) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.cut || c.silent {
		r.free.Wait()
	}
}

func (r *relay) setCut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
	r.free.Broadcast()
}

// silence makes the open connections silent for good; new ones work.
func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.silent = true
	}
}

// close ends all connections.
func (r *relay) close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = false
	for c := range r.conns {
		c.silent = false
		_ = c.client.Close()
		_ = c.server.Close()
	}
	r.free.Broadcast()
}
