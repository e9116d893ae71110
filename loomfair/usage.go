package loomfair

import (
	"math"
	"time"

	"currantloom.example/currantloom"
)

// minUsage is the usage below which an organisation counts as idle.
const minUsage = time.Millisecond

// Usages holds the slot time that organisations used recently. It decays exponentially with a time constant, so the
// order of two organisations changes only when one of them is charged. Use NewUsages to create one.
type Usages struct {
	window time.Duration
	byName map[currantloom.OrganisationName]*usage
}

// usage is the recent usage of one organisation.
type usage struct {
	amount  time.Duration
	weight  int
	updated time.Duration
}

// NewUsages returns usages without any organisation that decay with the time constant.
func NewUsages(window time.Duration) *Usages {
	return &Usages{window: window, byName: make(map[currantloom.OrganisationName]*usage)}
}

func (us *Usages) decay(u *usage, now time.Duration) {
	if now == u.updated {
		return
	}
	u.amount = time.Duration(float64(u.amount) * math.Exp(-float64(now-u.updated)/float64(us.window)))
	u.updated = now
}

// Add charges an organisation with slot time. A negative cost corrects an earlier charge that was too high.
func (us *Usages) Add(organisation currantloom.OrganisationName, weight int, cost, now time.Duration) {
	u := us.byName[organisation]
	if u == nil {
		u = &usage{updated: now}
		us.byName[organisation] = u
	}
	us.decay(u, now)
	u.weight = weight
	u.amount = max(0, u.amount+cost)
}

// Of returns the recent usage of an organisation.
func (us *Usages) Of(organisation currantloom.OrganisationName, now time.Duration) time.Duration {
	u := us.byName[organisation]
	if u == nil {
		return 0
	}
	us.decay(u, now)
	return u.amount
}

// Total returns the usage of all organisations.
func (us *Usages) Total(now time.Duration) time.Duration {
	sum := time.Duration(0)
	for _, u := range us.byName {
		us.decay(u, now)
		sum += u.amount
	}
	return sum
}

// Forget removes the organisations that count as idle.
func (us *Usages) Forget(now time.Duration) {
	for name, u := range us.byName {
		if us.decay(u, now); u.amount < minUsage {
			delete(us.byName, name)
		}
	}
}

// AvailableSlots returns the slots, in thousandths, that the organisation can expect: those that the others leave, and
// at least its share by weight. The sums use integers, so that the result does not depend on the order of the map.
func (us *Usages) AvailableSlots(
	organisation currantloom.OrganisationName, weight, slots int, now time.Duration,
) int64 {
	us.Forget(now)
	others, weights := time.Duration(0), weight
	for name, u := range us.byName {
		if name != organisation {
			others += u.amount
			weights += u.weight
		}
	}
	all := int64(slots) * 1000
	left := all - int64(others*1000/us.window)
	return max(left, all*int64(weight)/int64(weights), 1)
}
