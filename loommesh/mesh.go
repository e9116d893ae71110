package loommesh

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomwire"
)

const (
	// dialTimeout bounds the opening of a link; it is five round trips between regions.
	dialTimeout = 500 * time.Millisecond
	// writeTimeout bounds a write to a peer that does not read.
	writeTimeout = 3 * time.Second
	// idleTimeout closes links that other nodes opened and do not use. They are opened again when needed.
	idleTimeout = 30 * time.Second
	// maxQueuedMessages bounds the queue of messages to be written to a link.
	maxQueuedMessages = 4096
	// bufferSize is the size of the read buffer and of the write buffer of a link, in bytes.
	bufferSize = 4096
)

// Handler handles the events of links. Its methods must not block.
type Handler interface {
	// MessageReceived handles a message. Link is zero for a message on a link that this node opened, else the number of
	// the link, for Respond.
	MessageReceived(from currantloom.VMName, link uint64, m currantloom.Message)
	// OutboundLinkFailed reports the end of a link that this node opened; sent says that messages may have arrived at the
	// other node. The handler must call remove under the lock that it also holds when it calls Send. Messages sent before
	// that call are lost with the link; messages sent after it use a new link.
	OutboundLinkFailed(vm currantloom.VMName, sent bool, remove func())
	// InboundLinkClosed reports the end of a link that another node opened.
	InboundLinkClosed(link uint64)
}

// Mesh holds the links of a node to other nodes.
type Mesh struct {
	self    currantloom.VMName
	handler Handler
	tasks   sync.WaitGroup

	mu         sync.Mutex
	closed     bool
	outbound   map[currantloom.VMName]*link
	inbound    map[uint64]*link
	lastLinkID uint64
}

// New returns the mesh of a node.
func New(self currantloom.VMName, handler Handler) *Mesh {
	return &Mesh{
		self: self, handler: handler, outbound: make(map[currantloom.VMName]*link), inbound: make(map[uint64]*link),
	}
}

// link is one connection between two nodes.
type link struct {
	// done is closed when the link ends.
	done    chan struct{}
	endOnce sync.Once
	conn    net.Conn
	// wake tells the writer that messages are queued.
	wake chan struct{}

	mu sync.Mutex
	// queued are the messages to be written. The slice grows with them, because a node has links to most others and few
	// messages on most of them.
	queued []queuedMessage
	// suppressReport says that the handler is not told of the end of the link, because the node reset the link itself.
	suppressReport bool
	// sent says that a message was taken from the queue to be written.
	sent bool
}

// queuedMessage is a message that waits to be written. Encoded is its encoded form if that is known already.
type queuedMessage struct {
	message currantloom.Message
	encoded []byte
}

func (q queuedMessage) encode() ([]byte, error) {
	if q.encoded != nil {
		return q.encoded, nil
	}
	return encode(q.message)
}

func newLink() *link {
	return &link{done: make(chan struct{}), wake: make(chan struct{}, 1)}
}

// enqueue queues a message; it reports false if the queue is full.
func (l *link) enqueue(m queuedMessage) bool {
	l.mu.Lock()
	if len(l.queued) >= maxQueuedMessages {
		l.mu.Unlock()
		return false
	}
	l.queued = append(l.queued, m)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return true
}

// takeQueued returns the queued messages and empties the queue.
func (l *link) takeQueued() []queuedMessage {
	l.mu.Lock()
	defer l.mu.Unlock()
	taken := l.queued
	l.queued = nil
	l.sent = l.sent || len(taken) > 0
	return taken
}

// end closes the link. The first call decides whether the handler is told.
func (l *link) end(suppressReport bool) {
	l.endOnce.Do(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.suppressReport = suppressReport
		if l.conn != nil {
			_ = l.conn.Close()
		}
		close(l.done)
	})
}

// setConn gives the link its connection; it reports false if the link has ended.
func (l *link) setConn(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.done:
		return false
	default:
		l.conn = conn
		return true
	}
}

// Send queues a message to a VM. It opens a link if there is none, and closes the link if its queue is full.
func (m *Mesh) Send(vm currantloom.VM, message currantloom.Message) {
	m.send(vm, queuedMessage{message: message})
}

// SendAll queues a message to several VMs. It is encoded once.
func (m *Mesh) SendAll(vms []currantloom.VM, message currantloom.Message) {
	// A message that cannot be encoded ends each link when it is written.
	encoded, _ := encode(message)
	for _, vm := range vms {
		m.send(vm, queuedMessage{message: message, encoded: encoded})
	}
}

func (m *Mesh) send(vm currantloom.VM, message queuedMessage) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return
	}
	l, ok := m.outbound[vm.Name()]
	if !ok {
		l = newLink()
		m.outbound[vm.Name()] = l
		m.tasks.Go(func() { m.runOutbound(vm, l) })
	}
	if !l.enqueue(message) {
		l.end(false)
	}
}

// Reset closes the link to a VM. The handler is not told.
func (m *Mesh) Reset(vm currantloom.VMName) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l, ok := m.outbound[vm]; ok {
		delete(m.outbound, vm)
		l.end(true)
	}
}

// Respond queues a message on a link that another node opened. It closes the link if its queue is full.
func (m *Mesh) Respond(id uint64, message currantloom.Message) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l, ok := m.inbound[id]; ok && !l.enqueue(queuedMessage{message: message}) {
		l.end(false)
	}
}

