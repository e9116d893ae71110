package loomquota

import (
	"slices"
	"time"

	"currantloom.example/currantloom"
)

const (
	// sweepInterval is how often a limiter looks for entries that no longer report.
	sweepInterval = 250 * time.Millisecond
	// reviewInterval is how often a limiter asks nodes for their shares while a part of a rate belongs to nobody,
	// reviewTime is how old their answers may be.
	reviewInterval = time.Second
	reviewTime     = 3 * time.Second
)

// Limiter grants the tokens of the organisations of a shard to the entries that ask it. Use NewLimiter to create one.
type Limiter struct {
	window        currantloom.QuotaWindow
	shard, shards int
	epoch         uint64
	now           time.Duration
	// stamp is the time of the last answer; it rises with each.
	stamp time.Duration
	// accounts holds the organisations with a limit, names their names in order.
	accounts map[currantloom.OrganisationName]*account
	names    []currantloom.OrganisationName
	peers    map[currantloom.VMName]*peer
	// registered are the VMs that may hold shares, in order.
	registered []currantloom.VMName
	sweptAt    time.Duration
	reviewedAt time.Duration
}

// peer is a node that has sent requests.
type peer struct {
	incarnation uint64
	sent        time.Duration
	// fullAt is when the node last named all its shares.
	fullAt time.Duration
}

// Answer is an answer to the entry of a node.
type Answer struct {
	VM      currantloom.VMName
	Message currantloom.TokenAnswer
}

// NewLimiter returns the limiter of a shard, without any state. The epoch must differ from those of earlier limiters of
// this node.
func NewLimiter(w currantloom.QuotaWindow, shard, shards int, epoch uint64) *Limiter {
	return &Limiter{
		window: w, shard: shard, shards: shards, epoch: epoch, accounts: make(map[currantloom.OrganisationName]*account),
		peers: make(map[currantloom.VMName]*peer),
	}
}

// SetLimits replaces the limits. A lowered limit takes effect at once. Organisations without a limit and those of other
// shards are left out.
func (l *Limiter) SetLimits(now time.Duration, limits map[currantloom.OrganisationName]currantloom.RateLimit) {
	l.advance(now)
	for name, a := range l.accounts {
		if limits[name].IsZero() {
			delete(l.accounts, name)
			continue
		}
		a.settle(l.now)
		a.budget = newBudget(limits[name], l.window)
		a.clip()
	}
	l.names = l.names[:0]
	for name, limit := range limits {
		if limit.IsZero() || ShardOf(name, l.shards) != l.shard {
			continue
		}
		l.names = append(l.names, name)
		if l.accounts[name] == nil {
			l.accounts[name] = newAccount(name, newBudget(limit, l.window), l.now)
		}
	}
	slices.Sort(l.names)
}

// SetRegistered replaces the list of the VMs that may hold shares. Shares of other VMs become available again.
func (l *Limiter) SetRegistered(now time.Duration, vms []currantloom.VMName) {
	l.advance(now)
	l.registered = slices.Sorted(slices.Values(vms))
	for vm := range l.peers {
		if _, ok := slices.BinarySearch(l.registered, vm); !ok {
			l.forget(vm)
		}
	}
}

// forget drops what a process of a VM held.
func (l *Limiter) forget(vm currantloom.VMName) {
	delete(l.peers, vm)
	for _, a := range l.accounts {
		a.settle(l.now)
		a.forget(vm)
	}
}

func (l *Limiter) advance(now time.Duration) { l.now = max(l.now, now) }

// nextStamp returns the time of the next answer.
func (l *Limiter) nextStamp() time.Duration {
	l.stamp = max(l.stamp+time.Microsecond, l.now.Truncate(time.Microsecond))
	return l.stamp
}

// newAnswer returns an answer without grants; asked is the time of the newest request of the receiver.
func (l *Limiter) newAnswer(asked time.Duration) currantloom.TokenAnswer {
	return currantloom.TokenAnswer{
		Shard: l.shard, Shards: l.shards, Epoch: l.epoch, Time: l.nextStamp(), Asked: asked,
	}
}

// Request handles a request and returns the answer, which may be empty. It reports false if the request is older than
// one that was handled before.
func (l *Limiter) Request(
	now time.Duration, from currantloom.VMName, m currantloom.TokenRequest,
) (currantloom.TokenAnswer, bool) {
	l.advance(now)
	p, ok := l.peers[from]
	if ok && p.incarnation == m.Incarnation && m.Sent <= p.sent {
		return currantloom.TokenAnswer{}, false
	}
	if !ok || p.incarnation != m.Incarnation {
		l.meet(from, m, ok)
		p = l.peers[from]
	}
	p.sent = m.Sent
	if m.Full {
		p.fullAt = l.now
	}
	h := l.hearingOf(from, m)
	answer := l.newAnswer(m.Sent)
	if m.Full {
		l.hearOmitted(h, m.Demands)
	}
	for _, d := range m.Demands {
		a, ok := l.accounts[d.Organisation]
		if !ok {
			continue
		}
		a.hear(h, d)
		a.serve(l.now)
		a.grantAdvance(from, d.Wanted)
		if g, ok := a.take(from, answer.Time); ok {
			answer.Grants = append(answer.Grants, g)
		}
	}
	return answer, true
}

