package loomhost

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomfleet"
)

const (
	// connectTimeout bounds the opening of a connection to an upstream.
	connectTimeout = time.Second
	// maxBatches bounds the batches of commands that wait to be written.
	maxBatches = 16
)

// conn is the runtime side of a connection to an upstream. One goroutine writes, another one reads.
type conn struct {
	batches chan []currantloom.Command
	done    chan struct{}
	once    sync.Once

	mu       sync.Mutex
	upstream currantloom.UpstreamConn
}

// openConn starts the goroutines of a connection.
func (n *Node) openConn(e loomfleet.OpenConn) {
	c := &conn{batches: make(chan []currantloom.Command, maxBatches), done: make(chan struct{})}
	n.conns[e.Conn] = c
	n.tasks.Go(func() { n.runConn(e, c) })
}

func (n *Node) runConn(e loomfleet.OpenConn, c *conn) {
	ctx, cancel := context.WithTimeout(n.background, connectTimeout)
	defer cancel()
	upstream, reply, err := n.config.Dialer.DialUpstream(ctx, e.Upstream)
	if err != nil {
		n.forgetConn(e.Conn, c)
		n.post(loomfleet.ConnOpened{
			Stamp: n.stamp(), Conn: e.Conn, Failed: true, Refused: errors.Is(err, syscall.ECONNREFUSED),
		})
		return
	}
	if !c.attach(upstream) {
		return
	}
	n.post(loomfleet.ConnOpened{Stamp: n.stamp(), Conn: e.Conn, Reply: reply})
	n.tasks.Go(func() { c.write(upstream) })
	for {
		reply, err := upstream.Receive()
		if err != nil {
			break
		}
		n.post(loomfleet.ReplyReceived{Stamp: n.stamp(), Conn: e.Conn, Reply: reply})
	}
	c.close()
	n.forgetConn(e.Conn, c)
	n.post(loomfleet.ConnLost{Stamp: n.stamp(), Conn: e.Conn})
}

func (n *Node) forgetConn(id loomfleet.ConnID, c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.conns[id] == c {
		delete(n.conns, id)
	}
}

// attach gives the connection its upstream; if it was closed meanwhile the upstream is closed too.
func (c *conn) attach(upstream currantloom.UpstreamConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.done:
		_ = upstream.Close()
		return false
	default:
		c.upstream = upstream
		return true
	}
}

func (c *conn) write(upstream currantloom.UpstreamConn) {
	for {
		select {
		case <-c.done:
			return
		case commands := <-c.batches:
			if upstream.Send(commands) != nil {
				c.close()
				return
			}
		}
	}
}

// send queues commands. A connection that takes none is closed.
func (c *conn) send(commands []currantloom.Command) {
	select {
	case c.batches <- commands:
	default:
		c.close()
	}
}

func (c *conn) close() {
	c.once.Do(func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		close(c.done)
		if c.upstream != nil {
			_ = c.upstream.Close()
		}
	})
}
