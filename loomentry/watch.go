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
	// watchDelay is how long a request runs before the session looks for the end of its client. Most requests end
	// earlier and need no second goroutine.
	watchDelay = 10 * time.Millisecond
	// cancelGrace is the time after which a request whose client is gone is given up without waiting for the cancel.
	cancelGrace = 2 * time.Second
)

// watches holds the watches that have not started.
var watches = loomwire.NewSharedTimer(watchDelay)

// watch notices that the client is gone while its request runs. It reads ahead, at most one buffer.
type watch struct {
	session *Session
	key     currantloom.RequestKey
	cancel  context.CancelFunc
	start   *loomwire.PendingFunc
	done    chan struct{}

	mu      sync.Mutex
	stopped bool
	giveUp  *time.Timer
}

func (s *Session) watch(key currantloom.RequestKey, cancel context.CancelFunc) *watch {
	w := &watch{session: s, key: key, cancel: cancel, done: make(chan struct{})}
	w.start = watches.AfterFunc(w.run)
	return w
}

func (w *watch) run() {
	defer close(w.done)
	err := w.session.reader.WaitBuffered(readAhead)
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	w.session.server.Gateway.Cancel(w.key)
	w.giveUp = time.AfterFunc(cancelGrace, w.cancel)
}

// stop ends the watch before the session reads again.
func (w *watch) stop() {
	w.mu.Lock()
	w.stopped = true
	if w.giveUp != nil {
		w.giveUp.Stop()
	}
	w.mu.Unlock()
	if w.start.Stop() {
		return
	}
	_ = w.session.conn.SetReadDeadline(time.Now())
	<-w.done
	_ = w.session.conn.SetReadDeadline(time.Time{})
}
