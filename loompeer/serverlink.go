package loompeer

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"sync"
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomwire"
)

const (
	// takeLimit is how long the entry node may take no bytes of a response. It is longer than the time that the entry
	// node gives its client.
	takeLimit = 40 * time.Second
	// linkIdleLimit is longer than the entry node keeps an idle link.
	linkIdleLimit = maxIdleTime + 15*time.Second
	// transactionIdleLimit is longer than the entry node allows a transaction to be idle, and ends transactions whose
	// entry node has gone silent.
	transactionIdleLimit = 15 * time.Second
	// maxHeader bounds the header of a request, in bytes.
	maxHeader = 64 << 10
	// maxBody bounds the messages of a request, in bytes. The entry node refuses larger ones.
	maxBody = 2 * loomwire.MaxBodySize
)

// serverLink is the carrier's end of a link.
type serverLink struct {
	server *Server
	conn   *progressConn
	reader *loomwire.Reader

	mu     sync.Mutex
	writer *loomwire.Writer

	state   sync.Mutex
	busy    bool
	closing bool
	running currantloom.RequestKey
}

// incoming is a request as it came over a link.
type incoming struct {
	header currantloom.RequestHeader
	body   []byte
}

func newServerLink(s *Server, conn net.Conn) *serverLink {
	c := &progressConn{Conn: conn, writeLimit: takeLimit}
	return &serverLink{
		server: s, conn: c, reader: loomwire.NewReaderSize(c, linkBuffer), writer: loomwire.NewWriter(c),
	}
}

// serve runs the requests of the link.
func (l *serverLink) serve(ctx context.Context) {
	defer func() { _ = l.conn.Close() }()
	link := l.server.OpenLink()
	defer link.Release()
	_ = l.conn.SetReadDeadline(time.Now().Add(linkIdleLimit))
	for {
		q, err := l.readRequest()
		if err != nil || !l.run(ctx, link, q) {
			return
		}
	}
}

// run runs one request and reports whether the link may take another one.
func (l *serverLink) run(ctx context.Context, link currantloom.Link, q incoming) bool {
	l.setRunning(q.header.Key)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := &working{link: l}
	w.start()
	watched := l.watch(cancel)
	t := link.Run(ctx, q.header, q.body, l)
	watched.stop()
	w.stop()
	l.setRunning(currantloom.RequestKey{})
	idle := t.TransactionStatus != currantloom.TransactionOpen && t.TransactionStatus != currantloom.TransactionFailed
	limit := linkIdleLimit
	if !idle {
		limit = transactionIdleLimit
	}
	_ = l.conn.SetReadDeadline(time.Now().Add(limit))
	closing := idle && l.server.isClosing()
	data, err := encodeTrailer(t, q.header.Key.Number, closing)
	if err != nil || l.write(data) != nil {
		return false
	}
	return !l.setIdle(idle) && !closing
}

// working sends signs of life while a request runs.
type working struct {
	link *serverLink

	mu      sync.Mutex
	stopped bool
	timer   *time.Timer
}

func (w *working) start() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(workingInterval, w.report)
}

func (w *working) report() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || w.link.sendFrame(frame{Type: frameWorking}) != nil {
		return
	}
	w.timer.Reset(workingInterval)
}

func (w *working) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// WriteMessage passes one message of the response on.
func (l *serverLink) WriteMessage(kind byte, length int, body io.Reader) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.writer.WriteMessage(kind, length, body)
}

// Flush sends what is buffered.
func (l *serverLink) Flush() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.writer.Flush()
}

func (l *serverLink) sendFrame(f frame) error {
	data, err := json.Marshal(f)
	if err != nil {
		return err
	}
	return l.write(data)
}

// write sends a frame. After a message that was cut off the link is closed: a frame would be taken for its rest.
func (l *serverLink) write(data []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.writer.Truncated() {
		_ = l.conn.Close()
		return io.ErrUnexpectedEOF
	}
	if err := l.writer.WriteBody(copyData, data); err != nil {
		return err
	}
	return l.writer.Flush()
}

func (l *serverLink) setRunning(key currantloom.RequestKey) {
	l.state.Lock()
	defer l.state.Unlock()
	l.running = key
	if key != (currantloom.RequestKey{}) {
		l.busy = true
	}
}

// setIdle notes whether the link is without a transaction, and reports whether it has to be closed.
func (l *serverLink) setIdle(idle bool) bool {
	l.state.Lock()
	defer l.state.Unlock()
	l.busy = !idle
	return idle && l.closing
}

func (l *serverLink) announceClose() {
	l.state.Lock()
	idle := !l.busy
	l.state.Unlock()
	if idle {
		_ = l.sendFrame(frame{Type: frameClosing})
	}
}

// closeWhenIdle closes the link now or after its request or transaction.
func (l *serverLink) closeWhenIdle() {
	l.state.Lock()
	defer l.state.Unlock()
	l.closing = true
	if !l.busy {
		_ = l.conn.Close()
	}
}

// readRequest reads a header and the messages up to Query or Sync. It answers probes and cancels in front of them.
func (l *serverLink) readRequest() (incoming, error) {
	for {
		m, err := readHeader(l.reader)
		if err != nil {
			return incoming{}, err
		}
		switch m.Type {
		case "":
			header, err := decodeHeader(m)
			if err != nil {
				return incoming{}, err
			}
			body, err := readBody(l.reader)
			return incoming{header: header, body: body}, err
		case frameProbe:
			if err := l.sendFrame(frame{Type: frameAlive}); err != nil {
				return incoming{}, err
			}
		case frameCancel:
			l.cancel(m.Number)
		default:
			return incoming{}, currantloom.ErrInput.New("unexpected frame %q", m.Type)
		}
	}
}

// cancel gives up the request that runs now; a cancel that comes after its end is ignored.
func (l *serverLink) cancel(number uint64) {
	l.state.Lock()
	key := l.running
	l.state.Unlock()
	if l.server.CancelRequest != nil && key.Number == number && key.VM != "" {
		l.server.CancelRequest(key)
	}
}

func readHeader(reader *loomwire.Reader) (headerMessage, error) {
	var m headerMessage
	kind, length, err := reader.Next()
	if err != nil {
		return m, err
	}
	if kind != copyData || length > maxHeader {
		return m, currantloom.ErrInput.New("link request starts with a message of type %q and %d bytes", kind, length)
	}
	data, err := reader.Body()
	if err != nil {
		return m, err
	}
	return m, json.Unmarshal(data, &m)
}

// readBody reads the messages up to Query or Sync in their encoded form.
func readBody(reader *loomwire.Reader) ([]byte, error) {
	var body []byte
	for {
		kind, length, err := reader.Next()
		if err != nil {
			return nil, err
		}
		if len(body)+length > maxBody {
			return nil, currantloom.ErrInput.New("link request exceeds %d bytes", maxBody)
		}
		content, err := reader.Body()
		if err != nil {
			return nil, err
		}
		body = loomwire.AppendMessage(body, kind, content)
		if kind == 'Q' || kind == 'S' {
			return body, nil
		}
	}
}
