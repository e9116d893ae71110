// Package loomlog writes structured log lines without blocking the caller: lines are added to a bounded queue that one
// goroutine writes. Routine lines, those on ordinary work, have a rate limit, so that they cannot fill the queue. The
// log itself reports how many lines were left out. Texts are shortened and hold printable characters only, so that a
// text of a client can neither forge a line nor fill the log. Explain extracts the lines on one request from a log.
package loomlog

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/charmbracelet/log"
)

const (
	// maxQueuedLines bounds the queue of lines to be written.
	maxQueuedLines = 8192
	// flushInterval is the time between two writes. To wake the writer for each line would add the wake-up of a runtime
	// thread to the latency of every statement.
	flushInterval = 20 * time.Millisecond
	// finalFlushTimeout bounds the last write at shutdown, which blocks if nothing reads the output.
	finalFlushTimeout = time.Second
)

// Line is a line of the log: an event and its fields, as alternating names and values.
type Line struct {
	Event  string
	Fields []any
	Warn   bool
	// Routine says that the line is on ordinary work and counts towards the rate limit.
	Routine bool
}

// Writer writes lines in the background while Run runs. Create it with New or NewWithLogger.
type Writer struct {
	logger *log.Logger
	// maxRoutinePerFlush bounds the routine lines of one flush; zero means no limit.
	maxRoutinePerFlush int

	mu    sync.Mutex
	queue []Line
	// queuedRoutine counts the routine lines in the queue, omitted those that exceeded the rate limit, and dropped the
	// lines that found the queue full.
	queuedRoutine, omitted, dropped int
}

// New returns a writer of logfmt lines. It writes about routinePerSecond routine lines per second at most, and at least
// one per flush; zero means no limit.
func New(out io.Writer, level log.Level, routinePerSecond int) *Writer {
	return NewWithLogger(log.NewWithOptions(out, log.Options{
		Formatter: log.LogfmtFormatter, ReportTimestamp: true, TimeFormat: "2006-01-02T15:04:05.000Z07:00", Level: level,
	}), routinePerSecond)
}

// NewWithLogger is like New with a given logger.
func NewWithLogger(l *log.Logger, routinePerSecond int) *Writer {
	w := &Writer{logger: l}
	if routinePerSecond > 0 {
		w.maxRoutinePerFlush = max(1, routinePerSecond*int(flushInterval)/int(time.Second))
	}
	return w
}

// Enqueue adds a line to the queue, or counts it as omitted or dropped. It never waits for a write.
func (w *Writer) Enqueue(l Line) {
	l.Fields = shortenFields(l.Fields)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case l.Routine && w.maxRoutinePerFlush > 0 && w.queuedRoutine >= w.maxRoutinePerFlush:
		w.omitted++
		return
	case len(w.queue) >= maxQueuedLines:
		w.dropped++
		return
	}
	if l.Routine {
		w.queuedRoutine++
	}
	w.queue = append(w.queue, l)
}

// Run writes lines until the context ends, then writes the remaining ones, for at most finalFlushTimeout.
func (w *Writer) Run(ctx context.Context) error {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		var written []Line
		for ctx.Err() == nil {
			select {
			case <-ticker.C:
				written = w.flush(written)
			case <-ctx.Done():
			}
		}
		w.flush(written)
	}()
	<-ctx.Done()
	select {
	case <-done:
	case <-time.After(finalFlushTimeout):
	}
	return nil
}

// flush writes the queued lines and returns their slice. The queue reuses the slice that the previous call returned.
func (w *Writer) flush(previous []Line) []Line {
	w.mu.Lock()
	lines, dropped, omitted := w.queue, w.dropped, w.omitted
	w.queue, w.dropped, w.queuedRoutine = previous[:0], 0, 0
	if len(lines) > 0 {
		w.omitted = 0
	}
	w.mu.Unlock()
	if dropped > 0 {
		w.logger.Warn("lines dropped", "count", dropped)
	}
	for _, l := range lines {
		write := w.logger.Info
		if l.Warn {
			write = w.logger.Warn
		}
		write(l.Event, loggedFields(l.Fields)...)
	}
	if omitted > 0 && len(lines) > 0 {
		w.logger.Info("routine lines omitted", "count", omitted)
	}
	return lines
}
