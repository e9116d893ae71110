package loomentry

import (
	"context"
	"errors"
	"os"
	"sync"
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomwire"
)

const (
	// watchDelay is the time that a request runs before the session starts to watch for a disconnected client. Most
	// requests end earlier and need no second goroutine.
	watchDelay = 10 * time.Millisecond
	// cancelGracePeriod is the time that a request has to end after its cancel, when its client has disconnected. Then
	// its context is cancelled.
	cancelGracePeriod = 2 * time.Second
)

// watchTimer starts the watches of all sessions.
var watchTimer = loomwire.NewSharedTimer(watchDelay)

// clientWatch cancels a running request when its client disconnects. To detect that, it reads ahead at most one buffer.
type clientWatch struct {
	session *Session
	key     currantloom.RequestKey
	cancel  context.CancelFunc
	pending *loomwire.PendingFunc
	done    chan struct{}

	mu          sync.Mutex
	stopped     bool
	cancelTimer *time.Timer
}

func (s *Session) watchClient(key currantloom.RequestKey, cancel context.CancelFunc) *clientWatch {
	w := &clientWatch{session: s, key: key, cancel: cancel, done: make(chan struct{})}
	w.pending = watchTimer.AfterFunc(w.awaitDisconnect)
	return w
}

func (w *clientWatch) awaitDisconnect() {
	defer close(w.done)
	err := w.session.reader.WaitBuffered(readBufferSize)
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	w.session.server.Gateway.Cancel(w.key)
	w.cancelTimer = time.AfterFunc(cancelGracePeriod, w.cancel)
}

// stop ends the watch. It must return before the session reads again.
func (w *clientWatch) stop() {
	w.mu.Lock()
	w.stopped = true
	if w.cancelTimer != nil {
		w.cancelTimer.Stop()
	}
	w.mu.Unlock()
	if w.pending.Stop() {
		return
	}
	_ = w.session.conn.SetReadDeadline(time.Now())
	<-w.done
	_ = w.session.conn.SetReadDeadline(time.Time{})
}
