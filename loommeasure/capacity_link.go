package loommeasure

import (
	"context"
	"errors"
	"io"
	"runtime"
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loompeer"
)

// refusingLink is the owner's end of a link; it refuses every request.
type refusingLink struct{}

// Run refuses the request.
func (refusingLink) Run(
	context.Context, currantloom.RequestHeader, []byte, currantloom.ResponseWriter,
) currantloom.ResponseTrailer {
	return currantloom.ResponseTrailer{Verdict: currantloom.NotRun, SQLState: currantloom.SQLStateShuttingDown}
}

// Release does nothing.
func (refusingLink) Release() {}

// discardWriter is a response writer that discards all messages.
type discardWriter struct{}

// WriteMessage reads and discards a message.
func (discardWriter) WriteMessage(_ byte, _ int, body io.Reader) error {
	_, err := io.Copy(io.Discard, body)
	return err
}

// Flush does nothing.
func (discardWriter) Flush() error { return nil }

// heapAndStackBytes returns the bytes in use on the heap and in stacks after garbage collection.
func heapAndStackBytes() float64 {
	heap := heapBytes()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(heap + m.StackInuse)
}

// linkMemory returns the memory of n open links, including both ends. Each link has run one request.
func linkMemory(n int) (float64, error) {
	listener, err := listenLoopback()
	if err != nil {
		return 0, err
	}
	server := loompeer.LinkServer{OpenLink: func() currantloom.Link { return refusingLink{} }}
	served := make(chan struct{})
	go func() { _ = server.Serve(listener); close(served) }()
	defer func() { _ = listener.Close(); <-served; _ = server.Close() }()
	var dialer loompeer.Dialer
	defer func() { _ = dialer.Close() }()
	vm := currantloom.NewVM("loom-vm-0001", locationOf(1), listener.Addr().String(), "", currantloom.VMLive)
	before := heapAndStackBytes()
	links := make([]currantloom.Link, 0, n)
	defer func() {
		for _, l := range links {
			l.Release()
		}
	}()
	for range n {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		l, err := dialer.Link(ctx, vm)
		if err != nil {
			cancel()
			return 0, err
		}
		links = append(links, l)
		t := l.Run(ctx, currantloom.RequestHeader{
			Key: currantloom.RequestKey{VM: "loom-vm-0002", Number: uint64(len(links))}, Remaining: time.Second,
		}, []byte("Q\x00\x00\x00\x05\x00"), discardWriter{})
		cancel()
		if t.SQLState != currantloom.SQLStateShuttingDown {
			return 0, errors.New("link answered with " + string(t.SQLState) + ": " + t.Reason)
		}
	}
	return heapAndStackBytes() - before, nil
}
