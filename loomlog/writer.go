// Package loomlog writes structured log lines without ever making the caller wait: lines go into a bounded queue, and
// one goroutine writes them. Lines on ordinary work have a budget of their own, so that they cannot displace the
// others; what is left out is counted in the log itself.
package loomlog

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/charmbracelet/log"
)

const (
	// maxWaiting bounds the lines that wait to be written.
	maxWaiting = 8192
	// writeInterval is the time between two writes. Waking the writer for each line also wakes a thread of the runtime
	// in the path of every statement.
	writeInterval = 20 * time.Millisecond
	// lastWrite bounds the write of what is left at the end, if nobody reads the output.
	lastWrite = time.Second
)

// Line is one line of the log: an event and its fields, as alternating names and values.
type Line struct {
	Event  string
	Fields []any
	Warn   bool
	// Routine says that the line tells of ordinary work, and may be left out.
	Routine bool
}

// Writer writes lines. The zero value drops them; use New.
type Writer struct {
	log *log.Logger
	// routinePerWrite bounds the routine lines of one write; zero means that they are not bounded.
	routinePerWrite int

	mu      sync.Mutex
	waiting []Line
	// routine counts the routine lines that wait, omitted those left out for their budget, dropped all others.
	routine, omitted, dropped int
}

// New returns a writer that writes at most the given number of routine lines per second; zero means all.
func New(out io.Writer, level log.Level, routinePerSecond int) *Writer {
	return NewWithLogger(log.NewWithOptions(out, log.Options{
		Formatter: log.LogfmtFormatter, ReportTimestamp: true, TimeFormat: "2006-01-02T15:04:05.000Z07:00", Level: level,
	}), routinePerSecond)
}

// NewWithLogger returns a writer that writes with a logger of the caller.
func NewWithLogger(l *log.Logger, routinePerSecond int) *Writer {
	w := &Writer{log: l}
	if routinePerSecond > 0 {
		w.routinePerWrite = max(1, routinePerSecond*int(writeInterval)/int(time.Second))
	}
	return w
}

// Enqueue adds a line, or counts it as left out.
func (w *Writer) Enqueue(l Line) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case l.Routine && w.routinePerWrite > 0 && w.routine >= w.routinePerWrite:
		w.omitted++
		return
	case len(w.waiting) >= maxWaiting:
		w.dropped++
		return
	}
	if l.Routine {
		w.routine++
	}
	w.waiting = append(w.waiting, l)
}

// Run writes lines until the context ends, and then those that are left.
func (w *Writer) Run(ctx context.Context) error {
	ticker := time.NewTicker(writeInterval)
	defer ticker.Stop()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		var written []Line
		for ctx.Err() == nil {
			select {
			case <-ticker.C:
				written = w.writeWaiting(written)
			case <-ctx.Done():
			}
		}
		w.writeWaiting(written)
	}()
	<-ctx.Done()
	select {
	case <-ended:
	case <-time.After(lastWrite):
	}
	return nil
}

// writeWaiting writes the lines that wait, and returns their memory. It gives the memory of the previous call back to
// the queue.
func (w *Writer) writeWaiting(previous []Line) []Line {
	w.mu.Lock()
	waiting, dropped, omitted := w.waiting, w.dropped, w.omitted
	w.waiting, w.dropped, w.routine = previous[:0], 0, 0
	if len(waiting) > 0 {
		w.omitted = 0
	}
	w.mu.Unlock()
	if dropped > 0 {
		w.log.Warn("lines dropped", "count", dropped)
	}
	for _, l := range waiting {
		if l.Warn {
			w.log.Warn(l.Event, l.Fields...)
			continue
		}
		w.log.Info(l.Event, l.Fields...)
	}
	if omitted > 0 && len(waiting) > 0 {
		w.log.Info("routine lines omitted", "count", omitted)
	}
	return waiting
}
