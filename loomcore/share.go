package loomcore

import (
	"time"

	"currantloom.example/currantloom"
)

const (
	// quantum is the run time that a caller of weight 1 earns per round.
	quantum = 10 * time.Millisecond
	// maxDebt bounds what a caller owes for work that ran longer than expected. Work that runs longer than this is
	// counted as long and no longer takes a slot of short work.
	maxDebt = longThreshold
)

// share divides the slots of a class among callers by deficit round robin; the cost of work is its expected run time.
// The zero value is empty.
type share struct {
	// accounts holds the callers with waiting work in the order of their turns.
	accounts []*account
	total    time.Duration
}

// account is one caller's waiting work.
type account struct {
	caller  currantloom.OrganisationName
	weight  int
	deficit time.Duration
	waiting []*work
	total   time.Duration
}

func (sh *share) account(caller currantloom.OrganisationName) *account {
	for _, a := range sh.accounts {
		if a.caller == caller {
			return a
		}
	}
	return nil
}

// add appends work to its caller's queue.
func (sh *share) add(w *work, weight int) {
	a := sh.account(w.header.Organisation)
	if a == nil {
		a = &account{caller: w.header.Organisation}
		sh.accounts = append(sh.accounts, a)
	}
	a.weight = max(weight, 1)
	a.waiting = append(a.waiting, w)
	a.total += w.cost
	sh.total += w.cost
}

// remove takes work out of its caller's queue.
func (sh *share) remove(w *work) {
	a := sh.account(w.header.Organisation)
	if a == nil {
		return
	}
	for i, other := range a.waiting {
		if other == w {
			sh.removeAt(a, i)
			return
		}
	}
}

func (sh *share) removeAt(a *account, i int) {
	a.total -= a.waiting[i].cost
	sh.total -= a.waiting[i].cost
	a.waiting = append(a.waiting[:i], a.waiting[i+1:]...)
	if len(a.waiting) > 0 {
		return
	}
	for j, other := range sh.accounts {
		if other == a {
			sh.accounts = append(sh.accounts[:j], sh.accounts[j+1:]...)
			return
		}
	}
}

// next takes out the work whose turn it is, among the work that can start; nil if none can.
func (sh *share) next(can func(*work) bool) *work {
	var best *account
	var bestIndex int
	var bestRounds time.Duration
	starters := make([]*account, 0, len(sh.accounts))
	for _, a := range sh.accounts {
		i := a.startable(can)
		if i < 0 {
			continue
		}
		starters = append(starters, a)
		rounds := a.rounds(a.waiting[i].cost)
		if best == nil || rounds < bestRounds {
			best, bestIndex, bestRounds = a, i, rounds
		}
	}
	if best == nil {
		return nil
	}
	for _, a := range starters {
		a.deficit += bestRounds * quantum * time.Duration(a.weight)
	}
	w := best.waiting[bestIndex]
	best.deficit -= w.cost
	sh.removeAt(best, bestIndex)
	return w
}

// startable returns the index of the first work that can start, -1 if there is none.
func (a *account) startable(can func(*work) bool) int {
	for i, w := range a.waiting {
		if can(w) {
			return i
		}
	}
	return -1
}

// rounds returns the rounds until the caller has earned the cost.
func (a *account) rounds(cost time.Duration) time.Duration {
	missing := cost - a.deficit
	if missing <= 0 {
		return 0
	}
	earned := quantum * time.Duration(a.weight)
	return (missing + earned - 1) / earned
}

// settle corrects a caller's deficit by the difference between the actual and the expected run time.
func (sh *share) settle(caller currantloom.OrganisationName, difference time.Duration) {
	if a := sh.account(caller); a != nil {
		a.deficit = max(a.deficit-difference, -maxDebt)
	}
}

// each calls f for each waiting work; f may remove it.
func (sh *share) each(f func(*work)) {
	for _, a := range append([]*account(nil), sh.accounts...) {
		for _, w := range append([]*work(nil), a.waiting...) {
			f(w)
		}
	}
}
