package loomserver

import (
	"context"
	"sync"

	"currantloom.example/currantloom"
)

// acquiredConn is a connection between Acquire and Release. After the first Release it does nothing, so that a delayed
// cancel does not affect the next request or transaction on the connection.
type acquiredConn struct {
	*Conn

	mu       sync.Mutex
	released bool
}

// Run sends the request and forwards the response.
func (c *acquiredConn) Run(
	ctx context.Context, request currantloom.PostgresRequest, out currantloom.ResponseWriter,
) currantloom.PostgresResult {
	c.mu.Lock()
	released := c.released
	c.mu.Unlock()
	if released {
		err := currantloom.NewRequestError(currantloom.NotRun, currantloom.SQLStateConnectionFailure, 0,
			"connection to server %s was released", c.pool.upstream.Name())
		return currantloom.PostgresResult{
			Verdict: currantloom.NotRun, Code: currantloom.SQLStateConnectionFailure, Err: err,
			TransactionStatus: currantloom.TransactionIdle,
		}
	}
	return c.Conn.Run(ctx, request, out)
}

// Cancel asks the upstream to cancel the request that runs on the connection.
func (c *acquiredConn) Cancel(ctx context.Context) error {
	c.mu.Lock()
	begun := !c.released && c.beginCancel()
	c.mu.Unlock()
	if !begun {
		return nil
	}
	return c.finishCancel(ctx)
}

// Release releases the connection once; further calls do nothing.
func (c *acquiredConn) Release() {
	c.mu.Lock()
	released := c.released
	c.released = true
	c.mu.Unlock()
	if !released {
		c.Conn.Release()
	}
}
