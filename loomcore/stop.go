package loomcore

// stopping is the progress of the graceful shutdown.
type stopping struct {
	requested bool
	stopped   bool
}

func (s *State) stopRequested() {
	if s.stop.requested {
		return
	}
	s.stop.requested = true
	s.emit(SetReady{Ready: false})
	s.emit(DrainSessions{})
}

func (s *State) tickStop() {
	if !s.stop.requested || s.stop.stopped || len(s.requests.open) > 0 || !s.carrierIdle() {
		return
	}
	s.stop.stopped = true
	s.emit(ShutdownFinished{})
}
