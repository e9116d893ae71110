package loomfleet

import (
	"cmp"
	"slices"
	"time"

	"currantloom.example/currantloom"
)

// newcomerTime is how long after the primary stepped down an upstream that has just started may take to register. Until
// then it may hold commits that no known replica has.
const newcomerTime = 300 * time.Millisecond

// promotionProof collects the evidence that a promotion loses no acknowledged commit.
//
// A promotion of C is safe if no other upstream can, until it has taken effect, hold a commit that a client was told of
// and that C lacks. An acknowledgement needs a receiver, so it is enough that one of these holds:
//   - the primary has stepped down, so its log is final, and C's log covers it;
//   - every upstream that may receive is known and paused, none of their logs is longer than that of C, and C's log
//     covers every commit that is known to be acknowledged.
//
// Evidence is the answer to a pause that the upstream has carried out, which it does only if the term of the pause is
// above that of every primary so far. It is void once an upstream reports a newer term or acts as primary, and once the
// upstream restarts. A resumption that was sent before and got no answer may end the pause later. That an upstream is a
// replica after it was asked to step down shows nothing: another one may lead.
//
// The zero value holds no evidence.
type promotionProof struct {
	// newest is the newest term that an upstream reported, term is that of the commands, which is above it.
	newest, term currantloom.Term
	halts        map[currantloom.UpstreamName]halt
	// leader is the upstream that was last seen to act as primary, leaderTerm is the term in which it did.
	leader     currantloom.UpstreamName
	leaderTerm currantloom.Term
	// stepDownTerm is the term of the last request to step down that was answered by a replica.
	stepDownTerm currantloom.Term
}

// halt is the evidence that an upstream neither receives nor acknowledges commits.
type halt struct {
	// incarnation is the process of the upstream that answered, term is that of its pause.
	incarnation int64
	term        currantloom.Term
	log         replicaLog
	// at is when the last pause was answered, since is when one was first answered with this log.
	at, since time.Duration
}

// replicaLog is the end of an upstream's log, and the newest term in which it has led or received.
type replicaLog struct {
	term     currantloom.Term
	received currantloom.LogPosition
}

// compare orders logs by how much of the newest primary's log they hold. The term comes first: a log that ends in an
// entry of a primary that was replaced before any replica had the entry holds less than one that the next primary has
// written to, although the position of its end is higher.
func (l replicaLog) compare(other replicaLog) int {
	return cmp.Or(cmp.Compare(l.term, other.term), l.received.Compare(other.received))
}

// haltOutcome says what an answer shows.
type haltOutcome uint8

const (
	// haltIgnored: the upstream has ignored the command, or the command is out of date.
	haltIgnored haltOutcome = iota
	// haltNoEvidence: the upstream is a replica, and the command was no pause.
	haltNoEvidence
	haltPaused
	// haltPrimary: the upstream acts as primary.
	haltPrimary
	// haltResumed: the upstream is paused, but has received since it was paused in the same term.
	haltResumed
	// haltNewerTerm: another upstream has led since, so all evidence is void.
	haltNewerTerm
)

// String returns the name that logs use.
func (o haltOutcome) String() string {
	return [...]string{"ignored", "replica", "paused", "primary", "resumed", "newer_term"}[o]
}

// restart drops the evidence. Later commands have a term above this one and every term seen.
func (p *promotionProof) restart(known currantloom.Term) {
	p.newest = max(p.newest, known)
	p.term = p.newest + 1
	clear(p.halts)
}

