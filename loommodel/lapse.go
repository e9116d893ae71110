package loommodel

// LapseRegistration deletes the registration of an upstream that goes on running: it is cut off from the store alone,
// and writes no registration until RestoreRegistration.
func (sim *Simulation) LapseRegistration(name string) {
	s := sim.store
	if s.lapsed == nil {
		s.lapsed = make(map[string]bool)
	}
	s.lapsed[name] = true
	s.deregister(name, sim.upstream(name).service)
}

// RestoreRegistration lets an upstream write its registration again.
func (sim *Simulation) RestoreRegistration(name string) {
	delete(sim.store.lapsed, name)
	if u := sim.upstream(name); u.responsive() {
		sim.store.register(u)
	}
}
