package loomcore

import (
	"slices"
	"strings"

	"currantloom.example/currantloom"
)

// Status returns this node's view for operators: every VM, and every database with the servers this node carries.
func (s *State) Status() currantloom.NodeStatus {
	status := currantloom.NodeStatus{
		VM: s.self, Region: s.place.Region(), Domain: s.place.FailureDomain(), Revision: s.rules.document.Revision(),
		Ready: !s.stop.requested, Uptime: s.now,
	}
	for _, vm := range s.allVMs() {
		status.VMs = append(status.VMs, currantloom.VMReport{
			Name: vm.Name(), Region: vm.Place().Region(), Domain: vm.Place().FailureDomain(),
			Control: vm.ControlAddress(), Leaving: vm.State() == currantloom.VMLeaving,
			Failing: vm.State() == currantloom.VMLive && !s.usable(vm),
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
	for _, server := range g.database.Servers() {
		r := currantloom.ServerReport{Name: server.Name(), Leaving: s.isLeaving(server.Name())}
		if v := g.member(server.Name()); v != nil && v.known {
			r.Known, r.Status, r.Age = true, v.status, s.now-v.sentAt
		}
		r.Carrier, _ = s.carrierOf(server, nil)
		r.Carried = r.Carrier == s.self
		if q, ok := s.carrier.queues[server.Name()]; ok {
			r.Running, r.Waiting, r.Connections = len(q.running), q.short.waiting()+q.long.waiting(), q.held
		}
		report.Servers = append(report.Servers, r)
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
func (s *State) IsPrimary(server currantloom.ServerName) bool {
	g, ok := s.servers[server]
	return ok && g.primary == server
}
