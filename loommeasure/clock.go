package loommeasure

import (
	"container/heap"
	"time"
)

// clock runs functions in the order of their virtual time. Functions that are due at the same time run in the order in
// which they were scheduled.
type clock struct {
	now          time.Duration
	lastSequence uint64
	pending      callHeap
}

type scheduledCall struct {
	at       time.Duration
	sequence uint64
	run      func()
}

type callHeap []scheduledCall

func (c callHeap) Len() int { return len(c) }

func (c callHeap) Less(i, j int) bool {
	if c[i].at != c[j].at {
		return c[i].at < c[j].at
	}
	return c[i].sequence < c[j].sequence
}

func (c callHeap) Swap(i, j int) { c[i], c[j] = c[j], c[i] }

func (c *callHeap) Push(x any) { *c = append(*c, x.(scheduledCall)) }

func (c *callHeap) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

// after schedules f to run d from now.
func (c *clock) after(d time.Duration, f func()) {
	c.lastSequence++
	heap.Push(&c.pending, scheduledCall{at: c.now + max(d, 0), sequence: c.lastSequence, run: f})
}

// runUntil runs all functions that are due up to the given time and sets the clock to it.
func (c *clock) runUntil(end time.Duration) {
	for len(c.pending) > 0 && c.pending[0].at <= end {
		next := heap.Pop(&c.pending).(scheduledCall)
		c.now = next.at
		next.run()
	}
	c.now = end
}
