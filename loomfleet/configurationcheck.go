package loomfleet

import (
	"cmp"
	"slices"
	"time"

	"currantloom.example/currantloom"
)

const (
	// maxPeersAsked is how many nodes a starting node asks for the version of their configuration.
	maxPeersAsked = 3
	// versionTimeout is how long a starting node waits for their answers: several round trips within a region. It adds to
	// each start of a fleet whose other nodes are down.
	versionTimeout = 60 * time.Millisecond
	// fetchTimeout is how long a starting node waits for a newer configuration that another node reported.
	fetchTimeout = time.Second
	// catchUpTime is how long a running node waits for a newer configuration to come from the store before it fetches the
	// one of another node. It is longer than watchers of a large fleet gather changes.
	catchUpTime = time.Second
	// refetchInterval is the time between two such requests of a running node.
	refetchInterval = 2 * time.Second
	// forgetReportAfter is how long after the last report of a newer configuration the time since the first one no longer
	// counts: in a large fleet the nodes that report it are pinged rarely.
	forgetReportAfter = 10 * time.Second
)

// configurationCheck makes sure that a starting node does not serve with an older configuration than the fleet has: the
// store may just have come back from a copy, and the operator may not have written the newest configuration again.
type configurationCheck struct {
	started   bool
	startedAt time.Duration
	asked     []currantloom.VMName
	// fetching is when a newer configuration was requested; zero if none was.
	fetching time.Duration
	done     bool
	// behindSince and behindSeenAt are when another node first and last reported a newer configuration than the one in
	// effect; zero if none has.
	behindSince, behindSeenAt time.Duration
}

// clearBehind forgets the reports of newer configurations. A node that still has one reports it again.
func (k *configurationCheck) clearBehind() { k.behindSince, k.behindSeenAt = 0, 0 }

// isBehindFor reports whether other nodes have reported a newer configuration for longer than d, lately too.
func (k *configurationCheck) isBehindFor(now, d time.Duration) bool {
	return k.behindSince > 0 && now-k.behindSince > d && now-k.behindSeenAt <= d
}

// isConfigurationCurrent reports whether no node that was asked reported a newer configuration than this node has.
// Nodes that do not answer in time are not waited for.
func (s *State) isConfigurationCurrent() bool {
	k := &s.catalog.check
	if k.done {
		return true
	}
	if !k.started {
		k.started, k.startedAt, k.asked = true, s.now, s.nearestMembers(maxPeersAsked)
		for _, vm := range k.asked {
			s.pingIfDue(vm)
		}
	}
	if k.fetching > 0 {
		k.done = s.now-k.fetching > fetchTimeout || !s.isConfigurationBehind()
		return k.done
	}
	waiting := slices.ContainsFunc(k.asked, func(vm currantloom.VMName) bool {
		m, ok := s.members.byName[vm]
		return ok && m.heardAt == 0 && !m.suspected
	})
	k.done = !waiting || s.now-k.startedAt > versionTimeout
	return k.done
}

// nearestMembers returns the registered members that are nearest to this node, at most the given number.
func (s *State) nearestMembers(most int) []currantloom.VMName {
	near := slices.DeleteFunc(slices.Clone(s.members.sorted), func(m *member) bool {
		return m.deletedAt > 0 || m.suspected || m.shuttingDown
	})
	slices.SortStableFunc(near, func(a, b *member) int {
		return cmp.Compare(s.config.Location.Distance(a.vm.Location()), s.config.Location.Distance(b.vm.Location()))
	})
	names := make([]currantloom.VMName, 0, most)
	for _, m := range near[:min(most, len(near))] {
		names = append(names, m.vm.Name())
	}
	return names
}

// isConfigurationBehind reports whether a node that was asked has a newer configuration.
func (s *State) isConfigurationBehind() bool {
	return slices.ContainsFunc(s.catalog.check.asked, func(vm currantloom.VMName) bool {
		m, ok := s.members.byName[vm]
		return ok && m.configurationVersion > s.configurationVersion()
	})
}

// compareConfiguration requests the configuration of a member that reports a newer one: at once while this node starts,
// and later if the store does not provide it within catchUpTime.
func (s *State) compareConfiguration(m *member) {
	k := &s.catalog.check
	if !k.started || m.configurationVersion <= s.configurationVersion() {
		return
	}
	if k.behindSince == 0 || s.now-k.behindSeenAt > forgetReportAfter {
		k.behindSince = max(s.now, 1)
	}
	k.behindSeenAt = s.now
	if k.done && s.now-k.behindSince < catchUpTime || k.fetching > 0 && (!k.done || s.now-k.fetching < refetchInterval) {
		return
	}
	k.fetching = max(s.now, 1)
	s.log(Decision{Event: "configuration", VM: m.vm.Name(), Version: m.configurationVersion, Outcome: "requested"})
	s.emit(FetchConfiguration{VM: m.vm})
}
