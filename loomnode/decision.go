package loomnode

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomcore"
)

const (
	// decisionQueue bounds the decisions that wait to be written. At 530 statements/s it holds several seconds.
	decisionQueue = 8192
	// decisionInterval is the time between two writes of the decisions that wait. Waking the writer for each decision
	// also wakes a thread of the runtime in the path of every statement.
	decisionInterval = 20 * time.Millisecond
)

// decisionLog writes decisions from its own goroutine, because the reducer must not wait for the log.
type decisionLog struct {
	log *log.Logger

	mu      sync.Mutex
	waiting []loomcore.Decision
	dropped int
}

func newDecisionLog(l *log.Logger) *decisionLog { return &decisionLog{log: l} }

// put adds a decision, or counts it as dropped if the log does not keep up.
func (d *decisionLog) put(e loomcore.Decision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.waiting) >= decisionQueue {
		d.dropped++
		return
	}
	d.waiting = append(d.waiting, e)
}

// run writes decisions until the context ends, and then those that are left.
func (d *decisionLog) run(ctx context.Context) error {
	ticker := time.NewTicker(decisionInterval)
	defer ticker.Stop()
	var written []loomcore.Decision
	for {
		select {
		case <-ticker.C:
			written = d.writeWaiting(written)
		case <-ctx.Done():
			d.writeWaiting(written)
			return nil
		}
	}
}

// writeWaiting writes the decisions that wait, and returns their memory. It gives the memory of the previous call back
// to the queue.
func (d *decisionLog) writeWaiting(previous []loomcore.Decision) []loomcore.Decision {
	d.mu.Lock()
	waiting, dropped := d.waiting, d.dropped
	d.waiting, d.dropped = previous[:0], 0
	d.mu.Unlock()
	if dropped > 0 {
		d.log.Warn("decisions dropped", "count", dropped)
	}
	for _, e := range waiting {
		d.write(e)
	}
	return waiting
}

// write writes one line with every field that is not empty.
func (d *decisionLog) write(e loomcore.Decision) {
	fields := make([]any, 0, 14)
	add := func(name string, empty bool, value any) {
		if !empty {
			fields = append(fields, name, value)
		}
	}
	add("request", e.Key == currantloom.RequestKey{}, e.Key)
	add("caller", e.Caller == "", e.Caller)
	add("server", e.Server == "", e.Server)
	add("vm", e.VM == "", e.VM)
	add("term", e.Term == 0, e.Term)
	add("revision", e.Revision == 0, e.Revision)
	add("reason", e.Reason == "", e.Reason)
	d.log.Info(e.Event, fields...)
}
