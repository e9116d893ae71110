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
	// limits are the bytes that still pass towards the server and the client; negative means no limit.
	toServer, toClient int
}

// StartRelay forwards connections on the listener to the target address.
func StartRelay(listener net.Listener, target string) *Relay {
	r := &Relay{listener: listener, target: target, conns: make(map[net.Conn]struct{}), toServer: -1, toClient: -1}
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

// Cuts returns the number of connections that were closed after a number of bytes.
func (r *Relay) Cuts() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cuts
}

// Silence stops forwarding while the connections stay open; new ones are accepted and stay silent as well.
func (r *Relay) Silence(on bool) {
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

// CutToServer closes the connections after n more bytes were sent towards the server.
func (r *Relay) CutToServer(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.toServer = n
}

// CutToClient closes the connections after n more bytes were sent towards the client.
func (r *Relay) CutToClient(n int) {
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
	r.closed = true
	r.mu.Unlock()
	err := r.listener.Close()
	r.Silence(false)
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
		if err != nil || !r.add(client, server) {
			_ = client.Close()
			continue
		}
		r.goroutines.Go(func() { r.forward(server, client, &r.toServer) })
		r.goroutines.Go(func() { r.forward(client, server, &r.toClient) })
	}
}

func (r *Relay) add(conns ...net.Conn) bool {
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
	return !r.closed
}

// forward copies one direction until it ends or reaches the limit.
func (r *Relay) forward(to, from net.Conn, limit *int) {
	defer func() {
		_, _ = to.Close(), from.Close()
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.conns, from)
	}()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		pass, cut := r.take(n, limit)
		if _, writeErr := to.Write(buffer[:pass]); err != nil || writeErr != nil || cut {
			return
		}
	}
}

// take returns how many of n bytes pass and whether the connection is to be cut after them.
func (r *Relay) take(n int, limit *int) (pass int, cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.resumed != nil && !r.closed {
		resumed := r.resumed
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
