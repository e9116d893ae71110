package loomwire

import (
	"sync"
	"time"
)

// Delay starts functions that most often are stopped before their time. One timer serves all of them, because a timer
// for each request makes the runtime wake a thread in the request's path. A function starts after the interval, and
// at most one more interval later.
type Delay struct {
	interval time.Duration

	mu      sync.Mutex
	waiting map[*Delayed]struct{}
	armed   bool
}

// Delayed is a function that waits for its start.
type Delayed struct {
	delay *Delay
	run   func()
	at    time.Time
}

// NewDelay returns a delay of the given interval.
func NewDelay(interval time.Duration) *Delay {
	return &Delay{interval: interval, waiting: make(map[*Delayed]struct{})}
}

// Start runs the function in its own goroutine after the interval, unless it is stopped before.
func (d *Delay) Start(run func()) *Delayed {
	f := &Delayed{delay: d, run: run, at: time.Now().Add(d.interval)}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.waiting[f] = struct{}{}
	if !d.armed {
		d.armed = true
		time.AfterFunc(d.interval, d.fire)
	}
	return f
}

// Stop reports whether the function did not start; it then never does.
func (f *Delayed) Stop() bool {
	d := f.delay
	d.mu.Lock()
	defer d.mu.Unlock()
	_, waits := d.waiting[f]
	delete(d.waiting, f)
	return waits
}

// fire starts what is due. The timer is armed again only while something waits.
func (d *Delay) fire() {
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
