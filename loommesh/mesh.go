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
	// dialTimeout bounds the opening of a link, five round trips between regions.
	dialTimeout = 500 * time.Millisecond
	// writeTimeout bounds a write to a peer that takes no bytes.
	writeTimeout = 3 * time.Second
	// quietLimit closes links that other nodes opened and do not use; they are opened again when needed.
	quietLimit = 30 * time.Second
	// maxQueued bounds the messages that wait to be written to a link.
	maxQueued = 4096
	// readBuffer is the size of the buffer of a link, in bytes.
	readBuffer = 4096
)

// Handler handles the events of links. Its methods must not block.
type Handler interface {
	// MessageReceived handles a message. Link is zero for a message on a link that this node opened, else the number of
	// the link, for Respond.
	MessageReceived(from currantloom.VMName, link uint64, m currantloom.Message)
	// OutgoingLinkClosed reports the end of a link that this node opened; sent says that messages may have arrived at the
	// other node. The handler must call forget under the lock that it also holds when it calls Send. Messages sent before
	// that call are lost with the link; messages sent after it use a new link.
	OutgoingLinkClosed(vm currantloom.VMName, sent bool, forget func())
	// IncomingLinkClosed reports the end of a link that another node opened.
	IncomingLinkClosed(link uint64)
}

// Mesh holds the links of a node.
type Mesh struct {
	self  currantloom.VMName
	owner Handler
	tasks sync.WaitGroup

	mu      sync.Mutex
	closed  bool
	out     map[currantloom.VMName]*link
	in      map[uint64]*link
	numbers uint64
}

// New returns the mesh of a node.
func New(self currantloom.VMName, owner Handler) *Mesh {
	return &Mesh{
		self: self, owner: owner, out: make(map[currantloom.VMName]*link), in: make(map[uint64]*link),
	}
}

// link is one connection between two nodes.
type link struct {
	queue chan currantloom.Message
	// done is closed when the link ends.
	done chan struct{}
	once sync.Once
	conn net.Conn
	mu   sync.Mutex
	// silent says that the owner ended the link and needs no report.
	silent bool
	sent   bool
}

func newLink() *link {
	return &link{queue: make(chan currantloom.Message, maxQueued), done: make(chan struct{})}
}

// put queues a message; it reports false if the queue is full.
func (l *link) put(m currantloom.Message) bool {
	select {
	case l.queue <- m:
		return true
	default:
		return false
	}
}

// end closes the link. The first call decides whether the owner gets a report.
func (l *link) end(silent bool) {
	l.once.Do(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.silent = silent
		if l.conn != nil {
			_ = l.conn.Close()
		}
		close(l.done)
	})
}

// attach gives the link its connection; it reports false if the link has ended.
func (l *link) attach(conn net.Conn) bool {
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

// Send sends a message to a VM, over the link that is open or a new one.
func (m *Mesh) Send(vm currantloom.VM, message currantloom.Message) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return
	}
	l, ok := m.out[vm.Name()]
	if !ok {
		l = newLink()
		m.out[vm.Name()] = l
		m.tasks.Go(func() { m.runOutgoing(vm, l) })
	}
	if !l.put(message) {
		l.end(false)
	}
}

// Reset closes the link to a VM without a report.
func (m *Mesh) Reset(vm currantloom.VMName) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l, ok := m.out[vm]; ok {
		delete(m.out, vm)
		l.end(true)
	}
}

// Respond sends a message back over a link that another node opened.
func (m *Mesh) Respond(id uint64, message currantloom.Message) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l, ok := m.in[id]; ok && !l.put(message) {
		l.end(false)
	}
}

// runOutgoing opens a link and serves it until it ends.
func (m *Mesh) runOutgoing(vm currantloom.VM, l *link) {
	conn, err := dial(vm.LinkAddress())
	if err == nil && l.attach(conn) {
		m.serve(conn, l, vm.Name(), 0)
	} else if err == nil {
		_ = conn.Close()
	}
	l.end(false)
	l.mu.Lock()
	silent, sent := l.silent, l.sent
	l.mu.Unlock()
	if !silent {
		m.owner.OutgoingLinkClosed(vm.Name(), sent, func() { m.forget(vm.Name(), l) })
	}
}

// forget lets the next message to the VM open another link.
func (m *Mesh) forget(vm currantloom.VMName, l *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.out[vm] == l {
		delete(m.out, vm)
	}
}

