package loomwire

import (
	"testing"
	"time"
)

// TestDelayStartsWhatIsNotStopped guards against a watch that never starts, and against one that starts after its
// request has ended and reads the next one.
func TestDelayStartsWhatIsNotStopped(t *testing.T) {
	d := NewSharedTimer(5 * time.Millisecond)
	// The second round needs the timer to be armed again.
	for range 2 {
		started, never := make(chan struct{}), make(chan struct{})
		stopped := d.AfterFunc(func() { close(never) })
		kept := d.AfterFunc(func() { close(started) })
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
