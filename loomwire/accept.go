package loomwire

import (
	"errors"
	"net"
	"time"
)

// acceptRetryDelay is the time between attempts to accept while the process has no free file descriptors.
const acceptRetryDelay = 10 * time.Millisecond

// Accept calls handle with each accepted connection until the listener is closed. The function handle must not block.
func Accept(listener net.Listener, handle func(net.Conn)) error {
	for {
		conn, err := listener.Accept()
		switch {
		case err == nil:
			handle(conn)
		case errors.Is(err, net.ErrClosed):
			return err
		default:
			time.Sleep(acceptRetryDelay)
		}
	}
}