// runOutbound opens a link, runs it until it ends, and reports its end.
func (m *Mesh) runOutbound(vm currantloom.VM, l *link) {
	conn, err := dial(vm.LinkAddress())
	if err == nil && l.setConn(conn) {
		m.runLink(conn, l, vm.Name(), 0)
	} else if err == nil {
		_ = conn.Close()
	}
	l.end(false)
	l.mu.Lock()
	suppressReport, sent := l.suppressReport, l.sent
	l.mu.Unlock()
	if !suppressReport {
		m.handler.OutboundLinkFailed(vm.Name(), sent, func() { m.removeOutbound(vm.Name(), l) })
	}
}

// removeOutbound removes the link, so that the next message to the VM opens another one.
func (m *Mesh) removeOutbound(vm currantloom.VMName, l *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.outbound[vm] == l {
		delete(m.outbound, vm)
	}
}

func dial(address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	return d.DialContext(context.Background(), "tcp", address)
}

// runLink reads messages, while a second goroutine writes, until the link ends. The id is zero for a link that this
// node opened.
func (m *Mesh) runLink(conn net.Conn, l *link, vm currantloom.VMName, id uint64) {
	m.tasks.Go(func() {
		defer l.end(false)
		m.writeLoop(conn, l, id)
	})
	in := bufio.NewReaderSize(conn, bufferSize)
	for {
		if id > 0 {
			_ = conn.SetReadDeadline(time.Now().Add(idleTimeout))
		}
		message, err := readMessage(in)
		if err != nil {
			return
		}
		m.handler.MessageReceived(vm, id, message)
	}
}

// writeLoop writes the queued messages. An outbound link starts with a line that holds the name of this node.
func (m *Mesh) writeLoop(conn net.Conn, l *link, id uint64) {
	out := bufio.NewWriterSize(conn, bufferSize)
	if id == 0 {
		if _, err := out.WriteString(string(m.self) + "\n"); err != nil {
			return
		}
	}
	for {
		select {
		case <-l.done:
			return
		case <-l.wake:
			if writeMessages(conn, out, l.takeQueued()) != nil {
				return
			}
		}
	}
}

// writeMessages writes the messages, then flushes the buffer.
func writeMessages(conn net.Conn, out *bufio.Writer, messages []queuedMessage) error {
	_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	for _, message := range messages {
		data, err := message.encode()
		if err != nil {
			return err
		}
		if _, err := out.Write(data); err != nil {
			return err
		}
	}
	return out.Flush()
}

// Serve accepts links from other nodes until the listener is closed.
func (m *Mesh) Serve(listener net.Listener) error {
	return loomwire.Accept(listener, func(conn net.Conn) {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.closed {
			_ = conn.Close()
			return
		}
		m.lastLinkID++
		id := m.lastLinkID
		l := newLink()
		l.setConn(conn)
		m.inbound[id] = l
		m.tasks.Go(func() { m.runInbound(conn, l, id) })
	})
}

func (m *Mesh) runInbound(conn net.Conn, l *link, id uint64) {
	defer func() {
		l.end(false)
		m.mu.Lock()
		delete(m.inbound, id)
		m.mu.Unlock()
		m.handler.InboundLinkClosed(id)
	}()
	_ = conn.SetReadDeadline(time.Now().Add(idleTimeout))
	name, err := readName(conn)
	if err != nil {
		return
	}
	m.runLink(conn, l, currantloom.VMName(name), id)
}

// maxNameLength bounds the name of a peer, in bytes.
const maxNameLength = 200

// readName reads the line that starts a link. It reads byte by byte, because a buffered reader would take bytes of the
// messages that follow.
func readName(conn net.Conn) (string, error) {
	var name []byte
	var b [1]byte
	for len(name) < maxNameLength {
		if _, err := conn.Read(b[:]); err != nil {
			return "", err
		}
		if b[0] == '\n' {
			return string(name), nil
		}
		name = append(name, b[0])
	}
	return "", currantloom.ErrInput.New("name of a node exceeds %d bytes", maxNameLength)
}

// RequestStoreItems asks the node at an address for its copy of the store, over a connection of its own.
func RequestStoreItems(
	self currantloom.VMName, address string, timeout time.Duration,
) (currantloom.StoreItems, error) {
	var none currantloom.StoreItems
	conn, err := dial(address)
	if err != nil {
		return none, currantloom.ErrUnavailable.Wrap(err, "node at %s", address)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(timeout))
	data, err := encode(currantloom.StoreItemsRequest{})
	if err != nil {
		return none, err
	}
	if _, err := conn.Write(append([]byte(string(self)+"\n"), data...)); err != nil {
		return none, currantloom.ErrUnavailable.Wrap(err, "node at %s", address)
	}
	m, err := readMessage(bufio.NewReader(conn))
	if err != nil {
		return none, currantloom.ErrUnavailable.Wrap(err, "node at %s", address)
	}
	items, ok := m.(currantloom.StoreItems)
	if !ok {
		return none, currantloom.ErrInput.New("node at %s sent another message", address)
	}
	return items, nil
}

// Close closes all links and waits for their goroutines. The listener must be closed first.
func (m *Mesh) Close() error {
	m.mu.Lock()
	m.closed = true
	for _, l := range m.outbound {
		l.end(true)
	}
	for _, l := range m.inbound {
		l.end(false)
	}
	m.mu.Unlock()
	m.tasks.Wait()
	return nil
}
