package loommodel

import "time"

// Fault is a kind of fault.
type Fault int

// The faults that a simulation can inject.
const (
	KillNode Fault = iota
	PauseNode
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
	RestoreStore
	faultCount
)

// String returns the name of the fault.
func (f Fault) String() string {
	names := [...]string{
		"kill node", "freeze node", "stop node", "partition node", "partition store", "store down", "revoke leases",
		"kill lease holder", "crash primary", "hang primary", "crash replica", "lag replica", "stop replication",
		"partition primary", "partition primary one way", "drain primary", "drain replica", "lose replies", "late writes",
		"delay promotions", "reconfigure", "restore store",
	}
	return names[f]
}

// Faults returns all kinds of fault.
func Faults() []Fault {
	all := make([]Fault, faultCount)
	for i := range all {
		all[i] = Fault(i)
	}
	return all
}

// ScheduleFault injects a fault after the delay. Its target and duration are random.
func (sim *Simulation) ScheduleFault(f Fault, delay time.Duration) {
	sim.after(delay, func() { sim.injectFault(f) })
}

// ScheduleRandomFaults schedules the given number of random faults at random times within the duration.
func (sim *Simulation) ScheduleRandomFaults(count int, within time.Duration) []Fault {
	drawn := make([]Fault, count)
	for i := range drawn {
		drawn[i] = Fault(sim.random.IntN(int(faultCount)))
		sim.ScheduleFault(drawn[i], time.Duration(sim.random.Int64N(int64(within))))
	}
	return drawn
}

func (sim *Simulation) injectFault(f Fault) {
	duration := time.Second + time.Duration(sim.random.Int64N(int64(5*time.Second)))
	node := sim.nodes[sim.random.IntN(len(sim.nodes))].name
	service := sim.random.IntN(sim.options.Services)
	primary, replica := sim.pickUpstreams(service)
	switch f {
	case KillNode:
		sim.Kill(node, duration/2)
	case PauseNode:
		sim.Pause(node, duration)
	case StopNode:
		sim.Stop(node, duration/4)
	case PartitionNode:
		sim.partitionFor(node, append(sim.Nodes(), storeName, cloudName), duration)
	case PartitionStore:
		sim.partitionFor(node, []string{storeName, cloudName}, duration)
	case StoreDown:
		sim.SetStoreDown(true)
		sim.after(duration, func() { sim.SetStoreDown(false) })
	case RevokeLeases:
		sim.RevokeLeases(node)
	case KillLeaseHolder:
		sim.Kill(sim.FailoverLeaseHolder(), duration/2)
	case CrashPrimary, HangPrimary:
		sim.Crash(primary, f == HangPrimary, duration)
	case CrashReplica:
		sim.Crash(replica, false, duration)
	case LagReplica, StopReplication:
		sim.SlowReplication(replica, 100, f == StopReplication, duration)
	case PartitionPrimary, PartitionPrimaryOneWay:
		sim.partitionPrimary(primary, f == PartitionPrimary, duration)
	case DrainPrimary:
		sim.Drain(primary, 8*time.Second)
	case DrainReplica:
		sim.Drain(replica, 8*time.Second)
	case LoseReplies:
		sim.LoseReplies(primary, 5, 0, duration)
	case LateWrites:
		sim.LoseReplies(primary, 0, 30, duration)
	case DelayPromotions:
		sim.DelayPromotions(40)
		sim.after(duration, func() { sim.DelayPromotions(0) })
	case Reconfigure:
		sim.Reconfigure()
	case RestoreStore:
		sim.RestoreStore(duration, 300*time.Millisecond+sim.randomDuration(1500*time.Millisecond))
	}
}

// pickUpstreams returns the primary of a service and a random replica. Without a primary it returns the first replica
// instead.
func (sim *Simulation) pickUpstreams(service int) (primary, replica string) {
	var replicas []string
	for _, u := range sim.upstreams {
		switch {
		case u.service.index != service:
		case u.primary:
			primary = u.name
		default:
			replicas = append(replicas, u.name)
		}
	}
	if primary == "" {
		primary = replicas[0]
	}
	return primary, replicas[sim.random.IntN(len(replicas))]
}

// partitionFor partitions a component from others in both directions for the duration d.
func (sim *Simulation) partitionFor(from string, others []string, d time.Duration) {
	for _, to := range others {
		if to != from {
			sim.Partition(from, to, true)
		}
	}
	sim.after(d, func() {
		for _, to := range others {
			delete(sim.partitions, [2]string{from, to})
			delete(sim.partitions, [2]string{to, from})
		}
	})
}

// partitionPrimary partitions a primary from all other upstreams, or from a random set of nodes, for the duration d.
func (sim *Simulation) partitionPrimary(primary string, bidirectional bool, d time.Duration) {
	var others []string
	if sim.random.IntN(2) == 0 {
		for _, u := range sim.upstreams {
			if u.name != primary {
				others = append(others, u.name)
			}
		}
	} else {
		for _, n := range sim.nodes {
			if sim.random.IntN(2) == 0 {
				others = append(others, n.name)
			}
		}
	}
	for _, to := range others {
		sim.Partition(primary, to, bidirectional)
	}
	sim.after(d, func() {
		for _, to := range others {
			delete(sim.partitions, [2]string{primary, to})
			delete(sim.partitions, [2]string{to, primary})
		}
	})
}
