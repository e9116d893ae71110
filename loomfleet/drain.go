package loomfleet

import (
	"time"

	"currantloom.example/currantloom"
)

// drainMargin is subtracted from the drain timeout.
const drainMargin = time.Second

// isDrained reports whether the upstream drains and may not get new work any more.
func (u *upstream) isDrained(s *State) bool {
	return u.drainingSince > 0 && s.now-u.drainingSince >= s.config.DrainTimeout-drainMargin
}

// opensWork reports whether the call is new work for the upstream: not a statement of an open transaction, and not a
// verification or a command of a failover.
func opensWork(mode currantloom.CallMode) bool {
	return mode < currantloom.CallVerifyPrimary && mode != currantloom.CallInTransaction
}

// opensWork reports whether the queued job is new work for its upstream.
func (j *job) opensWork() bool { return j.conn == nil && opensWork(j.call.Mode) }
