package loomfleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"currantloom.example/currantloom"
)

// proofEntry is a commit in the log of a proofServer.
type proofEntry struct {
	term  currantloom.Term
	index currantloom.LogIndex
}

// proofServer is an upstream of a proofWorld.
type proofServer struct {
	currantloom.Upstream
	leads bool
	term  currantloom.Term
	// held is the term of the pause in effect; zero if there is none.
	held currantloom.Term
	// resuming says that the process has a resumption under way that got no answer, doubtful is the process that had.
	resuming bool
	doubtful int64
	log      []proofEntry
}

// proofAnswer is the answer to a command that has not arrived yet.
type proofAnswer struct {
	server  *proofServer
	process int64
	command currantloom.Command
	status  currantloom.ReplicationStatus
}

// proofWorld is a database whose commits, commands, answers and restarts come in any order.
type proofWorld struct {
	*rand.Rand
	servers []*proofServer
	newest  currantloom.Term
	acked   []proofEntry
	answers []proofAnswer
	proof   promotionProof
	// target is the upstream to be replaced.
	target *proofServer
	// halted says that a command of the change has taken effect.
	halted bool
	trace  []string
}

func newProofWorld(seed uint64) *proofWorld {
	w := &proofWorld{Rand: rand.New(rand.NewPCG(seed, 1)), newest: 1}
	for range 3 + w.IntN(2) {
		w.join()
	}
	w.servers[0].leads, w.target = true, w.servers[0]
	return w
}

// join starts a replica with an empty log.
func (w *proofWorld) join() {
	w.servers = append(w.servers, &proofServer{
		Upstream: currantloom.Upstream{
			Name: currantloom.UpstreamName(fmt.Sprintf("u%d", len(w.servers))), Incarnation: 1,
		},
		term: 1, log: []proofEntry{{term: 1}},
	})
}

func (w *proofWorld) note(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf(format, args...))
}

func (w *proofWorld) any() *proofServer { return w.servers[w.IntN(len(w.servers))] }

func (w *proofWorld) leader() *proofServer {
	for _, s := range w.servers {
		if s.leads {
			return s
		}
	}
	return nil
}

// commit appends an entry to the leader's log.
func (w *proofWorld) commit() {
	if s := w.leader(); s != nil {
		s.log = append(s.log, proofEntry{term: s.term, index: s.log[len(s.log)-1].index + 1})
		w.note("%s commits %v", s.Name, s.log[len(s.log)-1])
	}
}

// replicate sends the leader's log to a replica that receives, and the leader acknowledges all of it.
func (w *proofWorld) replicate() {
	from, to := w.leader(), w.any()
	if from == nil || to == from || to.held > 0 {
		return
	}
	to.log, to.term = slices.Clone(from.log), from.term
	w.acked = slices.Clone(from.log)
	w.note("%s receives %v", to.Name, to.log[len(to.log)-1])
}

// restartServer ends the pause of a replica.
func (w *proofWorld) restartServer() {
	s := w.any()
	s.Incarnation++
	s.held, s.resuming = 0, false
	w.note("%s restarts", s.Name)
}

// resumeLate carries out a resumption of an earlier change.
func (w *proofWorld) resumeLate() {
	s := w.any()
	if s.resuming {
		s.held, s.resuming = 0, false
		w.note("%s resumes late", s.Name)
	}
}

// promote makes a server lead the next term, which ends all pauses.
func (w *proofWorld) promote(s *proofServer) {
	if s.leads {
		return
	}
	w.newest++
	for _, other := range w.servers {
		other.leads, other.held = false, 0
	}
	s.leads, s.term = true, w.newest
	w.note("%s leads %d", s.Name, s.term)
}

// send sends a command, which is carried out at once and answered later.
func (w *proofWorld) send(s *proofServer, kind currantloom.CommandKind) {
	c := currantloom.Command{Kind: kind, Term: w.proof.term}
	switch {
	case kind == currantloom.CommandStepDown && s.leads && c.Term > s.term:
		s.leads, w.halted = false, true
	case kind == currantloom.CommandPauseReplication && !s.leads && c.Term > w.newest:
		s.held, w.halted = c.Term, true
	}
	last := s.log[len(s.log)-1]
	w.answers = append(w.answers, proofAnswer{s, s.Incarnation, c, currantloom.ReplicationStatus{
		Primary: s.leads, Term: s.term, Received: currantloom.NewLogPosition(last.term, last.index), Held: s.held,
	}})
	w.note("%s gets %s %d: leads %t, term %d, ends at %v, held %d", s.Name, kind, c.Term, s.leads, s.term, last, s.held)
}

