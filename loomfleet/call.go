package loomfleet

import (
	"slices"
	"time"

	"currantloom.example/currantloom"
)

// callTimeoutMargin is how much longer than its queue and its run a call may take, 5 round trips between regions.
const callTimeoutMargin = 300 * time.Millisecond

// call is an attempt of a request, or a command of a failover, at a carrier.
type call struct {
	key       currantloom.RequestKey
	request   *request
	upstream  *upstream
	vm        currantloom.VMName
	mode      currantloom.CallMode
	sentAt    time.Duration
	timeoutAt time.Duration
	// requiredPosition is what the log of the upstream had to cover, fresh how long before the arrival that was taken.
	requiredPosition currantloom.LogPosition
	requiredAge      time.Duration
	// onResult takes the answer of a command of a failover.
	onResult func(currantloom.CallResult)
}

// sendCall hands a call to its carrier, which may be this node.
func (s *State) sendCall(u *upstream, vm currantloom.VMName, m currantloom.Call) *call {
	c := &call{
		key: m.Key, upstream: u, vm: vm, mode: m.Mode, sentAt: s.now,
		timeoutAt: s.now + m.QueueTimeout + m.Timeout + callTimeoutMargin,
	}
	s.requests.calls[m.Key] = c
	if vm == s.config.Self {
		s.deferCall(func() { s.handleCall(0, m) })
		return c
	}
	if peer, ok := s.members.byName[vm]; ok {
		peer.usedAt = s.now
	}
	s.emit(Send{VM: s.vmOf(vm), Message: m})
	return c
}

// handleCallResult brings the answer to a call of this node.
func (s *State) handleCallResult(result currantloom.CallResult) {
	c, ok := s.requests.calls[result.Key]
	if !ok {
		return
	}
	delete(s.requests.calls, result.Key)
	s.recordSample(result.Sample, c.sentAt)
	c.requiredPosition, c.requiredAge = result.RequiredPosition, result.RequiredAge
	c.upstream.observeQueueWait(result.QueueWait, s.now)
	c.upstream.observePosition(result.Reply.Position, c.sentAt)
	if c.onResult != nil {
		c.onResult(result)
		return
	}
	r := c.request
	r.calls = slices.DeleteFunc(r.calls, func(other *call) bool { return other == c })
	r.lastFailure = result.Reason
	if result.Verdict != currantloom.Ran {
		s.logAttempt(r, c, result)
	}
	switch {
	case r.finished:
		s.discardResult(c, result)
	case result.Verdict == currantloom.Ran:
		s.handleRan(r, c, result)
	case result.Verdict == currantloom.NotRun:
		s.handleNotRun(r, c, result)
	default:
		s.handleMayHaveRun(r, c, result)
	}
}

// discardResult ends a transaction that was opened for a request that was answered otherwise.
func (s *State) discardResult(c *call, result currantloom.CallResult) {
	if opensTransaction(c.mode) && result.Verdict != currantloom.NotRun {
		s.sendRollback(c.vm, c.key)
	}
}

func opensTransaction(mode currantloom.CallMode) bool {
	return mode == currantloom.CallBegin || mode == currantloom.CallBeginRead
}

// cancelCall gives up a call if it still waits in a queue.
func (s *State) cancelCall(c *call) {
	delete(s.requests.calls, c.key)
	if c.vm == s.config.Self {
		s.deferCall(func() { s.handleCancelCall(c.key) })
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
		s.handleCallResult(currantloom.CallResult{Key: c.key, Verdict: verdict, Reason: currantloom.ReasonLinkFailed})
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
