package loomcore

import (
	"math"
	"time"

	"currantloom.example/currantloom"
)

const (
	// usageWindow is the time constant of the decaying average of the use of slots by an organisation.
	usageWindow = time.Second
	// minUsage is the usage below which an organisation counts as idle.
	minUsage = time.Millisecond
)

// usage is the expected run time of the attempts that an organisation started recently. It decays exponentially with
// the time constant usageWindow.
type usage struct {
	amount  time.Duration
	weight  int
	updated time.Duration
}

func (u *usage) decay(now time.Duration) {
	u.amount = time.Duration(float64(u.amount) * math.Exp(-float64(now-u.updated)/float64(usageWindow)))
	u.updated = now
}

// usages holds the recent usage of a class of an upstream by organisation.
type usages map[currantloom.OrganisationName]*usage

func (us usages) add(organisation currantloom.OrganisationName, weight int, cost, now time.Duration) {
	u := us[organisation]
	if u == nil {
		u = &usage{updated: now}
		us[organisation] = u
	}
	u.decay(now)
	u.weight = weight
	u.amount += cost
}

// total returns the usage of all organisations.
func (us usages) total(now time.Duration) time.Duration {
	sum := time.Duration(0)
	for _, u := range us {
		u.decay(now)
		sum += u.amount
	}
	return sum
}

// availableSlots returns the slots, in thousandths, that the organisation can expect: those that the others leave, and
// at least its share by weight. The sums use integers, so that the result does not depend on the order of the map.
func (us usages) availableSlots(organisation currantloom.OrganisationName, weight, slots int, now time.Duration) int64 {
	others, weights := time.Duration(0), weight
	for name, u := range us {
		u.decay(now)
		if u.amount < minUsage {
			delete(us, name)
			continue
		}
		if name != organisation {
			others += u.amount
			weights += u.weight
		}
	}
	all := int64(slots) * 1000
	left := all - int64(others*1000/usageWindow)
	return max(left, all*int64(weight)/int64(weights), 1)
}
