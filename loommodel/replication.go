package loommodel

import "time"

// replicationInterval is how often a primary resends its log while an entry is unconfirmed.
const replicationInterval = 100 * time.Millisecond

// append adds an entry to the primary's log and sends it to the replicas.
func (u *upstream) append(e *logEntry) {
	e.term, e.index = u.term, u.log[len(u.log)-1].index+1
	u.sim.oracle.recordEntry(u, e)
	u.log = append(u.log, e)
	u.applied = len(u.log)
	u.replicate()
	u.replicateLater(u.generation, len(u.log))
}

// replicateLater resends the log until a replica has confirmed the entry at the given length.
func (u *upstream) replicateLater(generation, length int) {
	u.sim.after(replicationInterval, func() {
		if u.generation != generation || !u.primary || !u.alive || len(u.log) < length ||
			u.log[length-1].onReplicated == nil {
			return
		}
		u.replicate()
		u.replicateLater(generation, length)
	})
}

// replicate sends the log to every replica that the primary reaches.
func (u *upstream) replicate() {
	length := len(u.log)
	for _, r := range u.service.upstreams {
		if r == u || !u.sim.reaches(u.name, r.name) || !u.responsive() {
			continue
		}
		term := u.term
		u.sim.after(u.sim.networkDelay(u.name, r.name), func() {
			if !r.receive(u, term, length) || !u.sim.reaches(r.name, u.name) {
				return
			}
			u.sim.after(u.sim.networkDelay(r.name, u.name), func() { u.acknowledge(term, length) })
		})
	}
}

// receive replaces the replica's log by the primary's log up to the length, unless the replica's log is longer and
// agrees with it. It reports whether the replica then holds the primary's log up to the length.
func (u *upstream) receive(from *upstream, term uint64, length int) bool {
	if !u.responsive() || u.replicationPaused || u.replicationStopped || u.primary {
		return false
	}
	if term < u.service.term || from.term != term || length > len(from.log) {
		return false
	}
	u.term = term
	common := 0
	for common < min(len(u.log), length) && u.log[common] == from.log[common] {
		common++
	}
	if common < len(u.log) && len(u.log) > length && common == length {
		return true
	}
	u.log = append(u.log[:common:common], from.log[common:length]...)
	u.applied = min(u.applied, max(common, 1))
	u.applyLater(length)
	return true
}

// applyLater applies the log up to the length after the replication lag.
func (u *upstream) applyLater(length int) {
	lag := u.sim.options.ReplicationLag
	if u.lagFactor > 0 {
		lag *= time.Duration(u.lagFactor)
	}
	d := lag/2 + time.Duration(u.sim.random.Int64N(int64(lag)))
	u.sim.after(d, func() {
		if !u.primary {
			u.applied = max(u.applied, min(length, len(u.log)))
		}
	})
}

// acknowledge reports the entries up to the length as replicated.
func (u *upstream) acknowledge(term uint64, length int) {
	if !u.primary || u.term != term || !u.alive {
		return
	}
	for _, e := range u.log[:min(length, len(u.log))] {
		if e.onReplicated != nil {
			reply := e.onReplicated
			e.onReplicated = nil
			reply()
		}
	}
}

// promote makes the upstream the primary of the next term with the entries it has received. The previous primary loses
// its role at once.
func (u *upstream) promote() {
	if !u.alive || u.primary {
		return
	}
	for _, other := range u.service.upstreams {
		if other.primary {
			other.primary = false
			u.sim.store.register(other)
		}
	}
	u.service.term++
	if u.sim.promotionEndsPauses {
		for _, other := range u.service.upstreams {
			other.replicationPaused = false
		}
	}
	u.sim.oracle.checkPromotion(u)
	u.term, u.primary, u.replicationPaused, u.applied = u.service.term, true, false, len(u.log)
	for _, e := range u.log {
		e.onReplicated = nil
	}
	u.sim.store.register(u)
	u.replicate()
}
