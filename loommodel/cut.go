package loommodel

import "time"

// PartitionFor drops all messages from one component to another for the duration d, and if bidirectional also those in
// the other direction.
func (sim *Simulation) PartitionFor(from, to string, bidirectional bool, d time.Duration) {
	sim.Partition(from, to, bidirectional)
	sim.after(d, func() {
		delete(sim.partitions, [2]string{from, to})
		if bidirectional {
			delete(sim.partitions, [2]string{to, from})
		}
	})
}
