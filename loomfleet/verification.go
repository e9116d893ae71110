package loomfleet

import (
	"currantloom.example/currantloom"
)

// verify asks every upstream that may be the primary, each through this node and up to two others.
func (s *State) verify(f *failover) {
	f.primaryConfirmed = false
	for _, u := range f.group.upstreams {
		if f.oldPrimary != "" && u.Name != f.oldPrimary {
			continue
		}
		for _, vm := range s.verifiers(u) {
			f.pendingVerifications++
			epoch := f.epoch
			s.sendFailoverCall(u, vm, currantloom.CallVerifyPrimary, currantloom.Command{}, func(result currantloom.CallResult) {
				if f.epoch != epoch {
					return
				}
				f.pendingVerifications--
				f.primaryConfirmed = f.primaryConfirmed ||
					result.Verdict == currantloom.Ran && result.Reply.Code == currantloom.ReplyOK
			})
		}
	}
}

// verifiers returns the VMs through which an upstream is asked: this node and the first owner candidates.
func (s *State) verifiers(u *upstream) []currantloom.VMName {
	const maxOthers = 2
	vms := []currantloom.VMName{s.config.Self}
	for _, vm := range s.ownerCandidates(u) {
		if len(vms) > maxOthers {
			break
		}
		if vm != s.config.Self && s.acceptsCalls(vm) {
			vms = append(vms, vm)
		}
	}
	return vms
}

// isVerificationOver reports whether no answer is awaited any more. An upstream that several nodes have failed to
// connect to is awaited for less time.
func (s *State) isVerificationOver(f *failover) bool {
	waited := s.now - f.stepStartedAt
	if f.pendingVerifications == 0 || waited > verifyTimeout {
		return true
	}
	u := f.group.find(f.oldPrimary)
	return u != nil && waited > confirmTimeout && s.isReportedUnreachable(u)
}

// concludeVerification ends the failover if a primary was found, and continues with stepFence otherwise.
func (s *State) concludeVerification(f *failover) {
	g := f.group
	switch {
	case f.primaryConfirmed || g.primary != "" && g.primary != f.oldPrimary:
		g.verifyAgainAt = s.now + verifyAgainPause
		s.endFailover(f, "a primary is active")
	default:
		s.enterStep(f, stepFence)
	}
}
