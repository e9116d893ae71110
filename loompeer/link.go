package loompeer

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomwire"
)

const (
	// answerGrace is added to a request's remaining time before the link is given up.
	answerGrace = 500 * time.Millisecond
	// workingInterval is the time between two signs of life from the carrier while a request runs.
	workingInterval = 2 * time.Second
	// silenceLimit is how long a link in use may be silent: two signs of life may be lost or late.
	silenceLimit = 5 * time.Second
)

// Link is the entry node's end of a link.
type Link struct {
	dialer      *Dialer
	vm          currantloom.VM
	conn        *progressConn
	reader      *loomwire.Reader
	transaction currantloom.TransactionStatus
	usedAt      time.Time
	expiry      *time.Timer
	failed      bool
	closing     bool

	mu     sync.Mutex
	writer *loomwire.Writer
	// number is the number of the running request, zero if there is none.
	number uint64
	// sent says that the request was sent, cancelled that it has to be cancelled once it was.
	sent, cancelled bool
}

// Failed reports whether the link was lost or went silent.
func (l *Link) Failed() bool { return l.failed }

// Release returns the link to the idle ones, or closes it.
func (l *Link) Release() { l.dialer.release(l) }

func (l *Link) isClean() bool {
	return !l.failed && !l.closing && l.transaction == currantloom.TransactionIdle && l.reader.Buffered() == 0
}

// isUsable reports whether an idle link still has its peer. A link that was idle for long is probed, because a
// connection that has gone silent looks like an idle one.
func (l *Link) isUsable() bool {
	if !l.conn.isQuiet() {
		return false
	}
	return time.Since(l.usedAt) < probeAfter || l.probe()
}

// probe reports whether the process at the other end answers.
func (l *Link) probe() bool {
	l.conn.readLimit = probeLimit
	defer func() { l.conn.readLimit = silenceLimit }()
	if l.sendFrame(frame{Type: frameProbe}) != nil {
		return false
	}
	var answer frame
	return l.readFrame(&answer) == nil && answer.Type == frameAlive
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

func (l *Link) readFrame(into any) error {
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
	return json.Unmarshal(data, into)
}

// Run sends one request and passes its response on.
func (l *Link) Run(
	ctx context.Context, header currantloom.RequestHeader, body []byte, out currantloom.ResponseWriter,
) currantloom.ResponseTrailer {
	ctx, cancel := context.WithTimeout(ctx, header.Remaining+answerGrace)
	defer cancel()
	stop := context.AfterFunc(ctx, l.conn.giveUp)
	defer stop()
	t, err := l.exchange(header, body, out)
	if err != nil {
		l.failed = true
		t.SQLState, t.Reason = currantloom.SQLStateConnectionFailure, "link to VM "+string(l.vm.Name())+": "+err.Error()
		t.ServerAnswered, t.TransactionStatus = false, 0
		return t
	}
	l.transaction = t.TransactionStatus
	return t
}

// Cancel asks the carrier to give up the request if it still runs.
func (l *Link) Cancel(key currantloom.RequestKey) {
	l.mu.Lock()
	running := l.number == key.Number
	l.cancelled = l.cancelled || running
	send := running && l.sent
	l.mu.Unlock()
	if send {
		_ = l.sendFrame(frame{Type: frameCancel, Number: key.Number})
	}
}

// setRunning notes the request that runs, and reports whether it was cancelled before it was sent.
func (l *Link) setRunning(number uint64, sent bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !sent {
		l.cancelled = false
	}
	l.number, l.sent = number, sent
	return l.cancelled
}

// exchange returns an error together with the verdict that it allows. The carrier starts a request only when it has
// received all of it, so a request of which a part was not even handed to the network has not run.
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
			if err := out.WriteMessage(kind, length, l.reader); err != nil {
				return t, err
			}
			continue
		}
		m, err := l.readTrailer()
		if err != nil {
			return t, err
		}
		if m.Type == "" {
			return l.finish(header, m, t)
		}
	}
}

func (l *Link) readTrailer() (trailerMessage, error) {
	var m trailerMessage
	data, err := l.reader.Body()
	if err != nil {
		return m, err
	}
	return m, json.Unmarshal(data, &m)
}

func (l *Link) finish(
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
