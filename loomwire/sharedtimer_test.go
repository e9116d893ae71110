package loomwire

import (
	"testing"
	"time"
)

// TestSharedTimer guards against a function that never starts and against one that starts after Stop: the watch of a
// request would then read the messages of the next request.
func TestSharedTimer(t *testing.T) {
	timer := NewSharedTimer(5 * time.Millisecond)
	// The second round checks that the timer is scheduled again after it had no pending functions.
	for range 2 {
		started, never := make(chan struct{}), make(chan struct{})
		stopped := timer.AfterFunc(func() { close(never) })
		kept := timer.AfterFunc(func() { close(started) })
		if !stopped.Stop() {
			t.Fatal("function started before the interval")
		}
		select {
		case <-started:
		case <-time.After(10 * time.Second):
			t.Fatal("function did not start")
		}
		if kept.Stop() {
			t.Fatal("started function was reported as stopped")
		}
		select {
		case <-never:
			t.Fatal("stopped function started")
		case <-time.After(30 * time.Millisecond):
		}
	}
}
