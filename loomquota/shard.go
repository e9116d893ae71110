package loomquota

import (
	"slices"
	"time"

	"currantloom.example/currantloom"
)

const (
	// reportInterval is the longest time between two requests of a node that holds a share, repeatInterval the shortest
	// one between requests for the same operations. joinInterval applies for joinTime after a change of the limiter,
	// because a new limiter has little to grant until it has heard several times from the nodes.
	reportInterval = time.Second
	repeatInterval = 100 * time.Millisecond
	joinInterval   = 100 * time.Millisecond
	joinTime       = 3 * time.Second
	// While maxAtOnce requests are unanswered, batchInterval is the shortest time between two requests for different
	// operations of an organisation.
	maxAtOnce     = 16
	batchInterval = 20 * time.Millisecond
	// A wallet that was stated longer ago than reportedLately is added to the reports on others, one that was stated
	// longer ago than almostDue is added to any request.
	reportedLately = 500 * time.Millisecond
	almostDue      = 900 * time.Millisecond
	// refillInterval is the shortest time between requests for tokens in advance alone.
	refillInterval = 250 * time.Millisecond
	// UnansweredTime is how long a request may be unanswered until another VM should be chosen as the limiter. After
	// aloneTime the node uses its own share.
	UnansweredTime = 200 * time.Millisecond
	aloneTime      = 300 * time.Millisecond
	// LossyTime applies instead of UnansweredTime to a VM that is known to have answered something else meanwhile.
	LossyTime = 600 * time.Millisecond
	// maxUnanswered bounds the list of unanswered requests. maxRate bounds the stated demand.
	maxUnanswered = 64
	maxRate       = 1e9
)

// shard is the relation of an entry node to the limiter of some organisations.
type shard struct {
	limiter currantloom.VMName
	// epoch and answer identify the limiter's last answer, which came at answeredAt.
	epoch              uint64
	answer, answeredAt time.Duration
	// asked is the newest request that the limiter is known to have received.
	asked time.Duration
	// unanswered are the times of the requests to this limiter that are not answered. silentSince is the time of the first
	// request since the last answer of any limiter; zero if there is none.
	unanswered  []time.Duration
	silentSince time.Duration
	// handedAt is when shares were last handed to this limiter, otherAt when they were last handed to another one.
	// joinedAt is when this one was chosen.
	handedAt, otherAt, joinedAt time.Duration
	// fresh says that this process has had no answer of any limiter.
	fresh bool
	// questioned says that the limiter has asked for a full request.
	questioned bool
}

// Limiter returns the VM that is the limiter of a shard; empty if there is none.
func (n *Entry) Limiter(shard int) currantloom.VMName { return n.shards[shard].limiter }

// SetLimiter chooses the limiter of a shard; empty if there is none.
func (n *Entry) SetLimiter(shard int, vm currantloom.VMName) {
	s := n.shards[shard]
	if s.limiter == vm {
		return
	}
	s.otherAt, s.handedAt = max(s.otherAt, s.handedAt), 0
	s.limiter, s.epoch, s.answer, s.joinedAt, s.questioned, s.unanswered = vm, 0, 0, n.now, false, nil
	if vm == "" && s.silentSince == 0 {
		s.silentSince = max(n.now, 1)
	}
	for _, w := range n.sorted {
		if w.shard == s {
			w.asked, w.statedAt, w.statedWaiting = false, 0, 0
			w.inherited = w.heldCount() + w.inFlight
		}
	}
}

// Unanswered returns how long the limiter of a shard has left requests unanswered; zero if it has not. A single message
// may have been lost.
func (n *Entry) Unanswered(shard int) time.Duration {
	if s := n.shards[shard]; len(s.unanswered) > 1 {
		return n.now - s.unanswered[0]
	}
	return 0
}

// Resume is called after a pause of the process. Answers that came during the pause are still to be read, so no limiter
// counts as silent.
func (n *Entry) Resume() {
	for _, s := range n.shards {
		s.unanswered, s.silentSince = nil, 0
	}
}

