package loomcore

import (
	"slices"
	"strings"

	"currantloom.example/currantloom"
)

// Status returns this node's view for operators: every VM, and every database with its upstreams.
func (s *State) Status() currantloom.NodeStatus {
	status := currantloom.NodeStatus{
		VM: s.self, Region: s.location.Region(), FailureDomain: s.location.FailureDomain(),
		Revision: s.rules.document.Revision(), Ready: !s.shutdown.requested, Uptime: s.now,
	}
	for _, vm := range s.allVMs() {
		status.VMs = append(status.VMs, currantloom.VMReport{
			Name: vm.Name(), Region: vm.Location().Region(), FailureDomain: vm.Location().FailureDomain(),
			ControlAddress: vm.ControlAddress(), Leaving: vm.State() == currantloom.VMLeaving,
			Unusable: vm.State() == currantloom.VMLive && !s.usable(vm),
		})
	}
	slices.SortFunc(status.VMs, func(a, b currantloom.VMReport) int {
		return strings.Compare(string(a.Name), string(b.Name))
	})
	for _, g := range s.orderedGroups {
		status.Databases = append(status.Databases, s.databaseReport(g))
	}
	return status
}

func (s *State) databaseReport(g *group) currantloom.DatabaseReport {
	report := currantloom.DatabaseReport{Name: g.database.Name(), Term: g.term, Primary: g.primary}
	for _, upstream := range g.database.Upstreams() {
		r := currantloom.UpstreamReport{Name: upstream.Name(), Leaving: s.isLeaving(upstream.Name())}
		if v := g.upstream(upstream.Name()); v != nil && v.hasStatus {
			r.Polled, r.Status, r.StatusAge = true, v.status, s.now-v.statusSentAt
		}
		r.Owner, _ = s.ownerOf(upstream, nil)
		r.Owned = r.Owner == s.self
		if q, ok := s.owner.queues[upstream.Name()]; ok {
			r.Running, r.Waiting, r.Connections = len(q.running), q.short.waitingCount()+q.long.waitingCount(), q.connections
		}
		report.Upstreams = append(report.Upstreams, r)
	}
	return report
}

// waitingCount returns the number of attempts in the queue.
func (fq *fairQueue) waitingCount() int {
	n := 0
	for _, a := range fq.organisations {
		n += len(a.waiting)
	}
	return n
}

// IsPrimary reports whether the upstream is the primary of the newest known term of its database.
func (s *State) IsPrimary(upstream currantloom.UpstreamName) bool {
	g, ok := s.groupsByUpstream[upstream]
	return ok && g.primary == upstream
}
