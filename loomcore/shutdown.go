package loomcore

// shutdownState is the progress of the graceful shutdown.
type shutdownState struct {
	requested bool
	finished  bool
}

func (s *State) shutdownRequested() {
	if s.shutdown.requested {
		return
	}
	s.shutdown.requested = true
	s.emit(SetReady{Ready: false})
	s.emit(DrainSessions{})
}

func (s *State) tickShutdown() {
	if !s.shutdown.requested || s.shutdown.finished || len(s.requests.open) > 0 || !s.ownerIdle() {
		return
	}
	s.shutdown.finished = true
	s.emit(ShutdownFinished{})
}
