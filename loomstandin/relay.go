package loomstandin

import (
	"context"
	"net"
	"sync"
)

// Relay forwards TCP connections to a target and injects faults: it can stall connections, and close them after a
// number of bytes in either direction.
type Relay struct {
	listener   net.Listener
	target     string
	goroutines sync.WaitGroup

	mu            sync.Mutex
	conns         map[net.Conn]struct{}
	accepted      int
	closedByLimit int
	closed        bool
	// resumed is closed at the end of a stall; nil if the relay is not stalled.
	resumed chan struct{}
	// generation is the generation of new connections. Those of earlier generations are stalled until stopped is closed.
	generation int
	stopped    chan struct{}
	// bytesToServer and bytesToClient are the numbers of bytes that may still be forwarded; negative means no limit.
	bytesToServer, bytesToClient int
}

// StartRelay forwards connections on the listener to the target address.
func StartRelay(listener net.Listener, target string) *Relay {
	r := &Relay{
		listener: listener, target: target, conns: make(map[net.Conn]struct{}), stopped: make(chan struct{}),
		bytesToServer: -1, bytesToClient: -1,
	}
	r.goroutines.Go(r.accept)
	return r
}

// Address returns the address the relay listens at.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Accepted returns the number of connections that were forwarded since the start.
func (r *Relay) Accepted() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.accepted
}

// ClosedByLimit returns how often a byte limit closed connections.
func (r *Relay) ClosedByLimit() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closedByLimit
}

// Stall stops or resumes forwarding. Connections stay open, and new ones are accepted and stalled as well.
func (r *Relay) Stall(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case on && r.resumed == nil:
		r.resumed = make(chan struct{})
	case !on && r.resumed != nil:
		close(r.resumed)
		r.resumed = nil
	}
}

// StallOpenConnections permanently stops forwarding on the open connections without closing them. New ones work.
func (r *Relay) StallOpenConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.generation++
}

// CloseAfterBytesToServer closes a connection pair once n more bytes have been forwarded to the server.
func (r *Relay) CloseAfterBytesToServer(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bytesToServer = n
}

// CloseAfterBytesToClient closes a connection pair once n more bytes have been forwarded to the client.
func (r *Relay) CloseAfterBytesToClient(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bytesToClient = n
}

// CloseConnections closes all connections.
func (r *Relay) CloseConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close()
	}
}

// Close stops the relay and waits for its goroutines.
func (r *Relay) Close() error {
	r.mu.Lock()
	if !r.closed {
		close(r.stopped)
	}
	r.closed = true
	r.mu.Unlock()
	err := r.listener.Close()
	r.Stall(false)
	r.CloseConnections()
	r.goroutines.Wait()
	return err
}

func (r *Relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		server, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", r.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		generation, ok := r.register(client, server)
		if !ok {
			continue
		}
		r.goroutines.Go(func() { r.forward(server, client, generation, &r.bytesToServer) })
		r.goroutines.Go(func() { r.forward(client, server, generation, &r.bytesToClient) })
	}
}

// register records a pair of connections and returns their generation, or closes them if the relay is closed.
func (r *Relay) register(conns ...net.Conn) (generation int, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.accepted++
	for _, c := range conns {
		if r.closed {
			_ = c.Close()
			continue
		}
		r.conns[c] = struct{}{}
	}
	return r.generation, !r.closed
}

// forward copies one direction of a connection pair until it ends or the limit is reached, and closes the pair.
func (r *Relay) forward(to, from net.Conn, generation int, limit *int) {
	defer func() {
		_, _ = to.Close(), from.Close()
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.conns, from)
	}()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		allowed, closeAfter := r.awaitForwarding(n, generation, limit)
		if _, writeErr := to.Write(buffer[:allowed]); err != nil || writeErr != nil || closeAfter {
			return
		}
	}
}

// awaitForwarding waits while the connection is stalled. It returns how many of n bytes may be forwarded, and whether
// the limit closes the connection after them.
func (r *Relay) awaitForwarding(n, generation int, limit *int) (allowed int, closeAfter bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for !r.closed && (r.resumed != nil || generation < r.generation) {
		resumed := r.resumed
		if generation < r.generation {
			resumed = r.stopped
		}
		r.mu.Unlock()
		<-resumed
		r.mu.Lock()
	}
	if *limit < 0 || n < *limit {
		if *limit > 0 {
			*limit -= n
		}
		return n, false
	}
	allowed = *limit
	*limit = -1
	r.closedByLimit++
	return allowed, true
}
