package loompeer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"currantloom.example/currantloom"
)

// maxControlConns bounds the open control connections to other nodes. A node pulls rules from one peer per second and
// pushes rules to at most 14 at a time.
const maxControlConns = 16

// backgroundContext is the context of control connections, which end by their deadlines or by Close.
var backgroundContext = context.Background()

// ControlClient calls other nodes by the control protocol and reuses its connections to them. A connection that is idle
// for 30 s is closed. The zero value is ready to use.
type ControlClient struct {
	mu     sync.Mutex
	conns  map[string]*controlConn
	closed bool
}

type controlConn struct {
	rpc      *jsonrpc2.Conn
	lastUsed time.Time
}

var _ currantloom.ControlClient = (*ControlClient)(nil)

// conn returns a connection to the address, open or new.
func (c *ControlClient) conn(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	if rpc := c.openConn(address); rpc != nil {
		return rpc, nil
	}
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, currantloom.ErrUnavailable.Wrap(err, "control connection to %s", address)
	}
	rpc := newControlConn(conn, jsonrpc2.HandlerWithError(rejectCalls))
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = rpc.Close()
		return nil, currantloom.ErrUnavailable.New("control connections are closed")
	}
	c.closeLeastRecentlyUsed()
	if c.conns == nil {
		c.conns = make(map[string]*controlConn)
	}
	if previous := c.conns[address]; previous != nil {
		_ = previous.rpc.Close()
	}
	c.conns[address] = &controlConn{rpc: rpc, lastUsed: time.Now()}
	return rpc, nil
}

// rejectCalls rejects calls from the accepting side, which makes none.
func rejectCalls(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no methods on this side"}
}

// openConn returns the open connection to the address, nil if there is none. A connection that the other side will soon
// close as idle is not used, because a notification on it could be lost.
func (c *ControlClient) openConn(address string) *jsonrpc2.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry := c.conns[address]
	if entry == nil {
		return nil
	}
	select {
	case <-entry.rpc.DisconnectNotify():
		delete(c.conns, address)
		return nil
	default:
	}
	if time.Since(entry.lastUsed) > controlIdleTimeout*2/3 {
		_ = entry.rpc.Close()
		delete(c.conns, address)
		return nil
	}
	entry.lastUsed = time.Now()
	return entry.rpc
}

// closeLeastRecentlyUsed closes the least recently used connection if the limit is reached. The lock is held.
func (c *ControlClient) closeLeastRecentlyUsed() {
	if len(c.conns) < maxControlConns {
		return
	}
	oldest := ""
	for address, entry := range c.conns {
		if oldest == "" || entry.lastUsed.Before(c.conns[oldest].lastUsed) {
			oldest = address
		}
	}
	_ = c.conns[oldest].rpc.Close()
	delete(c.conns, oldest)
}

// discard closes the connection after a failed call, because the peer may be silent.
func (c *ControlClient) discard(address string, rpc *jsonrpc2.Conn) {
	_ = rpc.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if entry := c.conns[address]; entry != nil && entry.rpc == rpc {
		delete(c.conns, address)
	}
}

func (c *ControlClient) call(ctx context.Context, address, method string, params, result any) error {
	rpc, err := c.conn(ctx, address)
	if err != nil {
		return err
	}
	if err := rpc.Call(ctx, method, params, result); err != nil {
		c.discard(address, rpc)
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
		c.discard(address, rpc)
		return currantloom.ErrUnavailable.Wrap(err, "%s to %s", method, address)
	}
	return nil
}

// PushRules sends rules without waiting for an answer.
func (c *ControlClient) PushRules(
	ctx context.Context, address string, from currantloom.VMName, update currantloom.RulesUpdate,
) error {
	return c.notify(ctx, address, methodPush, newPushMessage(from, update))
}

// PullRules asks the node for rules that are newer than the revision.
func (c *ControlClient) PullRules(
	ctx context.Context, address string, from currantloom.VMName, revision currantloom.RulesRevision,
) (currantloom.RulesRevision, *currantloom.RulesUpdate, error) {
	var result pullResult
	m := pullMessage{From: string(from), Revision: uint64(revision)}
	if err := c.call(ctx, address, methodPull, m, &result); err != nil {
		return 0, nil, err
	}
	if result.Update == nil {
		return currantloom.RulesRevision(result.Revision), nil, nil
	}
	update := result.Update.rulesUpdate()
	return currantloom.RulesRevision(result.Revision), &update, nil
}

// Status asks the node for its report.
func (c *ControlClient) Status(ctx context.Context, address string) (currantloom.NodeStatus, error) {
	var m statusMessage
	if err := c.call(ctx, address, methodStatus, struct{}{}, &m); err != nil {
		return currantloom.NodeStatus{}, err
	}
	return m.nodeStatus(), nil
}

// CancelRequest asks the owner of an upstream to cancel a request.
func (c *ControlClient) CancelRequest(ctx context.Context, address string, key currantloom.RequestKey) error {
	return c.notify(ctx, address, methodCancel, cancelMessage{VM: string(key.VM), Number: key.Number})
}

// CancelSession asks a node to cancel the running request of one of its sessions.
func (c *ControlClient) CancelSession(ctx context.Context, address string, pid uint32, secret []byte) error {
	return c.notify(ctx, address, methodCancel, cancelMessage{PID: pid, Secret: secret})
}

// Close closes all connections.
func (c *ControlClient) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, entry := range c.conns {
		_ = entry.rpc.Close()
	}
	c.conns = nil
	return nil
}
