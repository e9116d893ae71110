package loomquota

import "time"

// isAlone reports whether the node uses its own share of an organisation's rate.
func (n *Entry) isAlone(w *wallet) bool {
	n.updateAlone(w)
	return w.alone
}

// isSilent reports whether no limiter of a shard has answered for aloneTime.
func (n *Entry) isSilent(s *shard) bool { return s.silentSince > 0 && n.now-s.silentSince >= aloneTime }

// updateAlone starts or ends the use of the own share, and adds its rate to the level.
func (n *Entry) updateAlone(w *wallet) {
	s := w.shard
	silent := n.isSilent(s)
	switch {
	case silent && !w.alone:
		// A token becomes whole at a random time within its interval, so that the nodes together run no more than the rate
		// although each can use whole tokens only.
		w.alone, w.wholeAt = true, 0
		w.level, w.levelAt = n.nextRandom(), max(s.handedAt, s.otherAt, w.ownUsedAt, w.sharedAt)
		if n.useReserve(w) {
			w.level += w.budget.reserveOf(n.ownShare(w))
		}
		fallthrough
	case silent:
		w.accrue(n.now, n.ownShare(w), n.ownCapacity(w))
	case w.alone:
		w.alone, w.level = false, 0
	}
}

// useReserve reports whether the node's part of the reserve may be used now, and records its use. A process that has
// just started does not know when it last was.
func (n *Entry) useReserve(w *wallet) bool {
	if w.shard.fresh || n.now-max(w.reservedAt, n.startedAt) < reserveInterval {
		return false
	}
	w.reservedAt = n.now
	return true
}

// ownShare returns the share that the node uses alone: the one that it holds or, if it has never heard from a limiter,
// an equal part.
func (n *Entry) ownShare(w *wallet) uint32 {
	if w.shard.fresh {
		return uint32(wholeShare / max(1, n.registered))
	}
	return w.share
}

// ownCapacity returns how many tokens and running operations the node may have alone. A limiter may still count the
// node's part of the capacity at first.
func (n *Entry) ownCapacity(w *wallet) float64 {
	if n.now-max(w.shard.handedAt, w.shard.otherAt) < poolDelay {
		return w.budget.reserveOf(n.ownShare(w))
	}
	return ownCapacity * w.budget.capacityOf(n.ownShare(w))
}

// accrue adds the rate of the share up to now. A capacity of less than one token is kept on average over time: a token
// lapses after the time in which the rate fills the capacity.
func (w *wallet) accrue(now time.Duration, share uint32, capacity float64) {
	rate := w.budget.rateOf(share)
	if now > w.levelAt {
		w.level += rate * (now - w.levelAt).Seconds()
		w.levelAt = now
	}
	w.ownUsedAt = now
	for ; w.debt > 0 && w.level >= 1; w.debt-- {
		w.level--
	}
	room := capacity - float64(w.heldCount()+w.inFlight)
	switch {
	case capacity >= 1:
		w.level, w.wholeAt = max(0, min(w.level, room)), 0
	case w.level < 1:
		w.wholeAt = 0
	case w.wholeAt == 0:
		w.level, w.wholeAt = min(w.level, 2), now
	case (now-w.wholeAt).Seconds()*rate > capacity:
		w.level, w.wholeAt = w.level-float64(int(w.level)), 0
	}
}
