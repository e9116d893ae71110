package loomnode

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"currantloom.example/currantloom/loomtask"
)

const (
	// httpTimeout bounds reading a request and writing its response; responses are small.
	httpTimeout = 5 * time.Second
	// livenessTimeout is the time without a tick after which the node reports that it is not alive. The reducer gets a
	// tick every 50 ms.
	livenessTimeout = 10 * time.Second
)

// serveHTTP serves the endpoints for liveness, readiness and metrics until the context ends.
func (n *Node) serveHTTP(ctx context.Context, listener net.Listener) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /live", func(w http.ResponseWriter, _ *http.Request) {
		writeHealth(w, time.Since(n.start)-time.Duration(n.lastTick.Load()) < livenessTimeout,
			"alive", "reducer does not run")
	})
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		writeHealth(w, n.Ready(), "ready", "stopping")
	})
	mux.Handle("GET /metrics", n.metrics.reporter.HTTPHandler())
	server := &http.Server{Handler: mux, ReadTimeout: httpTimeout, WriteTimeout: httpTimeout, IdleTimeout: time.Minute}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func writeHealth(w http.ResponseWriter, ok bool, okText, failureText string) {
	if !ok {
		http.Error(w, failureText, http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte(okText + "\n"))
}

// reportGauges updates the gauges every reportInterval until the context ends.
func (n *Node) reportGauges(ctx context.Context) error {
	for ctx.Err() == nil {
		n.mu.Lock()
		status := n.state.Status()
		n.metrics.setGauges(status)
		n.mu.Unlock()
		loomtask.Sleep(ctx, reportInterval)
	}
	return nil
}
