package loompeer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"currantloom.example/currantloom"
)

// maxControlConns bounds the open control connections to other nodes. A node asks one peer per second and pushes to
// at most 14 at a time.
const maxControlConns = 16

// background is the context of connections, which end by their deadlines and by Close.
var background = context.Background()

// ControlClient keeps control connections to other nodes. A connection that is idle for 30 s is closed. The zero
// value is ready for use.
type ControlClient struct {
	mu     sync.Mutex
	conns  map[string]*clientConn
	closed bool
}

type clientConn struct {
	rpc    *jsonrpc2.Conn
	usedAt time.Time
}

var _ currantloom.ControlClient = (*ControlClient)(nil)

// conn returns the connection to the address, new if there is none.
func (c *ControlClient) conn(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	if rpc := c.open(address); rpc != nil {
		return rpc, nil
	}
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, currantloom.ErrUnavailable.Wrap(err, "control connection to %s", address)
	}
	rpc := newControlConn(conn, jsonrpc2.HandlerWithError(refuseCalls))
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = rpc.Close()
		return nil, currantloom.ErrUnavailable.New("control connections are closed")
	}
	c.makeRoom()
	if c.conns == nil {
		c.conns = make(map[string]*clientConn)
	}
	if other := c.conns[address]; other != nil {
		_ = other.rpc.Close()
	}
	c.conns[address] = &clientConn{rpc: rpc, usedAt: time.Now()}
	return rpc, nil
}

// refuseCalls answers calls of the accepting side, which makes none.
func refuseCalls(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no methods on this side"}
}

// open returns the open connection to the address, nil if there is none. One that will soon be closed as idle by the
// other side is not used, because a notification on it could be lost.
func (c *ControlClient) open(address string) *jsonrpc2.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.conns[address]
	if e == nil {
		return nil
	}
	select {
	case <-e.rpc.DisconnectNotify():
		delete(c.conns, address)
		return nil
	default:
	}
	if time.Since(e.usedAt) > controlIdle*2/3 {
		_ = e.rpc.Close()
		delete(c.conns, address)
		return nil
	}
	e.usedAt = time.Now()
	return e.rpc
}

// makeRoom closes the connection that was not used for the longest time if there are too many.
func (c *ControlClient) makeRoom() {
	if len(c.conns) < maxControlConns {
		return
	}
	oldest := ""
	for address, e := range c.conns {
		if oldest == "" || e.usedAt.Before(c.conns[oldest].usedAt) {
			oldest = address
		}
	}
	_ = c.conns[oldest].rpc.Close()
	delete(c.conns, oldest)
}

// drop closes the connection after a failed call, because it may be silent.
func (c *ControlClient) drop(address string, rpc *jsonrpc2.Conn) {
	_ = rpc.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.conns[address]; e != nil && e.rpc == rpc {
		delete(c.conns, address)
	}
}

func (c *ControlClient) call(ctx context.Context, address, method string, params, result any) error {
	rpc, err := c.conn(ctx, address)
	if err != nil {
		return err
	}
	if err := rpc.Call(ctx, method, params, result); err != nil {
		c.drop(address, rpc)
		return currantloom.ErrUnavailable.Wrap(err, "%s at %s", method, address)
	}
	return nil
}

func (c *ControlClient) notify(ctx context.Context, address, method string, params any) error {
	rpc, err := c.conn(ctx, address)
	if err != nil {
		return err
	}
	if err := rpc.Notify(ctx, method, params); err != nil {
		c.drop(address, rpc)
		return currantloom.ErrUnavailable.Wrap(err, "%s to %s", method, address)
	}
	return nil
}

// PushRules sends rules without waiting for an answer.
func (c *ControlClient) PushRules(
	ctx context.Context, address string, from currantloom.VMName, u currantloom.RulesUpdate,
) error {
	return c.notify(ctx, address, methodPush, newPushMessage(from, u))
}

// PullRules asks for newer rules.
func (c *ControlClient) PullRules(
	ctx context.Context, address string, from currantloom.VMName, revision currantloom.RulesRevision,
) (currantloom.RulesRevision, *currantloom.RulesUpdate, error) {
	var a pullAnswer
	m := pullMessage{From: string(from), Revision: uint64(revision)}
	if err := c.call(ctx, address, methodPull, m, &a); err != nil {
		return 0, nil, err
	}
	if a.Update == nil {
		return currantloom.RulesRevision(a.Revision), nil, nil
	}
	u := a.Update.update()
	return currantloom.RulesRevision(a.Revision), &u, nil
}

// Status asks for a node's report.
func (c *ControlClient) Status(ctx context.Context, address string) (currantloom.NodeStatus, error) {
	var m statusMessage
	if err := c.call(ctx, address, methodStatus, struct{}{}, &m); err != nil {
		return currantloom.NodeStatus{}, err
	}
	return m.status(), nil
}

// CancelRequest asks a carrier to give up work.
func (c *ControlClient) CancelRequest(ctx context.Context, address string, key currantloom.RequestKey) error {
	return c.notify(ctx, address, methodCancel, cancelMessage{VM: string(key.VM), Number: key.Number})
}

// CancelSession asks a node to give up what a session runs.
func (c *ControlClient) CancelSession(ctx context.Context, address string, pid uint32, secret []byte) error {
	return c.notify(ctx, address, methodCancel, cancelMessage{PID: pid, Secret: secret})
}

// Close closes all connections.
func (c *ControlClient) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, e := range c.conns {
		_ = e.rpc.Close()
	}
	c.conns = nil
	return nil
}
