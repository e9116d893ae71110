// Package loomtask runs the parts of a node together: all of them end when one ends or the node stops, and the one who
// started them waits for all.
package loomtask

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/oklog/run"
)

// Group runs tasks until the first one ends. The zero value is ready to use.
type Group struct{ group run.Group }

// Add adds a task that ends with its context. Cancel ends that context, and is called once any task has ended.
func (g *Group) Add(ctx context.Context, cancel context.CancelFunc, task func(context.Context) error) {
	g.group.Add(func() error { return task(ctx) }, func(error) { cancel() })
}

// Run runs all tasks, waits for the last one, and returns the error of the first one that ended.
func (g *Group) Run() error { return g.group.Run() }

// Every calls the function at each interval until the context ends.
func Every(ctx context.Context, interval time.Duration, call func()) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			call()
		}
	}
}

// Sleep waits for the duration or the end of the context.
func Sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// ServeUntil serves a listener, which it closes when the context ends. The end of the listener alone, which is part of
// a shutdown, is not an error.
func ServeUntil(ctx context.Context, serve func(net.Listener) error, listener net.Listener) error {
	defer context.AfterFunc(ctx, func() { _ = listener.Close() })()
	err := serve(listener)
	if !errors.Is(err, net.ErrClosed) {
		return err
	}
	<-ctx.Done()
	return nil
}