// observe records the answer of an upstream to a replication command. An upstream ignores a pause whose term is not
// above the newest one, even if it has not heard of that term itself: the term held shows it.
func (p *promotionProof) observe(
	u currantloom.Upstream, command currantloom.Command, status currantloom.ReplicationStatus, at time.Duration,
) haltOutcome {
	before, wasHalted := p.haltOf(u)
	delete(p.halts, u.Name)
	if status.Primary && status.Term >= p.leaderTerm {
		p.leader, p.leaderTerm = u.Name, status.Term
	}
	if status.Term >= p.term {
		p.restart(status.Term)
		if !status.Primary {
			return haltNewerTerm
		}
	}
	switch {
	case status.Primary:
		// One that leads again after it stepped down, or another one, has to step down.
		p.stepDownTerm = 0
		return haltPrimary
	case command.Kind != currantloom.CommandPauseReplication:
		if command.Kind == currantloom.CommandStepDown {
			p.stepDownTerm = command.Term
		}
		return haltNoEvidence
	case status.Held < command.Term:
		p.restart(max(p.newest, command.Term))
		return haltIgnored
	case command.Term < p.term:
		return haltIgnored
	}
	h := halt{term: command.Term, log: replicaLog{term: status.Term, received: status.Received}, at: at, since: at}
	unchanged := wasHalted && before.log == h.log
	if unchanged {
		h.since = before.since
	}
	p.record(u, h)
	if wasHalted && !unchanged {
		return haltResumed
	}
	return haltPaused
}

func (p *promotionProof) record(u currantloom.Upstream, h halt) {
	if p.halts == nil {
		p.halts = make(map[currantloom.UpstreamName]halt)
	}
	h.incarnation = u.Incarnation
	p.halts[u.Name] = h
}

// haltOf returns the evidence for an upstream. That of an earlier process counts no more: a restart ends a pause.
func (p *promotionProof) haltOf(u currantloom.Upstream) (halt, bool) {
	h, ok := p.halts[u.Name]
	return h, ok && h.incarnation == u.Incarnation
}

// leads reports whether the upstream was seen to lead the newest term that any upstream has reported.
func (p *promotionProof) leads(name currantloom.UpstreamName) bool {
	return name != "" && p.leader == name && p.leaderTerm >= p.newest
}

// hasLed reports whether the upstream was the last one that was seen to act as primary.
func (p *promotionProof) hasLed(u currantloom.Upstream) bool {
	return p.leader == u.Name && u.Name != ""
}

// stepDownCommand returns the next command to an upstream on the way to finalLog: it is asked whether it leads, steps
// down, and is paused.
func (p *promotionProof) stepDownCommand(u currantloom.Upstream) currantloom.Command {
	c := currantloom.Command{Kind: currantloom.CommandPauseReplication, Term: p.term}
	switch {
	case !p.hasLed(u):
		c.Kind = currantloom.CommandReplicationStatus
	case p.stepDownTerm < p.term:
		c.Kind = currantloom.CommandStepDown
	}
	return c
}

// finalLog returns the evidence for an upstream that has stepped down as the newest primary: it led the term before
// that of its pause, and nobody can have led since. Its log then holds every acknowledged commit.
func (p *promotionProof) finalLog(u currantloom.Upstream) (halt, bool) {
	h, ok := p.haltOf(u)
	return h, ok && p.hasLed(u) && h.term == p.leaderTerm+1
}

// promotionCase is what a promotion is judged against.
type promotionCase struct {
	now time.Duration
	// primary is the upstream to be replaced; its name is empty if none is known.
	primary currantloom.Upstream
	// others are all other upstreams whose logs count.
	others []currantloom.Upstream
	// acked is the newest commit that is known to be acknowledged.
	acked currantloom.LogPosition
	// maxMissing is the number of others that need not be halted, because with several synchronous replicas at least one
	// of the rest holds every acknowledged commit.
	maxMissing int
	// doubtful are the upstreams that may still carry out a resumption that was sent before they were paused.
	doubtful []currantloom.UpstreamName
	// acceptsDoubt says that one of them counts as halted once its log has stayed as it is for haltConfirmTime.
	acceptsDoubt bool
	// mayAcknowledge says that a node may still acknowledge commits.
	mayAcknowledge bool
	// isOutnumbered says that most nodes do not answer, and may give themselves leases to acknowledge commits.
	isOutnumbered bool
	// mayLackUpstreams says that upstreams may exist whose registrations are not back after an outage of the store.
	mayLackUpstreams bool
	// unreported are the commits that may be acknowledged and are not part of acked, samples the logs of the primary that
	// show which of them a candidate has.
	unreported unreportedCommits
	samples    []sample
	// silent are the upstreams that have lost their registrations lately, longest is the longest log that any replica was
	// seen to have, minLogs is the number of logs that must be known because others may exist. They count
	// while commits are unreported.
	silent  []currantloom.Upstream
	longest replicaLog
	minLogs int
}

