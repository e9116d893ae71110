package loomwatch

import "time"

// maxRequests is the number of requests whose answers are awaited; an answer to an earlier one is too old to be of use.
const maxRequests = 8

// requests holds the times of the last requests by their consecutive numbers.
type requests struct {
	next  uint64
	count int
	times [maxRequests]time.Duration
	last  time.Duration
}

// add records a request and returns its number. No request has the number zero.
func (r *requests) add(now time.Duration) uint64 {
	if r.next == 0 {
		r.next++
	}
	number := r.next
	r.next++
	r.times[number%maxRequests], r.last = now, now
	r.count = min(r.count+1, maxRequests)
	return number
}

// find returns the time of a request; false if it is not one of the last ones.
func (r *requests) find(number uint64) (time.Duration, bool) {
	back := r.next - number
	if number == 0 || back == 0 || back > uint64(r.count) {
		return 0, false
	}
	return r.times[number%maxRequests], true
}