// Requests returns the requests to send now.
func (n *Entry) Requests() []Request {
	var requests []Request
	for i, s := range n.shards {
		if s.limiter == "" || !n.isRequestDue(s) {
			continue
		}
		m := n.buildRequest(s)
		m.Shard, m.Shards = i, len(n.shards)
		requests = append(requests, Request{VM: s.limiter, Message: m})
	}
	return requests
}

// isRequestDue reports whether the limiter of a shard must hear of anything now.
func (n *Entry) isRequestDue(s *shard) bool {
	return s.questioned || n.isHelloDue(s) || n.isRepeatDue(s) ||
		slices.ContainsFunc(n.sorted, func(w *wallet) bool { return w.shard == s && n.isDue(w) })
}

// isRepeatDue reports whether a request is unanswered for long enough to send another one.
func (n *Entry) isRepeatDue(s *shard) bool {
	return len(s.unanswered) > 0 && n.now-s.unanswered[len(s.unanswered)-1] >= repeatInterval
}

// isHelloDue reports whether a new process must make itself known to the limiter, which fills its buckets from then on.
func (n *Entry) isHelloDue(s *shard) bool {
	return s.fresh && len(n.limits) > 0 && (s.handedAt == 0 || n.now-s.handedAt >= reportInterval)
}

// isDue reports whether the limiter must hear of a wallet now.
func (n *Entry) isDue(w *wallet) bool {
	since := n.now - w.statedAt
	needs := w.debt + len(w.waiting)
	switch {
	case len(w.waiting) > w.statedWaiting && (!w.asked || since > 0) &&
		(len(w.shard.unanswered) < maxAtOnce || since >= batchInterval):
		// Not twice at the same time: a limiter on this node answers within the event, so it would be asked for ever.
		return true
	case needs > 0 && (!w.asked || since >= repeatInterval):
		return true
	case w.share == 0 && w.heldCount()+w.inFlight == 0:
		return w.asked && w.statedShare > 0
	case n.now-w.shard.joinedAt < joinTime:
		return !w.asked || since >= joinInterval
	case 2*w.heldCount() < w.wanted(n.now):
		return !w.asked || since >= refillInterval
	default:
		return n.isReportDue(w)
	}
}

// isReportDue reports whether the node must report the share that it holds.
func (n *Entry) isReportDue(w *wallet) bool {
	return w.share > 0 && (!w.asked || n.now-w.statedAt >= reportInterval)
}

// buildRequest returns the request for a shard, with the wallets that are due and those that soon will be.
func (n *Entry) buildRequest(s *shard) currantloom.TokenRequest {
	n.sentAt = max(n.now.Truncate(time.Microsecond), n.sentAt+time.Microsecond)
	m := currantloom.TokenRequest{
		Incarnation: n.incarnation, Sent: n.sentAt, Fresh: s.fresh, Full: true, Epoch: s.epoch, Answer: s.answer,
	}
	if s.answer > 0 {
		m.Elapsed = (n.now - s.answeredAt).Truncate(time.Microsecond)
	}
	fresh := almostDue
	if s.questioned {
		fresh = 0
	} else if slices.ContainsFunc(n.sorted, func(w *wallet) bool { return w.shard == s && n.isReportDue(w) }) {
		fresh = reportedLately
	}
	for _, w := range n.sorted {
		switch {
		case w.shard != s:
		case n.isDue(w) || w.isUsed() && n.now-w.statedAt >= fresh:
			m.Demands = append(m.Demands, n.demandOf(w))
		case w.isUsed():
			m.Full = false
		}
	}
	s.questioned = false
	if !n.isSilent(s) {
		s.handedAt = max(n.now, 1)
	}
	if len(s.unanswered) < maxUnanswered {
		s.unanswered = append(s.unanswered, m.Sent)
	}
	if s.silentSince == 0 {
		s.silentSince = max(n.now, 1)
	}
	return m
}

