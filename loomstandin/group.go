package loomstandin

import (
	"errors"
	"net"
)

// Group is a database group that starts empty and whose servers run in one process. The first server is the primary of
// term 1.
type Group struct {
	servers []*Server
}

// StartGroup starts one server for each listener. The options apply to all servers; StartGroup sets Listener, Size and
// Bootstrap.
func StartGroup(o Options, listeners ...net.Listener) (*Group, error) {
	g := &Group{}
	for _, l := range listeners {
		o.Listener, o.Size, o.Bootstrap = l, len(listeners), listeners[0].Addr().String()
		s, err := Start(o)
		if err != nil {
			return nil, errors.Join(err, g.Close())
		}
		g.servers = append(g.servers, s)
	}
	return g, nil
}

// Servers returns the servers; the caller must not change the slice.
func (g *Group) Servers() []*Server { return g.servers }

// Close closes the servers that are not yet closed and waits for them.
func (g *Group) Close() error {
	var errs []error
	for _, s := range g.servers {
		if err := s.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			errs = append(errs, err)
		}
	}
	return errors.Join(errs...)
}
