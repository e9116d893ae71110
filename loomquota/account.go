package loomquota

import (
	"slices"
	"time"

	"currantloom.example/currantloom"
)

// advanceReserve is the part of the capacity that is not granted in advance. With half of it, small organisations ran
// out of tokens at the crests of their demand while other nodes held unused ones.
const advanceReserve = 2.0 / 3

// firstMemberTime is how long an entry's share belongs to a limiter after its first request.
const firstMemberTime = 500 * time.Millisecond

// maxHandedOver bounds the time for which a first request hands a share over.
const maxHandedOver = 10 * time.Second

// account is the token bucket of an organisation at its limiter.
type account struct {
	name      currantloom.OrganisationName
	budget    budget
	level     float64
	startedAt time.Duration
	// settledAt is the time up to which the limiter's own part of the rate was added to the level.
	settledAt time.Duration
	entries   map[currantloom.VMName]*entry
	// pending holds the entries with waiting operations in the order in which they asked.
	pending []*entry
	// The shares of entries that report, those that have reported here for long enough and those that have not.
	pooled, joining int64
	// outstanding is the number of tokens that were granted and whose operations may not have run. bound is the sum of
	// the shares that entries may hold, entitled the sum that this limiter may distribute, demand that of the rates.
	outstanding     int
	bound, entitled int64
	demand          int64
}

// entry is what a limiter knows about a node's use of an organisation's rate.
type entry struct {
	vm currantloom.VMName
	// stated and previous are the shares of the last two requests. offered is the highest share in the answers up to
	// offeredAt, if the node has not acknowledged them; latest is the last share that it was offered.
	stated, previous, offered, latest int64
	offeredAt                         time.Duration
	// raisedAt is when a higher share than before was last offered. The limiter's own part has had no rate for the
	// difference since then.
	raisedAt time.Duration
	// creditedUntil is the time up to which the share was handed over. Until memberUntil its capacity belongs here.
	creditedUntil, memberUntil time.Duration
	member, pooled             bool
	// reported is the number of tokens that the node says to have outstanding, at heardAt. grants are the ones that it has
	// not acknowledged.
	reported int
	heardAt  time.Duration
	grants   []grant
	// waiting and urgent count operations that were neither granted nor refused, waitingSince is when the node asked.
	waiting, urgent int
	waitingSince    time.Duration
	rate            int64
	// undelivered are the tokens and refusals for the next answer.
	tokens, refused int
	retryAfter      time.Duration
}

// grant is what an answer contained.
type grant struct {
	at              time.Duration
	tokens, refused int
}

func newAccount(name currantloom.OrganisationName, b budget, now time.Duration) *account {
	return &account{name: name, budget: b, startedAt: now, settledAt: now, entries: make(map[currantloom.VMName]*entry)}
}

// boundShare is the highest share that the node may hold.
func (e *entry) boundShare() int64 { return max(e.stated, e.offered) }

func (e *entry) outstanding() int {
	n := e.reported
	for _, g := range e.grants {
		n += g.tokens
	}
	return n + e.tokens
}

// free is the share that belongs to no node, and therefore to the limiter itself.
func (a *account) free() int64 { return max(0, a.entitled-a.bound) }

func (a *account) entitle(share int64) { a.entitled = min(max(share, 0), wholeShare) }

// capacity is the part of the capacity that belongs to this limiter.
func (a *account) capacity() float64 {
	return a.budget.capacityOf(uint32(a.pooled+a.free())) + a.budget.reserveOf(uint32(a.joining))
}

// settle adds the limiter's own part of the rate up to now.
func (a *account) settle(now time.Duration) {
	if now > a.settledAt {
		a.level += a.budget.rateOf(uint32(a.free())) * (now - a.settledAt).Seconds()
		a.settledAt = now
		a.clip()
	}
}

// clip bounds the level: with the outstanding tokens it must stay within the capacity.
func (a *account) clip() { a.level = max(0, min(a.level, a.capacity()-float64(a.outstanding))) }

// change calls f, which changes an entry, and updates the sums.
func (a *account) change(e *entry, f func()) {
	a.addSums(e, -1)
	f()
	a.addSums(e, 1)
}

func (a *account) addSums(e *entry, sign int64) {
	a.bound += sign * e.boundShare()
	a.demand += sign * e.rate
	outstanding := e.outstanding()
	switch {
	case e.member && e.pooled:
		a.pooled += sign * e.boundShare()
	case e.member:
		a.joining += sign * e.boundShare()
	default:
		// The node keeps its part of the capacity itself, and counts its tokens against that.
		outstanding = max(0, outstanding-int(a.budget.capacityOf(uint32(e.boundShare()))))
	}
	a.outstanding += int(sign) * outstanding
}

// hear applies the demand of a request.
func (a *account) hear(h hearing, d currantloom.TokenDemand) {
	a.settle(h.now)
	e, known := a.entries[h.vm]
	if !known {
		e = &entry{vm: h.vm}
		a.entries[h.vm] = e
		a.entitle(a.entitled + int64(min(d.Share, wholeShare)))
	}
	a.change(e, func() {
		a.hearShare(e, h, d, known)
		a.hearTokens(e, h, d)
		e.rate = int64(d.Rate)
	})
	a.clip()
	a.offer(e)
}

