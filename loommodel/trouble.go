package loommodel

import "time"

// Trouble is a kind of fault.
type Trouble int

// The faults of the model.
const (
	KillNode Trouble = iota
	FreezeNode
	StopNode
	CutNode
	CutStore
	StoreDown
	RevokeKeys
	KillHolder
	CrashPrimary
	DarkPrimary
	CrashReplica
	LagReplica
	DeafReplica
	CutPrimary
	CutPrimaryOneWay
	DrainPrimary
	DrainReplica
	LoseAnswers
	LateWrites
	LoseOrders
	Reconfigure
	troubleCount
)

// String returns the name of the fault.
func (t Trouble) String() string {
	names := [...]string{
		"kill node", "freeze node", "stop node", "cut node", "cut store", "store down", "revoke keys", "kill holder",
		"crash primary", "dark primary", "crash replica", "lag replica", "deaf replica", "cut primary",
		"cut primary one way", "drain primary", "drain replica", "lose answers", "late writes", "lose orders", "reconfigure",
	}
	return names[t]
}

// Troubles returns all kinds.
func Troubles() []Trouble {
	all := make([]Trouble, troubleCount)
	for i := range all {
		all[i] = Trouble(i)
	}
	return all
}

// TroubleAt lets a fault begin at a time from now, with what it hits and how long it lasts drawn at random.
func (w *World) TroubleAt(t Trouble, after time.Duration) {
	w.after(after, func() { w.trouble(t) })
}

// RandomTrouble lets the given number of faults begin within the time.
func (w *World) RandomTrouble(count int, within time.Duration) []Trouble {
	drawn := make([]Trouble, count)
	for i := range drawn {
		drawn[i] = Trouble(w.random.IntN(int(troubleCount)))
		w.TroubleAt(drawn[i], time.Duration(w.random.Int64N(int64(within))))
	}
	return drawn
}

func (w *World) trouble(t Trouble) {
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
	case CutNode:
		w.cutFor(node, append(w.Nodes(), storeName, cloudName), lasts)
	case CutStore:
		w.cutFor(node, []string{storeName, cloudName}, lasts)
	case StoreDown:
		w.SetStoreDown(true)
		w.after(lasts, func() { w.SetStoreDown(false) })
	case RevokeKeys:
		w.RevokeKeys(node)
	case KillHolder:
		w.Kill(w.DutyHolder(), lasts/2)
	case CrashPrimary, DarkPrimary:
		w.Crash(primary, t == DarkPrimary, lasts)
	case CrashReplica:
		w.Crash(replica, false, lasts)
	case LagReplica, DeafReplica:
		w.Lag(replica, 100, t == DeafReplica, lasts)
	case CutPrimary, CutPrimaryOneWay:
		w.cutPrimary(primary, t == CutPrimary, lasts)
	case DrainPrimary:
		w.Drain(primary, 8*time.Second)
	case DrainReplica:
		w.Drain(replica, 8*time.Second)
	case LoseAnswers:
		w.LoseAnswers(primary, 5, 0, lasts)
	case LateWrites:
		w.LoseAnswers(primary, 0, 30, lasts)
	case LoseOrders:
		w.LoseOrders(40)
		w.after(lasts, func() { w.LoseOrders(0) })
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
			w.Cut(from, to, true)
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
		w.Cut(primary, to, both)
	}
	w.after(d, func() {
		for _, to := range others {
			delete(w.cuts, [2]string{primary, to})
			delete(w.cuts, [2]string{to, primary})
		}
	})
}
