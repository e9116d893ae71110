package loomcore

import (
	"math"
	"time"

	"currantloom.example/currantloom"
)

const (
	// usageWindow is the time over which the use of the slots by a caller is averaged.
	usageWindow = time.Second
	// minUsage is the use below which a caller counts as idle.
	minUsage = time.Millisecond
)

// usage is the run time that a caller started lately, decaying over usageWindow.
type usage struct {
	amount  time.Duration
	weight  int
	updated time.Duration
}

func (u *usage) decay(now time.Duration) {
	u.amount = time.Duration(float64(u.amount) * math.Exp(-float64(now-u.updated)/float64(usageWindow)))
	u.updated = now
}

// usages holds the callers that used a class of a server lately.
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

// total returns the run time that all callers started lately.
func (us usages) total(now time.Duration) time.Duration {
	sum := time.Duration(0)
	for _, u := range us {
		u.decay(now)
		sum += u.amount
	}
	return sum
}

// availableSlots returns the part of the lanes, in thousandths of a lane, that the caller can expect: what the others leave,
// and at least its share by weight. The sums are of integers, so that the order of the map has no influence.
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
