package loompeer

import (
	"context"
	"net"
	"sync"
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomwire"
)

const (
	// maxIdleLinks bounds the idle links to one VM. At 530 statements/s a node uses a few links at a time.
	maxIdleLinks = 4
	// idleLinkTimeout is the time after which an idle link is closed.
	idleLinkTimeout = 60 * time.Second
	// probeAfterIdle is the idle time after which a link is probed before use, because it may be silently dead.
	probeAfterIdle = 5 * time.Second
	// probeTimeout covers a round trip of 60 ms between regions and the loss of a packet.
	probeTimeout = 400 * time.Millisecond
	// dialTimeout covers the loss of a SYN packet, which is retransmitted after 1 s.
	dialTimeout = 1500 * time.Millisecond
)

// Dialer opens links to other VMs and keeps idle ones for reuse. The zero value is ready to use.
type Dialer struct {
	mu     sync.Mutex
	idle   map[currantloom.VMName][]*Link
	closed bool
}

// Link returns an idle link to the VM or opens one.
func (d *Dialer) Link(ctx context.Context, vm currantloom.VM) (currantloom.Link, error) {
	for {
		l := d.takeIdle(vm)
		if l == nil {
			return d.dial(ctx, vm)
		}
		if l.isUsable() {
			return l, nil
		}
		_ = l.conn.Close()
	}
}

// Check opens a link to the VM and returns an error if that fails or the VM does not answer on it.
func (d *Dialer) Check(ctx context.Context, vm currantloom.VM) error {
	l, err := d.dial(ctx, vm)
	if err != nil {
		return err
	}
	l.Release()
	return nil
}

func (d *Dialer) dial(ctx context.Context, vm currantloom.VM) (*Link, error) {
	netDialer := net.Dialer{Timeout: dialTimeout}
	conn, err := netDialer.DialContext(ctx, "tcp", vm.LinkAddress())
	if err != nil {
		return nil, currantloom.NewRequestError(currantloom.NotRun, currantloom.SQLStateConnectionFailure, 0,
			"link to VM %s: %v", vm.Name(), err)
	}
	c := &timeoutConn{Conn: conn, readTimeout: silenceTimeout, writeTimeout: silenceTimeout}
	l := &Link{
		dialer: d, vm: vm, conn: c, reader: loomwire.NewReaderSize(c, linkBufferSize), writer: loomwire.NewWriter(c),
		transactionStatus: currantloom.TransactionIdle,
	}
	// The kernel accepts connections for a process that is paused, so a new link is probed too.
	if !l.probe() {
		_ = conn.Close()
		return nil, currantloom.NewRequestError(currantloom.NotRun, currantloom.SQLStateConnectionFailure, 0,
			"link to VM %s: no answer to a probe within %s", vm.Name(), probeTimeout)
	}
	return l, nil
}

// takeIdle removes and returns the most recently used idle link, nil if there is none. Idle links to a former address
// of the VM are closed.
func (d *Dialer) takeIdle(vm currantloom.VM) *Link {
	d.mu.Lock()
	defer d.mu.Unlock()
	for len(d.idle[vm.Name()]) > 0 {
		links := d.idle[vm.Name()]
		l := links[len(links)-1]
		d.idle[vm.Name()] = links[:len(links)-1]
		l.idleTimer.Stop()
		if l.vm.LinkAddress() == vm.LinkAddress() {
			return l
		}
		_ = l.conn.Close()
	}
	return nil
}

func (d *Dialer) returnLink(l *Link) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if l.Failed() {
		d.closeIdle(l.vm.Name())
	}
	links := d.idle[l.vm.Name()]
	if !l.isClean() || d.closed || len(links) >= maxIdleLinks {
		_ = l.conn.Close()
		return
	}
	if d.idle == nil {
		d.idle = make(map[currantloom.VMName][]*Link)
	}
	l.idleSince = time.Now()
	l.idleTimer = time.AfterFunc(idleLinkTimeout, func() { d.expire(l) })
	d.idle[l.vm.Name()] = append(links, l)
}

// closeIdle closes the idle links to a VM. When a link in use was lost, the idle ones are probably dead too. The lock
// is held.
func (d *Dialer) closeIdle(vm currantloom.VMName) {
	for _, l := range d.idle[vm] {
		l.idleTimer.Stop()
		_ = l.conn.Close()
	}
	delete(d.idle, vm)
}

// expire closes a link that is still idle.
func (d *Dialer) expire(l *Link) {
	d.mu.Lock()
	defer d.mu.Unlock()
	links := d.idle[l.vm.Name()]
	for i, other := range links {
		if other == l && time.Since(l.idleSince) >= idleLinkTimeout {
			d.idle[l.vm.Name()] = append(links[:i:i], links[i+1:]...)
			_ = l.conn.Close()
			return
		}
	}
}

// Close closes the idle links. Links in use are closed when they are released.
func (d *Dialer) Close() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	for vm := range d.idle {
		d.closeIdle(vm)
	}
	return nil
}