// hearShare credits the share that the request hands over, and records the share that the node holds now.
func (a *account) hearShare(e *entry, h hearing, d currantloom.TokenDemand, known bool) {
	share := int64(min(d.Share, wholeShare))
	handedOver := min(max(d.HandedOver, 0), maxHandedOver)
	if e.offeredAt > 0 && h.acknowledged >= e.offeredAt {
		e.offered, e.offeredAt = 0, 0
	}
	if known && share != e.stated && share != e.latest {
		// Another limiter has changed the share, and has taken the difference from, or given it to, another node.
		a.entitle(a.entitled + share - e.stated)
	}
	e.previous, e.stated = e.stated, share
	switch {
	case !known && h.sentAfter == 0:
		if h.first {
			a.level += a.budget.rateOf(uint32(share)) * handedOver.Seconds()
		}
		if h.first && d.Reserve {
			a.level += a.budget.reserveOf(uint32(share))
		}
		e.creditedUntil, e.memberUntil = h.now, h.now+firstMemberTime
	case h.sentAfter > 0:
		since := max(e.creditedUntil, h.sentAfter-handedOver)
		a.level += a.budget.rateOf(uint32(min(e.previous, share))) * max(0, h.sentAfter-since).Seconds()
		if raised := share - e.previous; raised > 0 && share == e.latest {
			a.level += a.budget.rateOf(uint32(raised)) * max(0, h.sentAfter-max(since, e.raisedAt)).Seconds()
		}
		e.creditedUntil = max(e.creditedUntil, h.sentAfter)
	}
	switch {
	case handedOver == 0:
		e.memberUntil = 0
	case h.sentAfter > 0:
		e.memberUntil = max(e.memberUntil, h.sentAfter+memberTime)
	}
	e.member, e.pooled = e.memberUntil > h.now, d.Pooled
}

// hearTokens records the tokens that the node has and the operations that wait there.
func (a *account) hearTokens(e *entry, h hearing, d currantloom.TokenDemand) {
	e.grants = slices.DeleteFunc(e.grants, func(g grant) bool { return g.at <= h.acknowledged })
	e.reported, e.heardAt = d.Outstanding, h.now
	a.level += float64(d.Returned)
	waiting := d.Waiting
	for _, g := range e.grants {
		waiting -= g.tokens + g.refused
	}
	waiting -= e.tokens + e.refused
	if e.waiting == 0 {
		e.waitingSince = h.now
	}
	e.waiting = max(0, waiting)
	e.urgent = min(e.waiting, d.Urgent)
	if e.waiting > 0 && !slices.Contains(a.pending, e) {
		a.pending = append(a.pending, e)
	}
}

// grantAdvance grants tokens for later operations while nothing waits. A part of the capacity is kept back for
// operations at other nodes.
func (a *account) grantAdvance(vm currantloom.VMName, wanted int) {
	e, ok := a.entries[vm]
	n := min(wanted, int(a.level-advanceReserve*a.capacity()))
	if !ok || len(a.pending) > 0 || n <= 0 {
		return
	}
	a.level -= float64(n)
	a.change(e, func() { e.tokens += n })
}

// offer sets the share for the node's next answer in proportion to its demand. A share grows only by what other nodes
// have confirmed to hold no longer.
func (a *account) offer(e *entry) {
	if a.demand == 0 {
		return
	}
	target := e.rate * (a.entitled + a.free()) / a.demand
	if target < wholeShare/5000 {
		target = 0
	}
	a.change(e, func() {})
	free := a.entitled - a.bound
	target = min(target, e.boundShare()+max(0, free))
	if difference := target - e.stated; difference == 0 || target > 0 && max(difference, -difference) < e.stated/20 {
		target = e.stated
	}
	a.change(e, func() {
		if target > e.boundShare() {
			e.raisedAt = a.settledAt
		}
		if target != e.stated || e.offeredAt > 0 {
			e.offered = max(e.offered, target)
		}
		e.latest = target
	})
}

// take returns what the next answer says to a node; ok is false if that is nothing.
func (a *account) take(vm currantloom.VMName, at time.Duration) (g currantloom.TokenGrant, ok bool) {
	e, known := a.entries[vm]
	if !known || e.tokens == 0 && e.refused == 0 && e.latest == e.stated && e.offeredAt == 0 {
		return g, false
	}
	g = currantloom.TokenGrant{
		Organisation: a.name, Tokens: e.tokens, Refused: e.refused, RetryAfter: e.retryAfter, Share: uint32(e.latest),
	}
	if e.tokens > 0 || e.refused > 0 {
		e.grants = append(e.grants, grant{at: at, tokens: e.tokens, refused: e.refused})
		e.tokens, e.refused, e.retryAfter = 0, 0, 0
	}
	if e.latest != e.stated || e.offeredAt > 0 {
		e.offeredAt = at
	}
	return g, true
}

// undelivered returns the nodes for which there are tokens or refusals.
func (a *account) undelivered() []currantloom.VMName {
	var vms []currantloom.VMName
	for _, e := range a.entries {
		if e.tokens > 0 || e.refused > 0 {
			vms = append(vms, e.vm)
		}
	}
	slices.Sort(vms)
	return vms
}

// sweep takes back the capacity of entries that no longer report, and forgets tokens that have certainly run or
// expired.
func (a *account) sweep(now time.Duration) {
	a.settle(now)
	for _, e := range a.entries {
		a.change(e, func() {
			e.member = e.member && e.memberUntil > now
			e.grants = slices.DeleteFunc(e.grants, func(g grant) bool { return now-g.at > tokenLife+runDelay })
			if now-e.heardAt > tokenLife+runDelay {
				e.reported = 0
			}
		})
	}
	a.clip()
}

// forget drops the entry of a VM whose process has ended. Its share becomes available.
func (a *account) forget(vm currantloom.VMName) {
	e, ok := a.entries[vm]
	if !ok {
		return
	}
	a.addSums(e, -1)
	delete(a.entries, vm)
	a.pending = slices.DeleteFunc(a.pending, func(p *entry) bool { return p == e })
	a.clip()
}
