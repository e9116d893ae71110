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

	mu      sync.Mutex
	waiting map[*PendingFunc]struct{}
	armed   bool
}

// PendingFunc is a function that was passed to AfterFunc.
type PendingFunc struct {
	delay *SharedTimer
	run   func()
	at    time.Time
}

// NewSharedTimer returns a timer with the given interval.
func NewSharedTimer(interval time.Duration) *SharedTimer {
	return &SharedTimer{interval: interval, waiting: make(map[*PendingFunc]struct{})}
}

// AfterFunc runs the function in its own goroutine after the interval, unless it is stopped before.
func (d *SharedTimer) AfterFunc(run func()) *PendingFunc {
	f := &PendingFunc{delay: d, run: run, at: time.Now().Add(d.interval)}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.waiting[f] = struct{}{}
	if !d.armed {
		d.armed = true
		time.AfterFunc(d.interval, d.fire)
	}
	return f
}

// Stop keeps the function from starting. It reports false if the function has already started or was stopped before.
func (f *PendingFunc) Stop() bool {
	d := f.delay
	d.mu.Lock()
	defer d.mu.Unlock()
	_, waits := d.waiting[f]
	delete(d.waiting, f)
	return waits
}

// fire starts what is due. The timer is armed again only while something waits.
func (d *SharedTimer) fire() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for f := range d.waiting {
		if !now.Before(f.at) {
			delete(d.waiting, f)
			go f.run()
		}
	}
	d.armed = len(d.waiting) > 0
	if d.armed {
		time.AfterFunc(d.interval, d.fire)
	}
}
