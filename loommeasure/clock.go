package loommeasure

import (
	"container/heap"
	"time"
)

// clock runs functions in the order of their virtual time. Functions of the same time run in the order of at.
type clock struct {
	now    time.Duration
	number uint64
	queue  calls
}

type call struct {
	at     time.Duration
	number uint64
	run    func()
}

type calls []call

func (c calls) Len() int { return len(c) }

func (c calls) Less(i, j int) bool {
	if c[i].at != c[j].at {
		return c[i].at < c[j].at
	}
	return c[i].number < c[j].number
}

func (c calls) Swap(i, j int) { c[i], c[j] = c[j], c[i] }

func (c *calls) Push(x any) { *c = append(*c, x.(call)) }

func (c *calls) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

// after runs f once the duration has passed.
func (c *clock) after(d time.Duration, f func()) {
	c.number++
	heap.Push(&c.queue, call{at: c.now + max(d, 0), number: c.number, run: f})
}

// runUntil runs everything that is due up to the given time.
func (c *clock) runUntil(end time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= end {
		next := heap.Pop(&c.queue).(call)
		c.now = next.at
		next.run()
	}
	c.now = end
}
