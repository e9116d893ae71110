package loompeer

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"currantloom.example/currantloom"
)

const copyData = 'd'

// linkBufferSize is the size of a link's read buffer. It may be larger than a session's, because a node has few links.
const linkBufferSize = 16 << 10

var errAborted = currantloom.ErrUnavailable.New("request was given up")

// timeoutConn sets a deadline for each read and write and counts the bytes that were sent.
type timeoutConn struct {
	net.Conn
	readTimeout, writeTimeout time.Duration
	bytesSent                 atomic.Int64
	aborted                   atomic.Bool
}

// Read reads within readTimeout; zero means no limit.
func (c *timeoutConn) Read(p []byte) (int, error) {
	if c.readTimeout > 0 {
		_ = c.SetReadDeadline(time.Now().Add(c.readTimeout))
	}
	if c.aborted.Load() {
		return 0, errAborted
	}
	return c.Conn.Read(p)
}

// Write writes within writeTimeout.
func (c *timeoutConn) Write(p []byte) (int, error) {
	_ = c.SetWriteDeadline(time.Now().Add(c.writeTimeout))
	if c.aborted.Load() {
		return 0, errAborted
	}
	n, err := c.Conn.Write(p)
	c.bytesSent.Add(int64(n))
	return n, err
}

// abort ends the reads and writes in progress and fails later ones. It sets the flag before the deadline, because Read
// and Write set the deadline before they check the flag.
func (c *timeoutConn) abort() {
	c.aborted.Store(true)
	_ = c.SetDeadline(time.Now())
}

// hasNoInput reports, without waiting, whether the peer has neither closed the connection nor sent unread bytes.
func (c *timeoutConn) hasNoInput() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	noInput := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		noInput = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && noInput
}