// deliver takes one of the answers. That of an earlier process was lost with its connection.
func (w *proofWorld) deliver() {
	if len(w.answers) == 0 {
		return
	}
	i := w.IntN(len(w.answers))
	a := w.answers[i]
	w.answers = slices.Delete(w.answers, i, i+1)
	if a.process == a.server.Incarnation {
		outcome := w.proof.observe(a.server.Upstream, a.command, a.status, 0)
		w.note("answer of %s to %d: %s", a.server.Name, a.command.Term, outcome)
	}
}

func (w *proofWorld) promotionCase() promotionCase {
	c := promotionCase{now: time.Hour, primary: w.target.Upstream}
	for _, s := range w.servers {
		if s != w.target {
			c.others = append(c.others, s.Upstream)
		}
		if s.doubtful == s.Incarnation {
			c.doubtful = append(c.doubtful, s.Name)
		}
	}
	return c
}

// lost returns an acknowledged commit that the server lacks.
func (w *proofWorld) lost(s *proofServer) (proofEntry, bool) {
	for _, e := range w.acked {
		if !slices.Contains(s.log, e) {
			return e, true
		}
	}
	return proofEntry{}, false
}

// beforeChange draws what happened earlier: commits, and promotions that some replicas have not heard of.
func (w *proofWorld) beforeChange() {
	for range w.IntN(30) {
		switch w.IntN(6) {
		case 0, 1:
			w.commit()
		case 2, 3:
			w.replicate()
		case 4:
			w.restartServer()
		case 5:
			if s := w.any(); s.held == 0 && len(s.log) > 0 {
				if _, lost := w.lost(s); !lost {
					w.promote(s)
				}
			}
		}
	}
	if s := w.leader(); s != nil {
		w.target = s
	}
	for _, s := range w.servers {
		if w.IntN(6) == 0 {
			s.resuming, s.doubtful = true, s.Incarnation
			w.note("%s has a resumption under way", s.Name)
		}
	}
	w.proof.restart(currantloom.Term(w.IntN(int(w.newest) + 1)))
	w.note("%s is to be replaced; commands of term %d", w.target.Name, w.proof.term)
}

// step draws an event of the change. Until one of its commands has taken effect, the request of an earlier holder may.
func (w *proofWorld) step() {
	switch w.IntN(12) {
	case 0:
		w.commit()
	case 1:
		w.replicate()
	case 2, 3:
		if s := w.any(); s != w.target {
			w.send(s, currantloom.CommandPauseReplication)
		}
	case 4:
		w.send(w.target, currantloom.CommandStepDown)
	case 9:
		w.send(w.target, currantloom.CommandReplicationStatus)
	case 10:
		w.send(w.target, currantloom.CommandPauseReplication)
	case 11:
		w.resumeLate()
	case 5, 6, 7:
		w.deliver()
	case 8:
		if s := w.any(); !w.halted && w.IntN(4) == 0 {
			if _, lost := w.lost(s); !lost {
				w.promote(s)
			}
		} else if w.IntN(4) == 0 {
			w.restartServer()
		}
	}
}

// untilEffect draws what happens until the promotion takes effect. After the primary has stepped down, anything may:
// replicas restart and new ones start. Otherwise the replicas stay paused, which the node has to see to.
func (w *proofWorld) untilEffect(basis promotionBasis) {
	for range w.IntN(12) {
		switch w.IntN(5) {
		case 0:
			w.commit()
		case 1:
			w.replicate()
		case 4:
			w.resumeLate()
		case 2:
			if basis == basisSteppedDown {
				w.restartServer()
			}
		case 3:
			if basis == basisSteppedDown {
				w.join()
			}
		}
	}
}

