package loomcore

import (
	"time"

	"currantloom.example/currantloom"
)

const (
	// quantum is the run time that an organisation of weight 1 earns per round.
	quantum = 10 * time.Millisecond
	// maxDebt bounds the negative deficit of an organisation whose attempts ran longer than expected. An attempt that runs
	// longer than this counts as long and no longer takes a slot of short requests.
	maxDebt = longThreshold
)

// fairQueue divides the slots of a class among organisations by deficit round robin. The cost of an attempt is its
// expected run time. The zero value is empty.
type fairQueue struct {
	// organisations holds the organisations with waiting attempts, in the order of their turns.
	organisations []*organisationQueue
	totalCost     time.Duration
}

// organisationQueue holds the waiting attempts of one organisation.
type organisationQueue struct {
	organisation currantloom.OrganisationName
	weight       int
	deficit      time.Duration
	waiting      []*attempt
	totalCost    time.Duration
}

func (fq *fairQueue) organisation(organisation currantloom.OrganisationName) *organisationQueue {
	for _, o := range fq.organisations {
		if o.organisation == organisation {
			return o
		}
	}
	return nil
}

// add appends an attempt to the queue of its organisation.
func (fq *fairQueue) add(a *attempt, weight int) {
	o := fq.organisation(a.header.Organisation)
	if o == nil {
		o = &organisationQueue{organisation: a.header.Organisation}
		fq.organisations = append(fq.organisations, o)
	}
	o.weight = max(weight, 1)
	o.waiting = append(o.waiting, a)
	o.totalCost += a.cost
	fq.totalCost += a.cost
}

// remove removes an attempt from the queue of its organisation.
func (fq *fairQueue) remove(a *attempt) {
	o := fq.organisation(a.header.Organisation)
	if o == nil {
		return
	}
	for i, other := range o.waiting {
		if other == a {
			fq.removeAt(o, i)
			return
		}
	}
}

func (fq *fairQueue) removeAt(o *organisationQueue, i int) {
	o.totalCost -= o.waiting[i].cost
	fq.totalCost -= o.waiting[i].cost
	o.waiting = append(o.waiting[:i], o.waiting[i+1:]...)
	if len(o.waiting) > 0 {
		return
	}
	for j, other := range fq.organisations {
		if other == o {
			fq.organisations = append(fq.organisations[:j], fq.organisations[j+1:]...)
			return
		}
	}
}

// next removes and returns the attempt whose turn it is, among those that can start; nil if none can.
func (fq *fairQueue) next(canStart func(*attempt) bool) *attempt {
	var best *organisationQueue
	var bestIndex int
	var bestRounds time.Duration
	starters := make([]*organisationQueue, 0, len(fq.organisations))
	for _, o := range fq.organisations {
		i := o.firstStartable(canStart)
		if i < 0 {
			continue
		}
		starters = append(starters, o)
		rounds := o.roundsToEarn(o.waiting[i].cost)
		if best == nil || rounds < bestRounds {
			best, bestIndex, bestRounds = o, i, rounds
		}
	}
	if best == nil {
		return nil
	}
	for _, o := range starters {
		o.deficit += bestRounds * quantum * time.Duration(o.weight)
	}
	a := best.waiting[bestIndex]
	best.deficit -= a.cost
	fq.removeAt(best, bestIndex)
	return a
}

// firstStartable returns the index of the first attempt that can start, -1 if there is none.
func (o *organisationQueue) firstStartable(canStart func(*attempt) bool) int {
	for i, a := range o.waiting {
		if canStart(a) {
			return i
		}
	}
	return -1
}

// roundsToEarn returns the number of rounds until the organisation has earned the cost.
func (o *organisationQueue) roundsToEarn(cost time.Duration) time.Duration {
	missing := cost - o.deficit
	if missing <= 0 {
		return 0
	}
	earned := quantum * time.Duration(o.weight)
	return (missing + earned - 1) / earned
}

// adjustDeficit corrects an organisation's deficit by the difference between the actual and the expected run time.
func (fq *fairQueue) adjustDeficit(organisation currantloom.OrganisationName, difference time.Duration) {
	if o := fq.organisation(organisation); o != nil {
		o.deficit = max(o.deficit-difference, -maxDebt)
	}
}

// each calls f for each waiting attempt. f may remove the attempt.
func (fq *fairQueue) each(f func(*attempt)) {
	for _, o := range append([]*organisationQueue(nil), fq.organisations...) {
		for _, a := range append([]*attempt(nil), o.waiting...) {
			f(a)
		}
	}
}