// hearOmitted records that a node holds no share of the organisations that its full request does not name.
func (l *Limiter) hearOmitted(h hearing, demands []currantloom.TokenDemand) {
	for _, name := range l.names {
		a := l.accounts[name]
		if _, ok := a.entries[h.vm]; !ok || slices.ContainsFunc(demands, func(d currantloom.TokenDemand) bool {
			return d.Organisation == name
		}) {
			continue
		}
		a.hear(h, currantloom.TokenDemand{Organisation: name})
	}
}

// meet records a new process of a node. A process that has no shares, on a VM of which this limiter knows nothing,
// brings the part of the rate that is left to each VM.
func (l *Limiter) meet(vm currantloom.VMName, m currantloom.TokenRequest, known bool) {
	l.forget(vm)
	l.peers[vm] = &peer{incarnation: m.Incarnation}
	if known || !m.Fresh {
		return
	}
	for _, a := range l.accounts {
		a.settle(l.now)
		a.entitle(a.entitled + wholeShare/int64(max(1, len(l.registered))))
	}
}

// hearing is what a request says about the time for which it hands shares over.
type hearing struct {
	vm  currantloom.VMName
	now time.Duration
	// acknowledged is the newest answer that the node has; zero if it has none. sentAfter is a time of this limiter before
	// which the request was not sent; zero if it is not known.
	acknowledged, sentAfter time.Duration
	// first says that the node has had no answer of this VM since it turned to it. Otherwise, what it hands over may have
	// been used by an earlier state of this limiter.
	first bool
}

// hearingOf derives the time of sending from this limiter's own clock and the time that has passed at the node since
// the last answer, so that requests that were held up count for no more than they should.
func (l *Limiter) hearingOf(from currantloom.VMName, m currantloom.TokenRequest) hearing {
	h := hearing{vm: from, now: l.now, first: m.Epoch == 0}
	if m.Epoch == l.epoch && m.Answer > 0 {
		h.acknowledged, h.sentAfter = m.Answer, min(l.now, m.Answer+max(0, m.Elapsed))
	}
	return h
}

// Tick serves waiting operations, and returns the answers to send without a new request.
func (l *Limiter) Tick(now time.Duration) []Answer {
	l.advance(now)
	var answers []Answer
	grants := make(map[currantloom.VMName]int)
	for _, name := range l.names {
		a := l.accounts[name]
		if len(a.pending) == 0 {
			continue
		}
		a.settle(l.now)
		a.serve(l.now)
		for _, vm := range a.undelivered() {
			i, ok := grants[vm]
			if !ok {
				i = len(answers)
				grants[vm] = i
				answers = append(answers, Answer{VM: vm, Message: l.newAnswer(l.peers[vm].sent)})
			}
			if g, ok := a.take(vm, answers[i].Message.Time); ok {
				answers[i].Message.Grants = append(answers[i].Message.Grants, g)
			}
		}
	}
	if l.now-l.sweptAt >= sweepInterval {
		l.sweptAt = l.now
		for _, name := range l.names {
			l.accounts[name].sweep(l.now)
		}
	}
	return append(answers, l.review()...)
}

// review asks nodes for all their shares while a part of a rate belongs to nobody, because the nodes that held it have
// failed. Once every registered VM has named its shares, the limiter owns the rest.
func (l *Limiter) review() []Answer {
	if l.now-l.reviewedAt < reviewInterval || len(l.registered) == 0 || !l.isShareLost() {
		return nil
	}
	l.reviewedAt = l.now
	var asked []Answer
	complete := true
	for _, vm := range l.registered {
		p, ok := l.peers[vm]
		if ok && p.fullAt > 0 && l.now-p.fullAt <= reviewTime {
			continue
		}
		complete = false
		question := l.newAnswer(0)
		question.Review = true
		if ok {
			question.Asked = p.sent
		}
		asked = append(asked, Answer{VM: vm, Message: question})
	}
	if !complete {
		return asked
	}
	for _, name := range l.names {
		a := l.accounts[name]
		a.settle(l.now)
		a.entitle(wholeShare)
	}
	return nil
}

// isShareLost reports whether the shares of an organisation add up to less than the whole.
func (l *Limiter) isShareLost() bool {
	for _, name := range l.names {
		if l.accounts[name].entitled < wholeShare-wholeShare/50 {
			return true
		}
	}
	return false
}

// Stats describes what the limiter knows of an organisation.
type Stats struct {
	// Tokens are the tokens that may be granted now, Outstanding those that were granted and may not have been used.
	Tokens, Outstanding int
	// Share is the part of the rate that is handed to this limiter or belongs to it, Entitled the part that it may
	// distribute, both in millionths.
	Share, Entitled uint32
}

// Stats returns what the limiter knows of an organisation; ok is false if it has no limit.
func (l *Limiter) Stats(name currantloom.OrganisationName) (s Stats, ok bool) {
	a, ok := l.accounts[name]
	if !ok {
		return Stats{}, false
	}
	return Stats{
		Tokens: int(a.level), Outstanding: a.outstanding, Share: uint32(a.pooled + a.joining + a.free()),
		Entitled: uint32(a.entitled),
	}, true
}
