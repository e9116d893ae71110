package loommodel

import (
	"container/heap"
	"time"
)

// timer runs a function at a virtual time. Timers with the same time run in the order of their creation.
type timer struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// timerHeap implements heap.Interface with the earliest timer first.
type timerHeap []timer

func (t timerHeap) Len() int { return len(t) }
func (t timerHeap) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].sequence < t[j].sequence
}
func (t timerHeap) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timerHeap) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timerHeap) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// virtualTime is the clock and the timers of a simulation.
type virtualTime struct {
	now    time.Duration
	timers timerHeap
	// sequence numbers timers; a simulation may use it for other numbers as well.
	sequence uint64
}

// after schedules the function to run after the delay.
func (v *virtualTime) after(d time.Duration, run func()) {
	v.sequence++
	heap.Push(&v.timers, timer{at: v.now + max(d, 0), sequence: v.sequence, run: run})
}

// Run advances virtual time by d and runs all timers that become due.
func (v *virtualTime) Run(d time.Duration) {
	end := v.now + d
	for len(v.timers) > 0 && v.timers[0].at <= end {
		next := heap.Pop(&v.timers).(timer)
		v.now = next.at
		next.run()
	}
	v.now = end
}

// Now returns the virtual time since the start of the simulation.
func (v *virtualTime) Now() time.Duration { return v.now }
