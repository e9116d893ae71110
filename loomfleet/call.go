package loomfleet

import (
	"slices"
	"time"

	"currantloom.example/currantloom"
)

// callTimeoutMargin is added to the queue timeout and the execution timeout of a call: 5 round trips between regions.
const callTimeoutMargin = 300 * time.Millisecond

// call is an attempt of a request, or a command of a failover, that was sent to the owner of an upstream.
type call struct {
	key       currantloom.RequestKey
	request   *request
	upstream  *upstream
	vm        currantloom.VMName
	mode      currantloom.CallMode
	sentAt    time.Duration
	timeoutAt time.Duration
	// requiredPosition is the position that the upstream's log had to cover, requiredAge is how long before the call's
	// arrival it was sampled.
	requiredPosition currantloom.LogPosition
	requiredAge      time.Duration
	// onResult receives the result of a command of a failover.
	onResult func(currantloom.CallResult)
}

// sendCall sends a call to the owner of the upstream, which may be this node.
func (s *State) sendCall(u *upstream, vm currantloom.VMName, m currantloom.Call) *call {
	c := &call{
		key: m.Key, upstream: u, vm: vm, mode: m.Mode, sentAt: s.now,
		timeoutAt: s.now + m.QueueTimeout + m.Timeout + callTimeoutMargin,
	}
	s.requests.calls[m.Key] = c
	u.load.recordSent(s.now)
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

// handleCallResult processes the result of a call that this node made.
func (s *State) handleCallResult(result currantloom.CallResult) {
	c, ok := s.requests.calls[result.Key]
	if !ok {
		return
	}
	delete(s.requests.calls, result.Key)
	s.recordCallLoad(c, result)
	s.recordSample(result.Sample, c.sentAt)
	c.requiredPosition, c.requiredAge = result.RequiredPosition, result.RequiredAge
	c.upstream.observeQueueWait(result.QueueWait, s.now)
	c.upstream.observePosition(result.Reply.Position, c.sentAt)
	s.observePositions(result.Lagging)
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

// discardResult rolls back a transaction that was opened for a request that is already finished.
func (s *State) discardResult(c *call, result currantloom.CallResult) {
	if opensTransaction(c.mode) && result.Verdict != currantloom.NotRun {
		s.sendRollback(c.vm, c.key)
	}
}

func opensTransaction(mode currantloom.CallMode) bool {
	return mode == currantloom.CallBegin || mode == currantloom.CallBeginRead
}

// cancelCall stops waiting for a call and cancels it if it is still queued at the owner.
func (s *State) cancelCall(c *call) {
	delete(s.requests.calls, c.key)
	c.upstream.load.recordEnded()
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

// callsTo returns the calls to a VM in the order in which they were sent.
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