// TestJudgement guards against a failover that gives up because a replica lacks a commit while others have not
// reported, and against one that waits for a report that it does not need.
func TestJudgement(t *testing.T) {
	upstream := func(name currantloom.UpstreamName) currantloom.Upstream {
		return currantloom.Upstream{Name: name, Incarnation: 1}
	}
	position := func(index currantloom.LogIndex) currantloom.LogPosition { return currantloom.NewLogPosition(1, index) }
	for _, c := range []struct {
		name                         string
		primary, candidate, other    currantloom.LogIndex
		acked                        currantloom.LogIndex
		steppedDown, reported, fresh bool
		want                         promotionBasis
	}{
		{"all paused", 0, 7, 7, 7, false, true, false, basisAllPaused},
		{"another has not reported", 0, 7, 0, 7, false, false, false, basisMissingReport},
		{"lacks a commit, another has not reported", 0, 6, 0, 7, false, false, false, basisMissingReport},
		{"lacks a commit", 0, 6, 6, 7, false, true, false, basisLacksCommit},
		{"another is longer", 0, 6, 7, 6, false, true, false, basisLongerLog},
		{"the primary stepped down", 7, 7, 0, 7, true, false, false, basisSteppedDown},
		{"the primary's last entry is nowhere", 8, 7, 7, 7, true, true, false, basisAllPaused},
		{"the primary's last entry may be elsewhere", 8, 7, 7, 7, true, true, true, basisNewcomers},
	} {
		t.Run(c.name, func(t *testing.T) {
			var p promotionProof
			p.restart(1)
			now := newcomerTime
			if c.fresh {
				now--
			}
			pause := currantloom.Command{Kind: currantloom.CommandPauseReplication, Term: 2}
			report := func(name currantloom.UpstreamName, index currantloom.LogIndex) {
				status := currantloom.ReplicationStatus{Term: 1, Held: 2, Received: position(index)}
				p.observe(upstream(name), pause, status, 0)
			}
			if c.steppedDown {
				status := currantloom.Command{Kind: currantloom.CommandReplicationStatus}
				p.observe(upstream("a"), status, currantloom.ReplicationStatus{Primary: true, Term: 1}, 0)
				report("a", c.primary)
			}
			report("b", c.candidate)
			if c.reported {
				report("c", c.other)
			}
			got := p.judge(promotionCase{
				now: now, primary: upstream("a"), acked: position(c.acked),
				others: []currantloom.Upstream{upstream("b"), upstream("c")},
			}, upstream("b"))
			if got != c.want {
				t.Errorf("%q, want %q", got, c.want)
			}
		})
	}
}

// TestPromotionProof guards against a promotion that loses an acknowledged commit although the evidence says that it is
// safe, over drawn orders of commits, commands, late answers, late resumptions, restarts, unknown terms and new
// replicas.
func TestPromotionProof(t *testing.T) {
	const seeds, steps = 30000, 60
	safe := make(map[promotionBasis]int)
	for seed := range uint64(seeds) {
		w := newProofWorld(seed)
		w.beforeChange()
		for range steps {
			w.step()
			s := w.any()
			basis := w.proof.judge(w.promotionCase(), s.Upstream)
			if !basis.isSafe() {
				continue
			}
			safe[basis]++
			w.note("promotion of %s: %s", s.Name, basis)
			w.untilEffect(basis)
			if e, lost := w.lost(s); lost {
				t.Fatalf("seed %d: %s is promoted (%s) without the acknowledged commit %v:\n%v", seed, s.Name, basis, e, w.trace)
			}
			break
		}
	}
	if safe[basisSteppedDown] < seeds/10 || safe[basisAllPaused] < seeds/10 {
		t.Errorf("promotions that were judged safe: %v, too few to say anything", safe)
	}
}

// TestStepDownOfNextLeader guards against a primary that is only paused because another one, or its own earlier
// process, has stepped down before: a primary ignores a pause.
func TestStepDownOfNextLeader(t *testing.T) {
	for _, next := range []currantloom.UpstreamName{"a", "b"} {
		t.Run(string(next), func(t *testing.T) {
			var p promotionProof
			p.restart(1)
			answer := func(name currantloom.UpstreamName, primary bool) {
				u := currantloom.Upstream{Name: name, Incarnation: 1}
				p.observe(u, p.stepDownCommand(u), currantloom.ReplicationStatus{Term: 1, Primary: primary}, 0)
			}
			answer("a", true)
			answer("a", false)
			answer(next, true)
			if c := p.stepDownCommand(currantloom.Upstream{Name: next}); c.Kind != currantloom.CommandStepDown {
				t.Errorf("command %+v, want one to step down", c)
			}
		})
	}
}
