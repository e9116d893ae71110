package loomserver

import (
	"context"
	"sync"

	"currantloom.example/currantloom"
)

// lease is one use of a connection. It ends with the first Release: a later cancel, for example one that was delayed,
// does not reach whoever uses the connection next.
type lease struct {
	*Conn

	mu       sync.Mutex
	released bool
}

// Run sends the work and passes the response on.
func (l *lease) Run(
	ctx context.Context, w currantloom.PostgresRequest, out currantloom.ResponseWriter,
) currantloom.PostgresResult {
	l.mu.Lock()
	released := l.released
	l.mu.Unlock()
	if released {
		err := currantloom.NewRequestError(currantloom.NotRun, currantloom.SQLStateConnectionFailure, 0,
			"connection to server %s was released", l.pool.server.Name())
		return currantloom.PostgresResult{
			Verdict: currantloom.NotRun, Code: currantloom.SQLStateConnectionFailure, Err: err,
			TransactionStatus: currantloom.TransactionIdle,
		}
	}
	return l.Conn.Run(ctx, w, out)
}

// Cancel asks the server to cancel what runs on the connection.
func (l *lease) Cancel(ctx context.Context) error {
	l.mu.Lock()
	begun := !l.released && l.beginCancel()
	l.mu.Unlock()
	if !begun {
		return nil
	}
	return l.finishCancel(ctx)
}

// Release ends the use.
func (l *lease) Release() {
	l.mu.Lock()
	released := l.released
	l.released = true
	l.mu.Unlock()
	if !released {
		l.Conn.Release()
	}
}
