package loommodel

import "time"

// Fault is a kind of fault.
type Fault int

// The faults of the model.
const (
	KillNode Fault = iota
	FreezeNode
	StopNode
	PartitionNode
	PartitionStore
	StoreDown
	RevokeLeases
	KillLeaseHolder
	CrashPrimary
	HangPrimary
	CrashReplica
	LagReplica
	StopReplication
	PartitionPrimary
	PartitionPrimaryOneWay
	DrainPrimary
	DrainReplica
	LoseReplies
	LateWrites
	DelayPromotions
	Reconfigure
	faultCount
)

// String returns the name of the fault.
func (t Fault) String() string {
	names := [...]string{
		"kill node", "freeze node", "stop node", "cut node", "cut store", "store down", "revoke keys", "kill holder",
		"crash primary", "dark primary", "crash replica", "lag replica", "deaf replica", "cut primary",
		"cut primary one way", "drain primary", "drain replica", "lose answers", "late writes", "lose orders", "reconfigure",
	}
	return names[t]
}

// Faults returns all kinds.
func Faults() []Fault {
	all := make([]Fault, faultCount)
	for i := range all {
		all[i] = Fault(i)
	}
	return all
}

// ScheduleFault lets a fault begin at a time from now, with what it hits and how long it lasts drawn at random.
func (w *World) ScheduleFault(t Fault, after time.Duration) {
	w.after(after, func() { w.injectFault(t) })
}

// ScheduleRandomFaults lets the given number of faults begin within the time.
func (w *World) ScheduleRandomFaults(count int, within time.Duration) []Fault {
	drawn := make([]Fault, count)
	for i := range drawn {
		drawn[i] = Fault(w.random.IntN(int(faultCount)))
		w.ScheduleFault(drawn[i], time.Duration(w.random.Int64N(int64(within))))
	}
	return drawn
}

func (w *World) injectFault(t Fault) {
	lasts := time.Second + time.Duration(w.random.Int64N(int64(5*time.Second)))
	node := w.nodes[w.random.IntN(len(w.nodes))].name
	service := w.random.IntN(w.options.Services)
	primary, replica := w.pick(service)
	switch t {
	case KillNode:
		w.Kill(node, lasts/2)
	case FreezeNode:
		w.Freeze(node, lasts)
	case StopNode:
		w.Stop(node, lasts/4)
	case PartitionNode:
		w.cutFor(node, append(w.Nodes(), storeName, cloudName), lasts)
	case PartitionStore:
		w.cutFor(node, []string{storeName, cloudName}, lasts)
	case StoreDown:
		w.SetStoreDown(true)
		w.after(lasts, func() { w.SetStoreDown(false) })
	case RevokeLeases:
		w.RevokeLeases(node)
	case KillLeaseHolder:
		w.Kill(w.FailoverLeaseHolder(), lasts/2)
	case CrashPrimary, HangPrimary:
		w.Crash(primary, t == HangPrimary, lasts)
	case CrashReplica:
		w.Crash(replica, false, lasts)
	case LagReplica, StopReplication:
		w.SlowReplication(replica, 100, t == StopReplication, lasts)
	case PartitionPrimary, PartitionPrimaryOneWay:
		w.cutPrimary(primary, t == PartitionPrimary, lasts)
	case DrainPrimary:
		w.Drain(primary, 8*time.Second)
	case DrainReplica:
		w.Drain(replica, 8*time.Second)
	case LoseReplies:
		w.LoseReplies(primary, 5, 0, lasts)
	case LateWrites:
		w.LoseReplies(primary, 0, 30, lasts)
	case DelayPromotions:
		w.DelayPromotions(40)
		w.after(lasts, func() { w.DelayPromotions(0) })
	case Reconfigure:
		w.Reconfigure()
	}
}

// pick returns the primary of a service and one of its replicas.
func (w *World) pick(service int) (primary, replica string) {
	var replicas []string
	for _, s := range w.servers {
		switch {
		case s.group.index != service:
		case s.primary:
			primary = s.name
		default:
			replicas = append(replicas, s.name)
		}
	}
	if primary == "" {
		primary = replicas[0]
	}
	return primary, replicas[w.random.IntN(len(replicas))]
}

// cutFor separates one part from others for a time.
func (w *World) cutFor(from string, others []string, d time.Duration) {
	for _, to := range others {
		if to != from {
			w.Partition(from, to, true)
		}
	}
	w.after(d, func() {
		for _, to := range others {
			delete(w.cuts, [2]string{from, to})
			delete(w.cuts, [2]string{to, from})
		}
	})
}

// cutPrimary separates a primary from its replicas, or from some of the nodes.
func (w *World) cutPrimary(primary string, both bool, d time.Duration) {
	var others []string
	if w.random.IntN(2) == 0 {
		for _, s := range w.servers {
			if s.name != primary {
				others = append(others, s.name)
			}
		}
	} else {
		for _, n := range w.nodes {
			if w.random.IntN(2) == 0 {
				others = append(others, n.name)
			}
		}
	}
	for _, to := range others {
		w.Partition(primary, to, both)
	}
	w.after(d, func() {
		for _, to := range others {
			delete(w.cuts, [2]string{primary, to})
			delete(w.cuts, [2]string{to, primary})
		}
	})
}
