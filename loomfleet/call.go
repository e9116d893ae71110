package loomfleet

import (
	"slices"
	"time"

	"currantloom.example/currantloom"
)

// callMargin is how much longer than its queue and its run a call may take, 5 round trips between regions.
const callMargin = 300 * time.Millisecond

// call is an attempt of a request, or a command of a failover, at a carrier.
type call struct {
	key       currantloom.RequestKey
	request   *request
	upstream  *upstream
	vm        currantloom.VMName
	mode      currantloom.CallMode
	sentAt    time.Duration
	timeoutAt time.Duration
	// required is what the log of the upstream had to cover, fresh how long before the arrival that was taken.
	required currantloom.LogPosition
	fresh    time.Duration
	// done takes the answer of a command of a failover.
	done func(currantloom.CallResult)
}

// sendCall hands a call to its carrier, which may be this node.
func (s *State) sendCall(u *upstream, vm currantloom.VMName, m currantloom.Call) *call {
	c := &call{
		key: m.Key, upstream: u, vm: vm, mode: m.Mode, sentAt: s.now,
		timeoutAt: s.now + m.QueueTimeout + m.Timeout + callMargin,
	}
	s.requests.calls[m.Key] = c
	if vm == s.config.Self {
		s.later(func() { s.callReceived(0, m) })
		return c
	}
	if known, ok := s.members.byName[vm]; ok {
		known.usedAt = s.now
	}
	s.emit(Send{VM: s.vmOf(vm), Message: m})
	return c
}

// callAnswered brings the answer to a call of this node.
func (s *State) callAnswered(a currantloom.CallResult) {
	c, ok := s.requests.calls[a.Key]
	if !ok {
		return
	}
	delete(s.requests.calls, a.Key)
	s.sampled(a.Sample, c.sentAt)
	c.required, c.fresh = a.RequiredPosition, a.RequiredAge
	c.upstream.expect(a.QueueWait, s.now)
	c.upstream.saw(a.Reply.Position, c.sentAt)
	if c.done != nil {
		c.done(a)
		return
	}
	r := c.request
	r.calls = slices.DeleteFunc(r.calls, func(other *call) bool { return other == c })
	r.last = a.Reason
	if a.Verdict != currantloom.Ran {
		s.logAttempt(r, c, a)
	}
	switch {
	case r.done:
		s.dropAnswer(c, a)
	case a.Verdict == currantloom.Ran:
		s.ran(r, c, a)
	case a.Verdict == currantloom.NotRun:
		s.notRun(r, c, a)
	default:
		s.mayHaveRun(r, c, a)
	}
}

// dropAnswer ends a transaction that was opened for a request that was answered otherwise.
func (s *State) dropAnswer(c *call, a currantloom.CallResult) {
	if opens(c.mode) && a.Verdict != currantloom.NotRun {
		s.sendEnd(c.vm, c.key)
	}
}

func opens(mode currantloom.CallMode) bool {
	return mode == currantloom.CallBegin || mode == currantloom.CallBeginRead
}

// cancelCall gives up a call if it still waits in a queue.
func (s *State) cancelCall(c *call) {
	delete(s.requests.calls, c.key)
	if c.vm == s.config.Self {
		s.later(func() { s.callCancelled(c.key) })
		return
	}
	s.emit(Send{VM: s.vmOf(c.vm), Message: currantloom.CancelCall{Key: c.key}})
}

// failCalls ends the calls to a VM whose link failed.
func (s *State) failCalls(vm currantloom.VMName, sent bool) {
	verdict := currantloom.NotRun
	if sent {
		verdict = currantloom.MayHaveRun
	}
	for _, c := range s.callsTo(vm) {
		s.callAnswered(currantloom.CallResult{Key: c.key, Verdict: verdict, Reason: currantloom.ReasonLinkFailed})
	}
}

// callsTo returns the calls to a VM in the order in which they were made.
func (s *State) callsTo(vm currantloom.VMName) []*call {
	var calls []*call
	for _, c := range s.requests.calls {
		if c.vm == vm {
			calls = append(calls, c)
		}
	}
	slices.SortFunc(calls, func(a, b *call) int { return int(a.key.Number) - int(b.key.Number) })
	return calls
}
