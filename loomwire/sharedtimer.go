package loomwire

import (
	"sync"
	"time"
)

// SharedTimer runs functions after a fixed interval, for callers that stop most of them before that. All of them share
// one runtime timer, because a timer for each request makes the runtime wake a thread in the request's path. A function
// starts between one and two intervals after the call of AfterFunc.
type SharedTimer struct {
	interval time.Duration

	mu        sync.Mutex
	pending   map[*PendingFunc]struct{}
	scheduled bool
}

// PendingFunc is a function that was passed to AfterFunc.
type PendingFunc struct {
	timer *SharedTimer
	fn    func()
	due   time.Time
}

// NewSharedTimer returns a timer with the given interval.
func NewSharedTimer(interval time.Duration) *SharedTimer {
	return &SharedTimer{interval: interval, pending: make(map[*PendingFunc]struct{})}
}

// AfterFunc runs the function in its own goroutine after the interval, unless it is stopped before.
func (t *SharedTimer) AfterFunc(run func()) *PendingFunc {
	f := &PendingFunc{timer: t, fn: run, due: time.Now().Add(t.interval)}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pending[f] = struct{}{}
	if !t.scheduled {
		t.scheduled = true
		time.AfterFunc(t.interval, t.runDue)
	}
	return f
}

// Stop keeps the function from starting. It reports false if the function has already started or was stopped before.
func (f *PendingFunc) Stop() bool {
	t := f.timer
	t.mu.Lock()
	defer t.mu.Unlock()
	_, pending := t.pending[f]
	delete(t.pending, f)
	return pending
}

// runDue starts the functions that are due. It schedules itself again only while functions are pending.
func (t *SharedTimer) runDue() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for f := range t.pending {
		if !now.Before(f.due) {
			delete(t.pending, f)
			go f.fn()
		}
	}
	t.scheduled = len(t.pending) > 0
	if t.scheduled {
		time.AfterFunc(t.interval, t.runDue)
	}
}
