package loomwire

import (
	"errors"
	"net"
	"time"
)

// acceptPause separates attempts to accept while the process is out of file descriptors.
const acceptPause = 10 * time.Millisecond

// Accept calls handle with each connection until the listener is closed. Handle must not block.
func Accept(listener net.Listener, handle func(net.Conn)) error {
	for {
		conn, err := listener.Accept()
		switch {
		case err == nil:
			handle(conn)
		case errors.Is(err, net.ErrClosed):
			return err
		default:
			time.Sleep(acceptPause)
		}
	}
}
