// Package loomtask runs the concurrent tasks of a node as a group: when one task ends, all others are cancelled, and
// the caller waits for all of them. It also has helpers for periodic calls and for listeners.
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

// Add adds a task. Once any task of the group has ended, cancel is called; it must cancel ctx, and the task must then
// return.
func (g *Group) Add(ctx context.Context, cancel context.CancelFunc, task func(context.Context) error) {
	g.group.Add(func() error { return task(ctx) }, func(error) { cancel() })
}

// Run runs all tasks, waits until all have ended, and returns the error of the one that ended first.
func (g *Group) Run() error { return g.group.Run() }

// Every calls a function once per interval until the context ends.
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

// Sleep waits until the duration has passed or the context has ended.
func Sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// ServeUntil runs serve and closes the listener when the context ends. If the listener is closed before that, as during
// a graceful shutdown, ServeUntil waits for the end of the context and returns no error.
func ServeUntil(ctx context.Context, serve func(net.Listener) error, listener net.Listener) error {
	defer context.AfterFunc(ctx, func() { _ = listener.Close() })()
	err := serve(listener)
	if !errors.Is(err, net.ErrClosed) {
		return err
	}
	<-ctx.Done()
	return nil
}
