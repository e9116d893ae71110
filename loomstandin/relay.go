package loomstandin

import (
	"context"
	"net"
	"sync"
)

// Relay forwards TCP connections to a target and injects faults: silence, and the loss of the connections after a
// number of bytes in either direction.
type Relay struct {
	listener   net.Listener
	target     string
	goroutines sync.WaitGroup

	mu       sync.Mutex
	conns    map[net.Conn]struct{}
	accepted int
	cuts     int
	closed   bool
	// resumed is closed at the end of a silence; nil without one.
	resumed chan struct{}
	// Connections of an earlier generation are silent until stopped is closed.
	generation int
	stopped    chan struct{}
	// limits are the bytes that still pass towards the server and the client; negative means no limit.
	toServer, toClient int
}

// StartRelay forwards connections on the listener to the target address.
func StartRelay(listener net.Listener, target string) *Relay {
	r := &Relay{
		listener: listener, target: target, conns: make(map[net.Conn]struct{}), stopped: make(chan struct{}),
		toServer: -1, toClient: -1,
	}
	r.goroutines.Go(r.accept)
	return r
}

// Address returns the address the relay listens at.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Accepted returns the number of connections since the start.
func (r *Relay) Accepted() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.accepted
}

// ClosedByLimit returns the number of connections that were closed after a number of bytes.
func (r *Relay) ClosedByLimit() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cuts
}

// Stall stops forwarding while the connections stay open; new ones are accepted and stay silent as well.
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

// StallOpenConnections makes the open connections silent for good, without an end; new ones work.
func (r *Relay) StallOpenConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.generation++
}

// CloseAfterBytesToServer closes the connections after n more bytes were sent towards the server.
func (r *Relay) CloseAfterBytesToServer(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.toServer = n
}

// CloseAfterBytesToClient closes the connections after n more bytes were sent towards the client.
func (r *Relay) CloseAfterBytesToClient(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.toClient = n
}

// CloseConnections closes all connections.
func (r *Relay) CloseConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close()
	}
}

// Close stops the relay and waits for it.
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
		generation, ok := r.add(client, server)
		if !ok {
			continue
		}
		r.goroutines.Go(func() { r.forward(server, client, generation, &r.toServer) })
		r.goroutines.Go(func() { r.forward(client, server, generation, &r.toClient) })
	}
}

// add notes a pair of connections and returns their generation, or closes them if the relay is closed.
func (r *Relay) add(conns ...net.Conn) (generation int, ok bool) {
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

// forward copies one direction until it ends or reaches the limit.
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
		pass, cut := r.take(n, generation, limit)
		if _, writeErr := to.Write(buffer[:pass]); err != nil || writeErr != nil || cut {
			return
		}
	}
}

// take returns how many of n bytes pass and whether the connection is to be cut after them.
func (r *Relay) take(n, generation int, limit *int) (pass int, cut bool) {
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
	pass = *limit
	*limit = -1
	r.cuts++
	return pass, true
}