// demandOf returns what the limiter is told of a wallet.
func (n *Entry) demandOf(w *wallet) currantloom.TokenDemand {
	s := w.shard
	n.updateAlone(w)
	returned := w.giveBack(n.now)
	d := currantloom.TokenDemand{
		Returned:     returned,
		Organisation: w.name, Waiting: w.debt + len(w.waiting), Outstanding: w.heldCount() + w.inFlight, Share: w.share,
		Rate: uint32(min(w.demandNow(n.now)*1000, maxRate)), Pooled: n.now-s.otherAt >= poolDelay || s.otherAt == 0,
	}
	if !d.Pooled {
		d.Outstanding = max(0, d.Outstanding-w.inherited)
	}
	for _, op := range w.waiting {
		if op.urgent {
			d.Urgent++
		}
	}
	d.Wanted = max(0, w.wanted(n.now)-w.heldCount())
	if !w.alone {
		d.HandedOver = n.handedOver(w)
	}
	if !w.asked && w.share > 0 && !w.alone {
		d.Reserve = n.useReserve(w)
	}
	w.asked, w.statedAt, w.statedWaiting, w.statedShare = true, n.now, len(w.waiting), w.share
	return d
}

// handedOver returns the time for which the limiter may count the node's share as its own: since the node handed it to
// another limiter or used it itself. A new limiter does not know when the share was raised.
func (n *Entry) handedOver(w *wallet) time.Duration {
	since := max(w.shard.otherAt, w.ownUsedAt)
	if !w.asked {
		since = max(since, w.sharedAt)
	}
	return min(n.now-since, maxHandedOver).Truncate(time.Millisecond)
}

// HandleAnswer handles an answer of a limiter.
func (n *Entry) HandleAnswer(from currantloom.VMName, a currantloom.TokenAnswer) {
	if a.Shards == len(n.shards) && a.Shard >= 0 && a.Shard < a.Shards && n.shards[a.Shard].limiter == from {
		n.handleAnswer(n.shards[a.Shard], a)
	}
}

// handleAnswer handles an answer of the limiter of a shard. An answer that was overtaken by a newer one is dropped:
// the limiter takes it for lost.
func (n *Entry) handleAnswer(s *shard, a currantloom.TokenAnswer) {
	s.questioned = s.questioned || a.Review
	overtaken := a.Epoch == s.epoch && a.Time <= s.answer || a.Asked < s.asked
	if overtaken || a.Asked < s.joinedAt.Truncate(time.Microsecond) || a.Asked > n.sentAt {
		return
	}
	s.epoch, s.answer, s.answeredAt, s.asked, s.fresh = a.Epoch, a.Time, n.now, a.Asked, false
	s.unanswered = slices.DeleteFunc(s.unanswered, func(at time.Duration) bool { return at <= a.Asked })
	s.silentSince = 0
	if len(s.unanswered) > 0 {
		s.silentSince = s.unanswered[0]
	}
	for _, w := range n.sorted {
		if w.shard == s {
			n.updateAlone(w)
		}
	}
	for _, g := range a.Grants {
		if w, ok := n.wallets[g.Organisation]; ok && w.shard == s {
			n.handleGrant(w, g, a.Asked)
		}
	}
}

// handleGrant handles an answer on one organisation. Tokens count as granted when they were requested.
func (n *Entry) handleGrant(w *wallet, g currantloom.TokenGrant, askedAt time.Duration) {
	if g.Share != w.share {
		if g.Share > w.share {
			w.sharedAt = n.now
		}
		w.share = min(g.Share, wholeShare)
	}
	if g.Tokens > 0 && n.now-askedAt < tokenLife {
		w.add(askedAt, g.Tokens)
	}
	w.statedWaiting = max(0, w.statedWaiting-g.Tokens-g.Refused)
	if g.Refused > 0 {
		w.scarceUntil = n.now + scarceTime
	}
	n.grantWaiting(w)
	if g.Refused > 0 {
		n.refuseWaiting(w, g.Refused, g.RetryAfter)
		w.refusedUntil = n.now + min(g.RetryAfter, maxRefusedTime)
	}
}
