package loomhost

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"currantloom.example/currantloom/loomlog"
)

// httpTimeout bounds reading a request for readiness or metrics, and writing its response.
const httpTimeout = 5 * time.Second

// endpoint is an HTTP server that runs while the node runs.
type endpoint struct {
	name     string
	listener net.Listener
	server   *http.Server
}

// AddEndpoint makes the node serve HTTP on a listener while it runs. It must be called before Run. The name identifies
// the endpoint in the log.
func (n *Node) AddEndpoint(name string, l net.Listener, h http.Handler) {
	n.endpoints = append(n.endpoints, &endpoint{
		name: name, listener: l,
		server: &http.Server{Handler: h, ReadTimeout: httpTimeout, WriteTimeout: httpTimeout},
	})
}

// LogMissingEndpoint logs that the node runs without an endpoint, and why.
func (n *Node) LogMissingEndpoint(name string, err error) {
	n.log.Enqueue(loomlog.Line{Event: "endpoint", Warn: true, Fields: []any{
		"name", name, "outcome", "missing", "reason", err,
	}})
}

// runEndpoint serves until the context ends. If the endpoint fails earlier, the node keeps running, because it can
// still serve its sessions.
func (n *Node) runEndpoint(ctx context.Context, e *endpoint) error {
	defer context.AfterFunc(ctx, func() { _ = e.server.Close() })()
	if err := e.server.Serve(e.listener); !errors.Is(err, http.ErrServerClosed) {
		n.LogMissingEndpoint(e.name, err)
	}
	<-ctx.Done()
	return nil
}
