package loomfleet

import (
	"time"

	"currantloom.example/currantloom"
)

// commitBlock is the holder's side of a change of primary: which nodes may still acknowledge commits of the service.
// Its zero value has not begun.
type commitBlock struct {
	// number identifies the change in messages; zero before the change has begun.
	number uint64
	// leases holds the nodes that may still acknowledge commits, and until when.
	leases map[currantloom.VMName]time.Duration
}

// newCommitBlock returns the block of a change that begins now. The leases are those that nodes may hold.
func newCommitBlock(number uint64, leases map[currantloom.VMName]time.Duration) commitBlock {
	return commitBlock{number: number, leases: leases}
}

func (b *commitBlock) hasBegun() bool { return b.number != 0 }

// confirm records that a node acknowledges no commit any more, or that its process has ended.
func (b *commitBlock) confirm(vm currantloom.VMName) { delete(b.leases, vm) }

// awaits reports whether a node may still acknowledge commits.
func (b *commitBlock) awaits(vm currantloom.VMName, now time.Duration) bool {
	return now < b.leases[vm]
}

// isComplete reports whether no node acknowledges commits any more.
func (b *commitBlock) isComplete(now time.Duration) bool {
	if !b.hasBegun() {
		return false
	}
	for _, until := range b.leases {
		if now < until {
			return false
		}
	}
	return true
}
