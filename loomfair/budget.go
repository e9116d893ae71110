package loomfair

import "currantloom.example/currantloom"

// Budget divides a capacity between organisations by dynamic thresholds: an organisation may hold at most as much as
// is left free. A single one can therefore hold half of the capacity, and there is always room for one that holds
// little. The zero value has no capacity.
type Budget struct {
	capacity, used int
	held           map[currantloom.OrganisationName]int
}

// NewBudget returns a budget of which nothing is held.
func NewBudget(capacity int) *Budget {
	return &Budget{capacity: capacity, held: make(map[currantloom.OrganisationName]int)}
}

// Take takes an amount for an organisation. It reports false and takes nothing if the amount is beyond its share.
func (b *Budget) Take(organisation currantloom.OrganisationName, amount int) bool {
	if b.held[organisation]+amount > b.capacity-b.used {
		return false
	}
	b.held[organisation] += amount
	b.used += amount
	return true
}

// Release gives back an amount that the organisation has taken.
func (b *Budget) Release(organisation currantloom.OrganisationName, amount int) {
	b.used -= amount
	if b.held[organisation] -= amount; b.held[organisation] <= 0 {
		delete(b.held, organisation)
	}
}

// Used returns the amount that all organisations hold.
func (b *Budget) Used() int { return b.used }
