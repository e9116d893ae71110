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
	// responseWriteTimeout is the longest time that one write of a response may block. It is longer than the time that
	// the entry node gives its client.
	responseWriteTimeout = 40 * time.Second
	// serverLinkIdleTimeout is longer than the time for which the entry node keeps an idle link.
	serverLinkIdleTimeout = idleLinkTimeout + 15*time.Second
	// serverLinkIdleTransactionTimeout is longer than the entry node's own limit for an idle transaction. It ends
	// transactions whose entry node has become silent.
	serverLinkIdleTransactionTimeout = 15 * time.Second
	// maxHeaderSize bounds the header of a request and any frame, in bytes.
	maxHeaderSize = 64 << 10
	// maxBodySize bounds the messages of a request, in bytes. The entry node refuses larger ones.
	maxBodySize = 2 * loomwire.MaxBodySize
)

// serverLink is the owner's end of a link.
type serverLink struct {
	server *LinkServer
	conn   *timeoutConn
	reader *loomwire.Reader

	writeMu sync.Mutex
	writer  *loomwire.Writer

	stateMu    sync.Mutex
	busy       bool
	closing    bool
	runningKey currantloom.RequestKey
}

// linkRequest is a request that was received on a link.
type linkRequest struct {
	header currantloom.RequestHeader
	body   []byte
}

func newServerLink(s *LinkServer, conn net.Conn) *serverLink {
	c := &timeoutConn{Conn: conn, writeTimeout: responseWriteTimeout}
	return &serverLink{
		server: s, conn: c, reader: loomwire.NewReaderSize(c, linkBufferSize), writer: loomwire.NewWriter(c),
	}
}

// serve runs the requests of the link.
func (l *serverLink) serve(ctx context.Context) {
	defer func() { _ = l.conn.Close() }()
	link := l.server.OpenLink()
	defer link.Release()
	_ = l.conn.SetReadDeadline(time.Now().Add(serverLinkIdleTimeout))
	for {
		request, err := l.readRequest()
		if err != nil || !l.run(ctx, link, request) {
			return
		}
	}
}

// run runs one request and reports whether the link may accept another one.
func (l *serverLink) run(ctx context.Context, link currantloom.Link, request linkRequest) bool {
	l.setRunning(request.header.Key)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	k := &keepalive{link: l}
	k.start()
	watch := l.watchLink(cancel)
	t := link.Run(ctx, request.header, request.body, l)
	watch.stop()
	k.stop()
	l.setRunning(currantloom.RequestKey{})
	idle := t.TransactionStatus != currantloom.TransactionOpen && t.TransactionStatus != currantloom.TransactionFailed
	limit := serverLinkIdleTimeout
	if !idle {
		limit = serverLinkIdleTransactionTimeout
	}
	_ = l.conn.SetReadDeadline(time.Now().Add(limit))
	closing := idle && l.server.isClosing()
	data, err := encodeTrailer(t, request.header.Key.Number, closing)
	if err != nil || l.sendData(data) != nil {
		return false
	}
	return !l.setIdle(idle) && !closing
}

// keepalive sends keepalive frames while a request runs.
type keepalive struct {
	link *serverLink

	mu      sync.Mutex
	stopped bool
	timer   *time.Timer
}

func (k *keepalive) start() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.timer = time.AfterFunc(keepaliveInterval, k.sendKeepalive)
}

func (k *keepalive) sendKeepalive() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.stopped || k.link.sendFrame(frame{Type: frameKeepalive}) != nil {
		return
	}
	k.timer.Reset(keepaliveInterval)
}

func (k *keepalive) stop() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stopped = true
	k.timer.Stop()
}

// WriteMessage forwards one message of the response.
func (l *serverLink) WriteMessage(kind byte, length int, body io.Reader) error {
	l.writeMu.Lock()
	defer l.writeMu.Unlock()
	return l.writer.WriteMessage(kind, length, body)
}

// Flush sends the buffered messages.
func (l *serverLink) Flush() error {
	l.writeMu.Lock()
	defer l.writeMu.Unlock()
	return l.writer.Flush()
}

func (l *serverLink) sendFrame(f frame) error {
	data, err := json.Marshal(f)
	if err != nil {
		return err
	}
	return l.sendData(data)
}

// sendData sends the JSON of a frame or trailer. After a truncated message it closes the link instead, because the
// entry node would read the data as the rest of that message.
func (l *serverLink) sendData(data []byte) error {
	l.writeMu.Lock()
	defer l.writeMu.Unlock()
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
	l.stateMu.Lock()
	defer l.stateMu.Unlock()
	l.runningKey = key
	if key != (currantloom.RequestKey{}) {
		l.busy = true
	}
}

// setIdle records whether the link has no open transaction, and reports whether it has to be closed.
func (l *serverLink) setIdle(idle bool) bool {
	l.stateMu.Lock()
	defer l.stateMu.Unlock()
	l.busy = !idle
	return idle && l.closing
}

func (l *serverLink) announceClose() {
	l.stateMu.Lock()
	idle := !l.busy
	l.stateMu.Unlock()
	if idle {
		_ = l.sendFrame(frame{Type: frameClosing})
	}
}

// closeWhenIdle closes the link at once if it is idle, else after its request or transaction.
func (l *serverLink) closeWhenIdle() {
	l.stateMu.Lock()
	defer l.stateMu.Unlock()
	l.closing = true
	if !l.busy {
		_ = l.conn.Close()
	}
}

// readRequest reads a header and the messages up to Query or Sync. It handles probes and cancels that precede them.
func (l *serverLink) readRequest() (linkRequest, error) {
	for {
		m, err := readHeader(l.reader)
		if err != nil {
			return linkRequest{}, err
		}
		switch m.Type {
		case "":
			header, err := decodeHeader(m)
			if err != nil {
				return linkRequest{}, err
			}
			body, err := readBody(l.reader)
			return linkRequest{header: header, body: body}, err
		case frameProbe:
			if err := l.sendFrame(frame{Type: frameProbeReply}); err != nil {
				return linkRequest{}, err
			}
		case frameCancel:
			l.cancel(m.Number)
		default:
			return linkRequest{}, currantloom.ErrInput.New("unexpected frame %q", m.Type)
		}
	}
}

// cancel cancels the running request. A cancel that arrives after the end of its request is ignored.
func (l *serverLink) cancel(number uint64) {
	l.stateMu.Lock()
	key := l.runningKey
	l.stateMu.Unlock()
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
	if kind != copyData || length > maxHeaderSize {
		return m, currantloom.ErrInput.New("link request starts with a message of type %q and %d bytes", kind, length)
	}
	data, err := reader.Body()
	if err != nil {
		return m, err
	}
	return m, json.Unmarshal(data, &m)
}

// readBody reads the messages up to Query or Sync and returns them encoded.
func readBody(reader *loomwire.Reader) ([]byte, error) {
	var body []byte
	for {
		kind, length, err := reader.Next()
		if err != nil {
			return nil, err
		}
		if len(body)+length > maxBodySize {
			return nil, currantloom.ErrInput.New("link request exceeds %d bytes", maxBodySize)
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
