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
	// maxQueuedBatches bounds the queue of command batches to be written to a connection.
	maxQueuedBatches = 16
)

// upstreamConn is a connection to an upstream. One goroutine writes to it and another one reads from it.
type upstreamConn struct {
	batches   chan []currantloom.Command
	done      chan struct{}
	closeOnce sync.Once
	// cancelDial ends an attempt to open the connection. Without it an upstream could accept the connection after the
	// reducer has given it up.
	cancelDial context.CancelFunc

	mu sync.Mutex
	// conn is nil until the connection is open.
	conn currantloom.UpstreamConn
	// unwritable says why commands could not be written; empty if they could.
	unwritable string
}

// openConn opens a connection in a new goroutine. The node's lock is held.
func (n *Node) openConn(e loomfleet.OpenConn) {
	ctx, cancel := context.WithTimeout(n.runCtx, connectTimeout)
	c := &upstreamConn{
		batches: make(chan []currantloom.Command, maxQueuedBatches), done: make(chan struct{}), cancelDial: cancel,
	}
	n.conns[e.Conn] = c
	n.tasks.Go(func() {
		defer cancel()
		n.runConn(ctx, e, c)
	})
}

// runConn opens the connection and reads replies until it ends.
func (n *Node) runConn(ctx context.Context, e loomfleet.OpenConn, c *upstreamConn) {
	conn, reply, err := n.config.Dialer.DialUpstream(ctx, e.Upstream, e.Organisation)
	if err != nil {
		n.removeConn(e.Conn, c)
		n.submit(loomfleet.ConnOpened{
			Stamp: n.stamp(), Conn: e.Conn, Failed: true, Refused: errors.Is(err, syscall.ECONNREFUSED),
		})
		return
	}
	if !c.setConn(conn) {
		return
	}
	n.submit(loomfleet.ConnOpened{Stamp: n.stamp(), Conn: e.Conn, Reply: reply})
	n.tasks.Go(func() { c.writeLoop(conn) })
	for {
		reply, err := conn.Receive()
		if err != nil {
			break
		}
		n.submit(loomfleet.ReplyReceived{Stamp: n.stamp(), Conn: e.Conn, Reply: reply})
	}
	c.close()
	n.removeConn(e.Conn, c)
	n.submit(loomfleet.ConnLost{Stamp: n.stamp(), Conn: e.Conn, Unwritable: c.unwritableReason()})
}

func (n *Node) removeConn(id loomfleet.ConnID, c *upstreamConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.conns[id] == c {
		delete(n.conns, id)
	}
}

// setConn sets the open connection. If c was closed in the meantime, it closes the connection and returns false.
func (c *upstreamConn) setConn(conn currantloom.UpstreamConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.done:
		_ = conn.Close()
		return false
	default:
		c.conn = conn
		return true
	}
}

func (c *upstreamConn) writeLoop(conn currantloom.UpstreamConn) {
	for {
		select {
		case <-c.done:
			return
		case commands := <-c.batches:
			if err := conn.Send(commands); err != nil {
				c.closeAfter(err)
				return
			}
		}
	}
}

// closeAfter closes the connection after an error of Send, and keeps the reason if the commands could not be written.
func (c *upstreamConn) closeAfter(err error) {
	if currantloom.IsInput(err) {
		c.mu.Lock()
		c.unwritable = currantloom.MessageOf(err)
		c.mu.Unlock()
	}
	c.close()
}

func (c *upstreamConn) unwritableReason() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unwritable
}

// enqueue queues commands. It closes the connection if the queue is full.
func (c *upstreamConn) enqueue(commands []currantloom.Command) {
	select {
	case c.batches <- commands:
	default:
		c.close()
	}
}

func (c *upstreamConn) close() {
	c.closeOnce.Do(func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		close(c.done)
		c.cancelDial()
		if c.conn != nil {
			_ = c.conn.Close()
		}
	})
}
