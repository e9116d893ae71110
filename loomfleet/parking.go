package loomfleet

import (
	"fmt"
	"time"

	"currantloom.example/currantloom"
)

// giveUpAt is when a request without a pending attempt is refused.
func (r *request) giveUpAt() time.Duration { return r.arrivedAt + maxRequestWait }

// park lets the request wait for an upstream, or refuses it if none can be expected.
func (s *State) park(r *request) {
	g := r.group
	if s.now >= r.giveUpAt() || r.needsPrimary() && g.primary == "" && s.now-g.noPrimarySince > maxOutageWait {
		s.giveUp(r, 0)
		return
	}
	r.parked, r.epoch, r.retryAt = true, g.epoch, s.now+parkedRetryInterval
	s.requests.parked = append(s.requests.parked, r)
}

// retryParkedRequests dispatches the parked requests again whose group has a new epoch or whose retry is due.
func (s *State) retryParkedRequests() {
	parked := s.requests.parked
	s.requests.parked = nil
	for _, r := range parked {
		switch {
		case r.finished:
		case r.epoch != r.group.epoch || s.now >= r.retryAt:
			r.parked = false
			r.attempt = min(r.attempt, maxFastAttempts-1)
			s.dispatch(r)
		default:
			s.requests.parked = append(s.requests.parked, r)
		}
	}
}

// giveUp refuses a request of which nothing was run, or nothing persists, and tells the client when to retry.
func (s *State) giveUp(r *request, retryAfter time.Duration) {
	if retryAfter <= 0 {
		retryAfter = time.Second
	}
	retryAfter = s.retryAfter(retryAfter)
	s.finish(r, currantloom.Reply{
		Code: currantloom.ReplyBusy, Detail: fmt.Sprintf("retry after %d ms", retryAfter.Milliseconds()),
	}, nil)
}
