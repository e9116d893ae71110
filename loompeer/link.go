package loompeer

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"sync"
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomwire"
)

const (
	// responseGrace is the time after a request's deadline at which the link is aborted.
	responseGrace = 500 * time.Millisecond
	// keepaliveInterval is the time between two keepalive frames from the owner while a request runs.
	keepaliveInterval = 2 * time.Second
	// silenceTimeout is the longest time that a link in use may be silent: two keepalives may be lost or late.
	silenceTimeout = 5 * time.Second
)

// Link is the entry node's end of a link.
type Link struct {
	dialer            *Dialer
	vm                currantloom.VM
	conn              *timeoutConn
	reader            *loomwire.Reader
	transactionStatus currantloom.TransactionStatus
	idleSince         time.Time
	idleTimer         *time.Timer
	// clientFailed says that the link failed because its response could not be written to the client.
	clientFailed bool
	failed       bool
	closing      bool

	mu     sync.Mutex
	writer *loomwire.Writer
	// runningNumber is the number of the running request, zero if none is running.
	runningNumber uint64
	// requestSent says that the running request was sent completely, cancelRequested that it was cancelled.
	requestSent, cancelRequested bool
}

// Failed reports whether the link was lost or became silent. A link whose response could not be written to the client
// is not lost, although it must not be used again.
func (l *Link) Failed() bool { return l.failed && !l.clientFailed }

// GaveUp reports whether the link failed because the time of its request ended, which may be due to the request.
func (l *Link) GaveUp() bool { return l.failed && l.conn.aborted.Load() }

// Release returns the link to the dialer if its state is known to be clean, and closes it otherwise.
func (l *Link) Release() { l.dialer.returnLink(l) }

func (l *Link) isClean() bool {
	return !l.failed && !l.closing && l.transactionStatus == currantloom.TransactionIdle && l.reader.Buffered() == 0
}

// isUsable reports whether an idle link is still connected. A link that was idle for long is probed, because a silently
// dead connection looks like an idle one.
func (l *Link) isUsable() bool {
	if !l.conn.hasNoInput() {
		return false
	}
	return time.Since(l.idleSince) < probeAfterIdle || l.probe()
}

// probe reports whether the process at the other end answers a probe.
func (l *Link) probe() bool {
	l.conn.readTimeout = probeTimeout
	defer func() { l.conn.readTimeout = silenceTimeout }()
	if l.sendFrame(frame{Type: frameProbe}) != nil {
		return false
	}
	var reply frame
	return l.readFrame(&reply) == nil && reply.Type == frameProbeReply
}

func (l *Link) sendFrame(f frame) error {
	data, err := json.Marshal(f)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.writer.WriteBody(copyData, data); err != nil {
		return err
	}
	return l.writer.Flush()
}

func (l *Link) readFrame(target any) error {
	kind, _, err := l.reader.Next()
	if err != nil {
		return err
	}
	if kind != copyData {
		return currantloom.ErrInput.New("message of type %q in place of a frame", kind)
	}
	data, err := l.reader.Body()
	if err != nil {
		return err
	}
	return json.Unmarshal(data, target)
}

// Run sends one request and forwards its response.
func (l *Link) Run(
	ctx context.Context, header currantloom.RequestHeader, body []byte, out currantloom.ResponseWriter,
) currantloom.ResponseTrailer {
	ctx, cancel := context.WithTimeout(ctx, header.Remaining+responseGrace)
	defer cancel()
	stop := context.AfterFunc(ctx, l.conn.abort)
	defer stop()
	t, err := l.exchange(header, body, out)
	if err != nil {
		l.failed = true
		t.SQLState, t.Reason = currantloom.SQLStateConnectionFailure, "link to VM "+string(l.vm.Name())+": "+err.Error()
		t.UpstreamAnswered, t.TransactionStatus = false, 0
		return t
	}
	l.transactionStatus = t.TransactionStatus
	return t
}

// Cancel asks the owner to cancel the request if it is still running.
func (l *Link) Cancel(key currantloom.RequestKey) {
	l.mu.Lock()
	running := l.runningNumber == key.Number
	l.cancelRequested = l.cancelRequested || running
	send := running && l.requestSent
	l.mu.Unlock()
	if send {
		_ = l.sendFrame(frame{Type: frameCancel, Number: key.Number})
	}
}

// setRunning records the running request, and reports whether it has been cancelled.
func (l *Link) setRunning(number uint64, sent bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !sent {
		l.cancelRequested = false
	}
	l.runningNumber, l.requestSent = number, sent
	return l.cancelRequested
}

// exchange sends the request and forwards the response. The verdict in the trailer is valid also with an error: the
// owner starts a request only after it has received all of it, so a request that was not sent completely has not run.
func (l *Link) exchange(
	header currantloom.RequestHeader, body []byte, out currantloom.ResponseWriter,
) (currantloom.ResponseTrailer, error) {
	number := header.Key.Number
	l.setRunning(number, false)
	defer l.setRunning(0, false)
	if err := l.send(header, body); err != nil {
		return currantloom.ResponseTrailer{Verdict: currantloom.NotRun}, err
	}
	if l.setRunning(number, true) {
		if err := l.sendFrame(frame{Type: frameCancel, Number: number}); err != nil {
			return currantloom.ResponseTrailer{}, err
		}
	}
	var t currantloom.ResponseTrailer
	for {
		kind, length, err := l.reader.Next()
		if err != nil {
			return t, err
		}
		if kind != copyData {
			t.ResponseStarted = true
			body := &bodyReader{Reader: l.reader}
			if err := out.WriteMessage(kind, length, body); err != nil {
				l.clientFailed = body.err == nil
				return t, err
			}
			continue
		}
		m, err := l.readTrailer()
		if err != nil {
			return t, err
		}
		if m.Type == "" {
			return l.acceptTrailer(header, m, t)
		}
	}
}

// bodyReader keeps an error of the link, to distinguish it from one of the response writer.
type bodyReader struct {
	io.Reader
	err error
}

// Read reads from the link and keeps any error other than io.EOF.
func (r *bodyReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		r.err = err
	}
	return n, err
}

func (l *Link) readTrailer() (trailerMessage, error) {
	var m trailerMessage
	data, err := l.reader.Body()
	if err != nil {
		return m, err
	}
	return m, json.Unmarshal(data, &m)
}

func (l *Link) acceptTrailer(
	header currantloom.RequestHeader, m trailerMessage, t currantloom.ResponseTrailer,
) (currantloom.ResponseTrailer, error) {
	if m.Number != header.Key.Number {
		return t, currantloom.ErrInput.New("trailer of request %d in place of %d", m.Number, header.Key.Number)
	}
	l.closing = m.Closing
	return decodeTrailer(m)
}

func (l *Link) send(header currantloom.RequestHeader, body []byte) error {
	data, err := encodeHeader(header)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.writer.WriteBody(copyData, data); err != nil {
		return err
	}
	if _, err := l.writer.Write(body); err != nil {
		return err
	}
	return l.writer.Flush()
}