// promotionBasis says what makes a promotion safe, or why it is not shown to be.
type promotionBasis string

const (
	basisSteppedDown promotionBasis = "the primary has stepped down"
	basisAllPaused   promotionBasis = "all replicas are paused"
	// basisUnchanged is that of a request for the present primary, which voids earlier ones.
	basisUnchanged     promotionBasis = "the primary stays"
	basisNotHalted     promotionBasis = "the candidate is not halted"
	basisLacksCommit   promotionBasis = "the candidate lacks an acknowledged commit"
	basisMissingReport promotionBasis = "a replica does not report"
	basisMayResume     promotionBasis = "a replica may still resume"
	basisLongerLog     promotionBasis = "another log is longer"
	basisNewcomers     promotionBasis = "an upstream may not have registered yet"
	basisNotBlocked    promotionBasis = "a node may still acknowledge commits"
	basisUnregistered  promotionBasis = "registrations may be missing after an outage of the store"
	basisOutnumbered   promotionBasis = "most nodes do not answer"
	basisUnrecorded    promotionBasis = "the change is not recorded"
	basisUnreported    promotionBasis = "another log may hold commits of a node that does not answer"
)

// isSafe reports whether the promotion may be requested.
func (b promotionBasis) isSafe() bool { return b == basisSteppedDown || b == basisAllPaused }

// judge says whether the promotion of a candidate may be requested now, and why.
func (p *promotionProof) judge(c promotionCase, candidate currantloom.Upstream) promotionBasis {
	h, ok := p.haltOf(candidate)
	if !ok {
		return basisNotHalted
	}
	final, steppedDown := p.finalLog(c.primary)
	hasAcked := h.log.received.Covers(c.acked)
	switch {
	case steppedDown && hasAcked && h.log.compare(final.log) >= 0:
		return basisSteppedDown
	case c.mayAcknowledge:
		return basisNotBlocked
	case c.isOutnumbered:
		return basisOutnumbered
	case c.mayLackUpstreams:
		return basisUnregistered
	case len(p.missing(c)) > c.maxMissing:
		return basisMissingReport
	case !hasAcked:
		return basisLacksCommit
	case p.hasLongerLog(c, h.log):
		return basisLongerLog
	case p.mayLackUnreported(c, h.log):
		return basisUnreported
	case len(p.missing(c))+p.doubtfulOthers(c, candidate) > c.maxMissing:
		return basisMayResume
	case steppedDown && c.now-final.at < newcomerTime:
		return basisNewcomers
	default:
		return basisAllPaused
	}
}

// missing returns the upstreams, other than the primary, that are not shown to be halted.
func (p *promotionProof) missing(c promotionCase) []currantloom.Upstream {
	return slices.DeleteFunc(slices.Clone(c.others), func(u currantloom.Upstream) bool {
		_, ok := p.haltOf(u)
		return ok
	})
}

// mayLackUnreported reports whether commits that nodes have acknowledged and not reported may be in another log only.
func (p *promotionProof) mayLackUnreported(c promotionCase, log replicaLog) bool {
	if c.unreported.isCoveredBy(log.received, c.samples) {
		return false
	}
	missing := len(p.missing(c))
	known := len(c.others) - missing
	return missing+len(c.silent) > c.maxMissing || known < c.minLogs || c.longest.compare(log) > 0
}

// doubtfulOthers counts the upstreams, other than the primary and the candidate, that are halted and may resume. If the
// candidate does, it only holds more.
func (p *promotionProof) doubtfulOthers(c promotionCase, candidate currantloom.Upstream) int {
	count := 0
	for _, u := range c.others {
		h, ok := p.haltOf(u)
		confirmed := c.acceptsDoubt && h.at-h.since >= haltConfirmTime
		if ok && !confirmed && u.Name != candidate.Name && slices.Contains(c.doubtful, u.Name) {
			count++
		}
	}
	return count
}

// hasLongerLog reports whether a halted replica has a longer log.
func (p *promotionProof) hasLongerLog(c promotionCase, log replicaLog) bool {
	return slices.ContainsFunc(c.others, func(u currantloom.Upstream) bool {
		h, ok := p.haltOf(u)
		return ok && h.log.compare(log) > 0
	})
}
