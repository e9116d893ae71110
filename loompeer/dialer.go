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
	// maxIdleLinks bounds the idle links to one VM. At 530 statements/s a node has a few in use at a time.
	maxIdleLinks = 4
	// maxIdleTime is how long a link stays open without use.
	maxIdleTime = 60 * time.Second
	// probeAfter is the idle time after which a link is probed before use, because it may have gone silent.
	probeAfter = 5 * time.Second
	// probeLimit covers a round trip of 60 ms between regions and the loss of a packet.
	probeLimit = 400 * time.Millisecond
	// dialLimit covers the loss of a packet that opens the connection, which is repeated after 1 s.
	dialLimit = 1500 * time.Millisecond
)

// Dialer keeps the links to other VMs. The zero value is ready for use.
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

func (d *Dialer) dial(ctx context.Context, vm currantloom.VM) (*Link, error) {
	n := net.Dialer{Timeout: dialLimit}
	conn, err := n.DialContext(ctx, "tcp", vm.LinkAddress())
	if err != nil {
		return nil, currantloom.NewRequestError(currantloom.NotRun, currantloom.SQLStateConnectionFailure, 0,
			"link to VM %s: %v", vm.Name(), err)
	}
	c := &progressConn{Conn: conn, readLimit: silenceLimit, writeLimit: silenceLimit}
	l := &Link{
		dialer: d, vm: vm, conn: c, reader: loomwire.NewReaderSize(c, linkBuffer), writer: loomwire.NewWriter(c),
		transaction: currantloom.TransactionIdle,
	}
	// The system of a paused process still accepts connections.
	if !l.probe() {
		_ = conn.Close()
		return nil, currantloom.NewRequestError(currantloom.NotRun, currantloom.SQLStateConnectionFailure, 0,
			"link to VM %s: no answer to a probe within %s", vm.Name(), probeLimit)
	}
	return l, nil
}

// takeIdle returns the link that was used last. A VM that comes back under another address gets new links.
func (d *Dialer) takeIdle(vm currantloom.VM) *Link {
	d.mu.Lock()
	defer d.mu.Unlock()
	for len(d.idle[vm.Name()]) > 0 {
		links := d.idle[vm.Name()]
		l := links[len(links)-1]
		d.idle[vm.Name()] = links[:len(links)-1]
		l.expiry.Stop()
		if l.vm.LinkAddress() == vm.LinkAddress() {
			return l
		}
		_ = l.conn.Close()
	}
	return nil
}

func (d *Dialer) release(l *Link) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if l.failed {
		d.drop(l.vm.Name())
	}
	links := d.idle[l.vm.Name()]
	if !l.isClean() || d.closed || len(links) >= maxIdleLinks {
		_ = l.conn.Close()
		return
	}
	if d.idle == nil {
		d.idle = make(map[currantloom.VMName][]*Link)
	}
	l.usedAt = time.Now()
	l.expiry = time.AfterFunc(maxIdleTime, func() { d.expire(l) })
	d.idle[l.vm.Name()] = append(links, l)
}

// drop closes the idle links to a VM of which a link in use was lost, because they are likely to be silent too. The
// lock is held.
func (d *Dialer) drop(vm currantloom.VMName) {
	for _, l := range d.idle[vm] {
		l.expiry.Stop()
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
		if other == l && time.Since(l.usedAt) >= maxIdleTime {
			d.idle[l.vm.Name()] = append(links[:i:i], links[i+1:]...)
			_ = l.conn.Close()
			return
		}
	}
}

// Close closes the idle links, and those in use when they are released.
func (d *Dialer) Close() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	for vm := range d.idle {
		d.drop(vm)
	}
	return nil
}
