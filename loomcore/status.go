package loomcore

import (
	"slices"
	"strings"

	"currantloom.example/currantloom"
)

// Status returns this node's view for operators: every VM, and every database with the servers this node carries.
func (s *State) Status() currantloom.NodeStatus {
	status := currantloom.NodeStatus{
		VM: s.self, Region: s.place.Region(), FailureDomain: s.place.FailureDomain(), Revision: s.rules.document.Revision(),
		Ready: !s.stop.requested, Uptime: s.now,
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
	for _, g := range s.ordered {
		status.Databases = append(status.Databases, s.databaseReport(g))
	}
	return status
}

func (s *State) databaseReport(g *group) currantloom.DatabaseReport {
	report := currantloom.DatabaseReport{Name: g.database.Name(), Term: g.term, Primary: g.primary}
	for _, server := range g.database.Upstreams() {
		r := currantloom.UpstreamReport{Name: server.Name(), Leaving: s.isLeaving(server.Name())}
		if v := g.member(server.Name()); v != nil && v.known {
			r.Polled, r.Status, r.StatusAge = true, v.status, s.now-v.sentAt
		}
		r.Owner, _ = s.carrierOf(server, nil)
		r.Owned = r.Owner == s.self
		if q, ok := s.carrier.queues[server.Name()]; ok {
			r.Running, r.Waiting, r.Connections = len(q.running), q.short.waiting()+q.long.waiting(), q.held
		}
		report.Upstreams = append(report.Upstreams, r)
	}
	return report
}

// waiting counts the work that waits in the share.
func (sh *share) waiting() int {
	n := 0
	for _, a := range sh.accounts {
		n += len(a.waiting)
	}
	return n
}

// IsPrimary reports whether the server is the primary of the newest known term of its database.
func (s *State) IsPrimary(server currantloom.UpstreamName) bool {
	g, ok := s.servers[server]
	return ok && g.primary == server
}
