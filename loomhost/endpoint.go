package loomhost

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"currantloom.example/currantloom/loomlog"
)

// httpTimeout bounds the read of a request for readiness or metrics, and the write of its answer.
const httpTimeout = 5 * time.Second

// endpoint is an HTTP server that runs with the node.
type endpoint struct {
	name     string
	listener net.Listener
	server   *http.Server
}

// AddEndpoint serves HTTP on a listener while the node runs. Call it before Run. The name stands in the log.
func (n *Node) AddEndpoint(name string, l net.Listener, h http.Handler) {
	n.endpoints = append(n.endpoints, &endpoint{
		name: name, listener: l,
		server: &http.Server{Handler: h, ReadTimeout: httpTimeout, WriteTimeout: httpTimeout},
	})
}

// LogMissingEndpoint notes in the log that the node runs without a part that it should have.
func (n *Node) LogMissingEndpoint(name string, err error) {
	n.log.Enqueue(loomlog.Line{Event: "endpoint", Warn: true, Fields: []any{
		"name", name, "outcome", "missing", "reason", err,
	}})
}

// runEndpoint serves until the context ends. An endpoint that fails before does not end the node, which still has
// sessions to serve.
func (n *Node) runEndpoint(ctx context.Context, e *endpoint) error {
	defer context.AfterFunc(ctx, func() { _ = e.server.Close() })()
	if err := e.server.Serve(e.listener); !errors.Is(err, http.ErrServerClosed) {
		n.LogMissingEndpoint(e.name, err)
	}
	<-ctx.Done()
	return nil
}
