package loompeer

import (
	"context"
	"errors"
	"os"
	"time"

	"currantloom.example/currantloom/loomwire"
)

// watchDelay is how long a request runs before the link is watched. Most requests end earlier and need no second
// goroutine.
const watchDelay = 10 * time.Millisecond

// watches holds the watches that have not started.
var watches = loomwire.NewSharedTimer(watchDelay)

// watch reads a link while its request runs: it passes cancels on, and gives the work up when the entry node has
// closed the link or sent anything else.
type watch struct {
	link   *serverLink
	cancel context.CancelFunc
	start  *loomwire.PendingFunc
	done   chan struct{}
}

func (l *serverLink) watch(cancel context.CancelFunc) *watch {
	w := &watch{link: l, cancel: cancel, done: make(chan struct{})}
	// Without a limit, because the request may run for as long as its deadline says.
	_ = l.conn.SetReadDeadline(time.Time{})
	w.start = watches.AfterFunc(w.run)
	return w
}

func (w *watch) run() {
	defer close(w.done)
	for {
		err := w.link.reader.WaitBuffered(1)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		if err != nil {
			w.cancel()
			return
		}
		// A cancel is so short that it has arrived with its first byte.
		m, err := readHeader(w.link.reader)
		if err != nil || m.Type != frameCancel {
			w.cancel()
			_ = w.link.conn.Close()
			return
		}
		w.link.cancel(m.Number)
	}
}

// stop ends the watch before the next request is read.
func (w *watch) stop() {
	if w.start.Stop() {
		return
	}
	_ = w.link.conn.SetReadDeadline(time.Now())
	<-w.done
}
