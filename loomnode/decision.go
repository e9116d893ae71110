package loomnode

import (
	"context"
	"sync/atomic"

	"github.com/charmbracelet/log"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomcore"
)

// decisionQueue bounds the decisions that wait to be written. At 530 statements/s it holds several seconds.
const decisionQueue = 8192

// decisionLog writes decisions from its own goroutine, because the reducer must not wait for the log.
type decisionLog struct {
	log     *log.Logger
	queue   chan loomcore.Decision
	dropped atomic.Int64
}

func newDecisionLog(l *log.Logger) *decisionLog {
	return &decisionLog{log: l, queue: make(chan loomcore.Decision, decisionQueue)}
}

// put adds a decision, or counts it as dropped if the log does not keep up.
func (d *decisionLog) put(e loomcore.Decision) {
	select {
	case d.queue <- e:
	default:
		d.dropped.Add(1)
	}
}

// run writes decisions until the context ends, and then those that are left.
func (d *decisionLog) run(ctx context.Context) error {
	for {
		select {
		case e := <-d.queue:
			d.write(e)
		case <-ctx.Done():
			for len(d.queue) > 0 {
				d.write(<-d.queue)
			}
			return nil
		}
	}
}

// write writes one line with every field that is not empty.
func (d *decisionLog) write(e loomcore.Decision) {
	if n := d.dropped.Swap(0); n > 0 {
		d.log.Warn("decisions dropped", "count", n)
	}
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
