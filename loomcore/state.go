package loomcore

import (
	"time"

	"currantloom.example/currantloom"
)

// TickInterval is the time between two Tick events.
const TickInterval = 50 * time.Millisecond

// Config is what a node learns from its settings.
type Config struct {
	Self      currantloom.VMName
	Place     currantloom.Place
	Databases []currantloom.Database
}

// State is the state of a node's decisions. The zero value is a node without databases.
type State struct {
	self    currantloom.VMName
	place   currantloom.Place
	now     time.Duration
	random  uint64
	effects []Effect

	rules   rulesInEffect
	members members
	groups  map[currantloom.DatabaseName]*group
	// ordered holds the groups in the order of the settings, so that effects come in a fixed order.
	ordered  []*group
	servers  map[currantloom.ServerName]*group
	requests requests
	carrier  carrier
	stop     stopping
}

// New returns the state of a node at its start.
func New(c Config) *State {
	s := &State{
		self:    c.Self,
		place:   c.Place,
		groups:  make(map[currantloom.DatabaseName]*group),
		servers: make(map[currantloom.ServerName]*group),
	}
	for _, d := range c.Databases {
		s.addDatabase(d)
	}
	return s
}

// Reduce applies an event and returns its effects in order. The slice is valid until the next call.
func (s *State) Reduce(e Event) []Effect {
	stamp := e.stamp()
	s.now = max(s.now, stamp.Now)
	s.random = stamp.Random
	s.effects = s.effects[:0]
	s.apply(e)
	s.review(e)
	return s.effects
}

// apply calls the handler of the event. Handlers are methods in the file of their concept.
func (s *State) apply(e Event) {
	switch e := e.(type) {
	case Tick:
		s.tick()
	case StopRequested:
		s.stopRequested()
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
	case TermAnswered:
		s.termAnswered(e)
	case LeadAnswered:
		s.leadAnswered(e)
	case RequestArrived:
		s.requestArrived(e)
	case ForwardFinished:
		s.forwardFinished(e)
	case RequestCancelled:
		s.requestCancelled(e)
	case WorkArrived:
		s.workArrived(e)
	case WorkAnswered:
		s.workAnswered(e)
	case MarkConfirmed:
		s.markConfirmed(e)
	case WorkFinished:
		s.workFinished(e)
	case WorkCancelled:
		s.workCancelled(e)
	case TransactionEnded:
		s.transactionEnded(e)
	}
}

// review lets waiting work and requests act on what the event changed for the groups or the VMs.
func (s *State) review(e Event) {
	switch e.(type) {
	case StatusReceived, StatusFailed, TermAnswered, LeadAnswered, RulesReceived, VMsReceived:
		s.reviewCarrier()
		s.reviewRequests()
	}
}

// tick lets every part act on the passing of time.
func (s *State) tick() {
	s.tickGroups()
	s.tickCarrier()
	s.tickRequests()
	s.tickMembers()
	s.tickRules()
	s.tickStop()
}

// emit appends an effect to those of the current event.
func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }
