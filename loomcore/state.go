package loomcore

import (
	"time"

	"currantloom.example/currantloom"
)

// TickInterval is the time between two Tick events.
const TickInterval = 50 * time.Millisecond

const (
	// processPauseThreshold is the time without events above which the process counts as having been paused. Ticks come
	// every 50 ms.
	processPauseThreshold = 450 * time.Millisecond
	// lateEventPeriod is how long after a pause events may still report things that happened before or during it.
	lateEventPeriod = time.Second
	// resumeAdmissionDelay is how long a node starts no new attempts after a pause. Events that were queued behind the
	// attempts, such as a VM list that shows a leaving upstream, are handled first.
	resumeAdmissionDelay = 150 * time.Millisecond
)

// Config is the part of the node's settings that the reducer needs.
type Config struct {
	Self      currantloom.VMName
	Location  currantloom.Location
	Databases []currantloom.Database
}

// State is the state of the reducer of one node. The zero value is a node without databases.
type State struct {
	self     currantloom.VMName
	location currantloom.Location
	now      time.Duration
	random   uint64
	effects  []Effect
	// resumedAt is the end of the last pause of the process.
	resumedAt time.Duration

	rules      activeRules
	membership membership
	groups     map[currantloom.DatabaseName]*group
	// orderedGroups holds the groups in the order of the settings, which makes the order of effects deterministic.
	orderedGroups    []*group
	groupsByUpstream map[currantloom.UpstreamName]*group
	requests         openRequests
	owner            ownerState
	shutdown         shutdownState
}

// New returns the state of a node that has just started.
func New(c Config) *State {
	s := &State{
		self:             c.Self,
		location:         c.Location,
		groups:           make(map[currantloom.DatabaseName]*group),
		groupsByUpstream: make(map[currantloom.UpstreamName]*group),
	}
	for _, d := range c.Databases {
		s.addDatabase(d)
	}
	return s
}

// Reduce applies an event and returns its effects in order. The slice is valid until the next call.
func (s *State) Reduce(e Event) []Effect {
	stamp := e.stamp()
	if stamp.Now-s.now > processPauseThreshold {
		s.resumedAt = stamp.Now
	}
	s.now = max(s.now, stamp.Now)
	s.random = stamp.Random
	s.effects = s.effects[:0]
	s.apply(e)
	s.recheckWaiting(e)
	return s.effects
}

// apply calls the handler of the event.
func (s *State) apply(e Event) {
	switch e := e.(type) {
	case Tick:
		s.tick()
	case ShutdownRequested:
		s.shutdownRequested()
	case RulesReceived:
		s.rulesReceived(e)
	case VMsReceived:
		s.vmsReceived(e)
		s.rulesVMsReceived()
	case PeerFailed:
		s.peerFailed(e)
		s.rulesPeerFailed(e.VM)
	case ControlFailed:
		s.rulesPeerFailed(e.VM)
	case PeerAnswered:
		s.peerAnswered(e)
		s.rulesPeerAnswered(e)
	case StatusReceived:
		s.statusReceived(e)
	case StatusFailed:
		s.statusFailed(e)
	case RaiseTermAnswered:
		s.raiseTermAnswered(e)
	case PromoteAnswered:
		s.promoteAnswered(e)
	case RequestArrived:
		s.requestArrived(e)
	case ForwardFinished:
		s.forwardFinished(e)
	case RequestCancelled:
		s.requestCancelled(e)
	case AttemptArrived:
		s.attemptArrived(e)
	case RunAnswered:
		s.runAnswered(e)
	case ConfirmPositionAnswered:
		s.confirmPositionAnswered(e)
	case RunFinished:
		s.runFinished(e)
	case AttemptCancelled:
		s.attemptCancelled(e)
	case TransactionEnded:
		s.transactionEnded(e)
	}
}

// recheckWaiting decides again on waiting attempts and requests after an event that may have changed a group, the rules
// or the VMs.
func (s *State) recheckWaiting(e Event) {
	if r, ok := e.(StatusReceived); ok {
		s.owner.commitWait.observe(r.Upstream, s.now-r.SentAt)
	}
	switch e.(type) {
	case StatusReceived, StatusFailed, RaiseTermAnswered, PromoteAnswered, RulesReceived, VMsReceived:
		s.recheckAttempts()
		s.recheckRequests()
	}
}

// tick lets every part of the state act on the passing of time.
func (s *State) tick() {
	s.tickGroups()
	s.tickOwner()
	s.tickRequests()
	s.tickMembership()
	s.tickRules()
	s.tickShutdown()
}

// eventMayBeLate reports whether the current event may report something that happened long ago, because the node has
// just started or resumed.
func (s *State) eventMayBeLate() bool { return s.now-s.resumedAt < lateEventPeriod }

// delaysAdmissionAfterPause reports whether the node has resumed so recently that it starts no new attempts yet.
func (s *State) delaysAdmissionAfterPause() bool {
	return s.resumedAt > 0 && s.now-s.resumedAt < resumeAdmissionDelay
}

// emit appends an effect to those of the current event.
func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }
