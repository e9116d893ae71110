package loomtask_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"currantloom.example/currantloom/loomtask"
)

// TestGroup guards against tasks that keep running after one of them has failed.
func TestGroup(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	failure := errors.New("failed")
	var g loomtask.Group
	g.Add(ctx, cancel, func(context.Context) error { return failure })
	ended := false
	g.Add(ctx, cancel, func(ctx context.Context) error {
		<-ctx.Done()
		ended = true
		return nil
	})
	if err := g.Run(); !errors.Is(err, failure) {
		t.Errorf("error %v, want %v", err, failure)
	}
	if !ended {
		t.Error("Run returned before the other task had ended")
	}
}

// TestEvery guards against calls that continue after the context has ended.
func TestEvery(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	calls := 0
	err := loomtask.Every(ctx, time.Millisecond, func() {
		if calls++; calls == 3 {
			cancel()
		}
	})
	if err != nil || calls < 3 || calls > 4 {
		t.Errorf("%d calls, error %v; want 3, or 4 if a tick was already due", calls, err)
	}
}

// TestServeUntil guards against a return before the end of the context because the listener was closed early, which
// would end the node in the middle of its graceful shutdown.
func TestServeUntil(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		ended <- loomtask.ServeUntil(ctx, func(l net.Listener) error {
			_, err := l.Accept()
			return err
		}, listener)
	}()
	_ = listener.Close()
	select {
	case err := <-ended:
		t.Fatalf("returned when the listener was closed: %v", err)
	case <-time.After(50 * time.Millisecond):
	}
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