func dial(address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	return d.DialContext(context.Background(), "tcp", address)
}

// serve writes and reads until the link ends.
func (m *Mesh) serve(conn net.Conn, l *link, vm currantloom.VMName, id uint64) {
	m.tasks.Go(func() {
		defer l.end(false)
		m.write(conn, l, id)
	})
	in := bufio.NewReaderSize(conn, readBuffer)
	for {
		if id > 0 {
			_ = conn.SetReadDeadline(time.Now().Add(quietLimit))
		}
		message, err := read(in)
		if err != nil {
			return
		}
		m.owner.MessageReceived(vm, id, message)
	}
}

// write writes the queued messages, several in one write. An outgoing link starts with the name of the node.
func (m *Mesh) write(conn net.Conn, l *link, id uint64) {
	out := bufio.NewWriterSize(conn, readBuffer)
	if id == 0 {
		if _, err := out.WriteString(string(m.self) + "\n"); err != nil {
			return
		}
	}
	for {
		select {
		case <-l.done:
			return
		case message := <-l.queue:
			l.mu.Lock()
			l.sent = true
			l.mu.Unlock()
			if writeMessages(conn, out, l, message) != nil {
				return
			}
		}
	}
}

func writeMessages(conn net.Conn, out *bufio.Writer, l *link, first currantloom.Message) error {
	_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	for message := first; message != nil; {
		data, err := encode(message)
		if err != nil {
			return err
		}
		if _, err := out.Write(data); err != nil {
			return err
		}
		select {
		case message = <-l.queue:
		default:
			message = nil
		}
	}
	return out.Flush()
}

// Serve accepts links of other nodes until the listener is closed.
func (m *Mesh) Serve(listener net.Listener) error {
	return loomwire.Accept(listener, func(conn net.Conn) {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.closed {
			_ = conn.Close()
			return
		}
		m.numbers++
		id := m.numbers
		l := newLink()
		l.attach(conn)
		m.in[id] = l
		m.tasks.Go(func() { m.runIncoming(conn, l, id) })
	})
}

func (m *Mesh) runIncoming(conn net.Conn, l *link, id uint64) {
	defer func() {
		l.end(false)
		m.mu.Lock()
		delete(m.in, id)
		m.mu.Unlock()
		m.owner.IncomingLinkClosed(id)
	}()
	_ = conn.SetReadDeadline(time.Now().Add(quietLimit))
	name, err := readName(conn)
	if err != nil {
		return
	}
	m.serve(conn, l, currantloom.VMName(name), id)
}

// maxName bounds the name of a node, in bytes.
const maxName = 200

// readName reads the line that starts a link, byte by byte, because messages follow it.
func readName(conn net.Conn) (string, error) {
	var name []byte
	var b [1]byte
	for len(name) < maxName {
		if _, err := conn.Read(b[:]); err != nil {
			return "", err
		}
		if b[0] == '\n' {
			return string(name), nil
		}
		name = append(name, b[0])
	}
	return "", currantloom.ErrInput.New("name of a node exceeds %d bytes", maxName)
}

// RequestStoreItems asks the node at an address for the items that it knows, outside any link.
func RequestStoreItems(
	self currantloom.VMName, address string, timeout time.Duration,
) ([]currantloom.StoreItem, error) {
	conn, err := dial(address)
	if err != nil {
		return nil, currantloom.ErrUnavailable.Wrap(err, "node at %s", address)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(timeout))
	data, err := encode(currantloom.StoreItemsRequest{})
	if err != nil {
		return nil, err
	}
	if _, err := conn.Write(append([]byte(string(self)+"\n"), data...)); err != nil {
		return nil, currantloom.ErrUnavailable.Wrap(err, "node at %s", address)
	}
	m, err := read(bufio.NewReader(conn))
	if err != nil {
		return nil, currantloom.ErrUnavailable.Wrap(err, "node at %s", address)
	}
	items, ok := m.(currantloom.StoreItems)
	if !ok {
		return nil, currantloom.ErrInput.New("node at %s sent another message", address)
	}
	return items.Items, nil
}

// Close ends all links and waits for their goroutines. The listener has to be closed before.
func (m *Mesh) Close() error {
	m.mu.Lock()
	m.closed = true
	for _, l := range m.out {
		l.end(true)
	}
	for _, l := range m.in {
		l.end(false)
	}
	m.mu.Unlock()
	m.tasks.Wait()
	return nil
}
