package loompeer

import (
	"context"
	"errors"
	"os"
	"time"

	"currantloom.example/currantloom/loomwire"
)

// watchDelay is the time that a request runs before the link is watched. Most requests end earlier and need no second
// goroutine.
const watchDelay = 10 * time.Millisecond

// watchTimer starts the watches of all links.
var watchTimer = loomwire.NewSharedTimer(watchDelay)

// linkWatch reads a link while its request runs. It executes cancels, and ends the request when the entry node closes
// the link or sends anything else.
type linkWatch struct {
	link    *serverLink
	cancel  context.CancelFunc
	pending *loomwire.PendingFunc
	done    chan struct{}
}

func (l *serverLink) watchLink(cancel context.CancelFunc) *linkWatch {
	w := &linkWatch{link: l, cancel: cancel, done: make(chan struct{})}
	// No read deadline, because the request may run until its own deadline.
	_ = l.conn.SetReadDeadline(time.Time{})
	w.pending = watchTimer.AfterFunc(w.readCancels)
	return w
}

func (w *linkWatch) readCancels() {
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
		// A cancel frame is so short that all of it is expected to have arrived with its first byte.
		m, err := readHeader(w.link.reader)
		if err != nil || m.Type != frameCancel {
			w.cancel()
			_ = w.link.conn.Close()
			return
		}
		w.link.cancel(m.Number)
	}
}

// stop ends the watch. It must return before the next request is read.
func (w *linkWatch) stop() {
	if w.pending.Stop() {
		return
	}
	_ = w.link.conn.SetReadDeadline(time.Now())
	<-w.done
}
