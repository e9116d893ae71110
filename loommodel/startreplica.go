package loommodel

import (
	"fmt"
	"slices"
)

// StartReplica starts another replica of a service, as a release of its servers does, with the log that an existing
// upstream has, and returns its name. No cut applies to it.
func (sim *Simulation) StartReplica(service int, like string) string {
	u := sim.addReplica(service, like)
	u.restart()
	return u.name
}

// StartUnregisteredReplica starts a replica as StartReplica does, which writes no registration until
// RestoreRegistration.
func (sim *Simulation) StartUnregisteredReplica(service int, like string) string {
	u := sim.addReplica(service, like)
	sim.LapseRegistration(u.name)
	u.restart()
	return u.name
}

func (sim *Simulation) addReplica(service int, like string) *upstream {
	source := sim.upstream(like)
	svc := source.service
	u := &upstream{
		sim: sim, name: fmt.Sprintf("u-%d%c", service+1, 'a'+len(svc.upstreams)), location: source.location, service: svc,
		incarnation: 1, slots: source.slots, maxConnections: source.maxConnections,
		conns: make(map[connKey]*upstreamConn), pendingConns: make(map[connKey]bool),
		term: source.term, log: slices.Clone(source.log), applied: source.applied,
	}
	svc.upstreams = append(svc.upstreams, u)
	sim.upstreams = append(sim.upstreams, u)
	return u
}
