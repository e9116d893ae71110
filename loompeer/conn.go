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

// linkBuffer is the size of the read buffer of a link. A node has few links, so it may be larger than a session's.
const linkBuffer = 16 << 10

var errGivenUp = currantloom.ErrUnavailable.New("request was given up")

// progressConn gives each read and write a time limit of its own and counts what was sent.
type progressConn struct {
	net.Conn
	readLimit, writeLimit time.Duration
	sent                  atomic.Int64
	givenUp               atomic.Bool
}

// Read receives within the time limit.
func (c *progressConn) Read(p []byte) (int, error) {
	if c.readLimit > 0 {
		_ = c.SetReadDeadline(time.Now().Add(c.readLimit))
	}
	if c.givenUp.Load() {
		return 0, errGivenUp
	}
	return c.Conn.Read(p)
}

// Write sends within the time limit.
func (c *progressConn) Write(p []byte) (int, error) {
	_ = c.SetWriteDeadline(time.Now().Add(c.writeLimit))
	if c.givenUp.Load() {
		return 0, errGivenUp
	}
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}

// giveUp ends reads and writes in progress. The flag is set first, because they set the deadline and then check it.
func (c *progressConn) giveUp() {
	c.givenUp.Store(true)
	_ = c.SetDeadline(time.Now())
}

// isQuiet reports whether the peer has neither closed the connection nor sent anything.
func (c *progressConn) isQuiet() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && quiet
}
