package loomfleet

import (
	"fmt"
	"math/rand/v2"
	"runtime/debug"
	"testing"
	"time"

	"currantloom.example/currantloom"
)

// arbitrary draws messages and replies whose fields are well-formed one by one but need not make sense, as from a
// faulty program.
type arbitrary struct{ *rand.Rand }

// pick returns one of the values.
func pick[T any](a arbitrary, values ...T) T { return values[a.IntN(len(values))] }

func (a arbitrary) vm() currantloom.VMName {
	return pick[currantloom.VMName](a, testSelf, "vm-2", "vm-3", "", "unknown")
}

func (a arbitrary) upstream() currantloom.UpstreamName {
	return pick[currantloom.UpstreamName](a, "a", "b", "c", "", "unknown")
}

func (a arbitrary) service() currantloom.ServiceName {
	return pick[currantloom.ServiceName](a, testService, "", "unknown")
}

func (a arbitrary) duration() time.Duration {
	return pick(a, 0, -1, 1, -time.Hour, time.Second, 1<<62, -1<<62, time.Duration(a.Int64N(int64(time.Second))))
}

func (a arbitrary) position() currantloom.LogPosition {
	return currantloom.NewLogPosition(
		pick(a, 0, 1, 2, currantloom.Term(a.Uint64())), pick(a, 0, 1, currantloom.LogIndex(a.Uint64())))
}

func (a arbitrary) key(f *fixture) currantloom.RequestKey {
	k := currantloom.RequestKey{VM: a.vm(), Number: a.Uint64N(40), Attempt: a.IntN(4)}
	for pending := range f.state.requests.calls {
		if a.IntN(3) > 0 {
			return pending
		}
	}
	for open := range f.state.owner.pinned {
		if a.IntN(2) > 0 {
			return open
		}
	}
	return k
}

func (a arbitrary) command() currantloom.Command {
	return currantloom.Command{
		Kind: currantloom.CommandKind(a.IntN(256)), ID: pick(a, "", "x"), Text: pick(a, "", "READ 1"),
		MinPosition: a.position(), Name: pick(a, "", "n"), Argument: pick(a, "", "v"), Writes: a.IntN(2) > 0,
		Commits: a.IntN(2) > 0, Term: pick(a, 0, 1, currantloom.Term(a.Uint64())),
	}
}

func (a arbitrary) reply() currantloom.Reply {
	r := currantloom.Reply{
		Signature: pick(a, "", "s"), Code: currantloom.ReplyCode(a.IntN(256)), Detail: pick(a, "", "d"),
		TransactionStatus: currantloom.TransactionStatus(a.IntN(256)), Position: a.position(),
	}
	if a.IntN(3) > 0 {
		r.TransactionStatus = pick(a, currantloom.TransactionIdle, currantloom.TransactionOpen)
		r.Code = currantloom.ReplyCode(a.IntN(15))
	}
	if a.IntN(2) > 0 {
		r.ReplicationStatus = &currantloom.ReplicationStatus{
			Primary: a.IntN(2) > 0, Term: currantloom.Term(a.Uint64()), Received: a.position(),
		}
	}
	return r
}

func (a arbitrary) sample() currantloom.PositionSample {
	return currantloom.PositionSample{
		Service: a.service(), Upstream: a.upstream(), Position: a.position(), Age: a.duration(),
	}
}

func (a arbitrary) health() currantloom.UpstreamHealth {
	return currantloom.UpstreamHealth{
		Name: a.upstream(), Service: a.service(), Reachable: a.IntN(2) > 0, ConnectFailed: a.IntN(2) > 0,
		CommitsStalled: a.IntN(2) > 0, OpenWriteTransactions: a.IntN(9) - 4, QueueWait: a.duration(),
		Load: a.load(), Position: a.position(),
	}
}

func (a arbitrary) load() currantloom.UpstreamLoad {
	return currantloom.UpstreamLoad{
		Jobs: pick(a, 0, -1, 1<<62, a.IntN(9)), FailurePercent: pick(a, 0, -1, 1<<62, 50), LostPercent: a.IntN(300) - 100,
		RunTimes: [currantloom.WorkKinds]time.Duration{a.duration(), a.duration()},
	}
}

func (a arbitrary) message(f *fixture) currantloom.Message {
	switch a.IntN(15) {
	case 0, 1:
		return currantloom.Call{
			Key: a.key(f), Service: a.service(), Upstream: a.upstream(), Mode: currantloom.CallMode(a.IntN(10)),
			Transaction: a.key(f), Command: a.command(), MinPosition: a.position(), MaxAge: a.duration(),
			AgePosition: a.position(),
			Settings:    []currantloom.SessionSetting{{Name: pick(a, "", "n"), Value: "v"}}, Timeout: a.duration(),
			QueueTimeout: a.duration(), LatencyBudget: a.duration(), Priority: a.IntN(9) - 4,
			IdleTransactionTimeout: a.duration(),
		}
	case 2, 3:
		return currantloom.CallResult{
			Key: a.key(f), Verdict: currantloom.Verdict(a.IntN(256)), Reply: a.reply(),
			Reason: currantloom.CallFailureReason(a.IntN(256)), QueueWait: a.duration(), Load: a.load(),
			Sample: a.sample(), RequiredPosition: a.position(), RequiredAge: a.duration(),
			Lagging: []currantloom.UpstreamPosition{a.upstreamPosition()},
		}
	case 4:
		return currantloom.CancelCall{Key: a.key(f)}
	case 5:
		return currantloom.RollbackTransaction{Transaction: a.key(f)}
	case 6:
		return currantloom.Ping{Number: a.Uint64(), Service: a.service()}
	case 7:
		return currantloom.Pong{
			Number: f.state.members.byName["vm-2"].pingNumber, ShuttingDown: a.IntN(9) == 0, StoreReachable: a.IntN(2) > 0,
			ConfigurationVersion: a.Uint64(), Upstreams: []currantloom.UpstreamHealth{a.health(), a.health()},
			Samples:        []currantloom.PositionSample{a.sample()},
			AckedPositions: []currantloom.AckedPosition{{Service: a.service(), Position: a.position()}},
			Drains:         []currantloom.UpstreamDrain{{Upstream: a.upstream(), Incarnation: 1, Age: a.duration()}},
			FailoverLease:  testStorePosition(a.Uint64()), Changing: []currantloom.ServiceName{a.service()},
			HoldsCommitLease: a.IntN(2) > 0,
			Announced: []currantloom.AnnouncedPromotion{{
				Service: a.service(), Upstream: a.upstream(), Age: a.duration(),
			}},
		}
	case 8:
		return currantloom.UpstreamFailed{Health: a.health()}
	case 9:
		return currantloom.BlockWrites{
			Service: a.service(), Duration: a.duration(), BlockCommits: a.IntN(2) > 0, Successor: a.upstream(),
			CommitTimeout: a.duration(), Number: a.Uint64(),
		}
	case 13:
		return currantloom.CommitsBlocked{Service: a.service(), Number: a.Uint64(), Acked: a.position()}
	case 10:
		return a.tokenRequest()
	case 11:
		return a.tokenAnswer()
	case 12:
		return currantloom.ReplicaPositions{Positions: []currantloom.UpstreamPosition{a.upstreamPosition()}}
	default:
		return currantloom.PrimaryChanged{
			Service: a.service(), Upstream: a.upstream(), Term: currantloom.Term(a.Uint64()), Log: a.position(),
		}
	}
}

func (a arbitrary) upstreamPosition() currantloom.UpstreamPosition {
	return currantloom.UpstreamPosition{Upstream: a.upstream(), Position: a.position(), Age: a.duration()}
}

// event draws an event. Connections and sessions are those that the node has.
func (a arbitrary) event(f *fixture) Event {
	stamp := f.stamp()
	switch a.IntN(8) {
	case 0, 1, 2:
		return MessageReceived{Stamp: stamp, From: a.vm(), Link: LinkID(a.IntN(3)), Message: a.message(f)}
	case 3, 4:
		for id := range f.state.owner.conns {
			if a.IntN(2) > 0 {
				return ReplyReceived{Stamp: stamp, Conn: id, Reply: a.reply()}
			}
			return ConnOpened{Stamp: stamp, Conn: id, Reply: a.reply(), Failed: a.IntN(4) == 0}
		}
		return Tick{Stamp: stamp}
	case 5:
		u := testUpstream(pick[currantloom.UpstreamName](a, "a", "b", "c", "d"), a.IntN(2) > 0)
		u.Position = testStorePosition(a.Uint64N(100))
		u.Upstream.Slots, u.Upstream.Incarnation = a.IntN(5)-2, int64(a.IntN(3))
		u.Deleted = a.IntN(4) == 0
		return CatalogChanged{
			Stamp: stamp, Position: u.Position, Snapshot: a.IntN(4) == 0, Upstreams: []UpstreamChange{u},
		}
	case 6:
		kind := currantloom.StatementKind(a.IntN(256))
		return StatementReceived{Stamp: stamp, Session: SessionID(a.IntN(4)), Statement: currantloom.Statement{
			Kind: kind, ID: fmt.Sprint(a.Uint64()), Text: "t", Name: pick(a, "", "n"), Argument: "x",
		}}
	default:
		startup := testStartup
		startup.Key = pick(a, currantloom.KeyDigest{}, currantloom.DigestKey("limited"))
		return SessionOpened{Stamp: stamp, Session: SessionID(a.IntN(4)), Startup: startup}
	}
}

// respond answers the effects as the platform and the upstreams would, or one in four times arbitrarily.
func (a arbitrary) respond(f *fixture, effects []Effect) {
	for _, e := range effects {
		stamp := f.stamp()
		switch e := e.(type) {
		case OpenConn:
			reply := currantloom.Reply{
				TransactionStatus: currantloom.TransactionIdle, Position: currantloom.NewLogPosition(1, 5),
			}
			f.reduce(ConnOpened{Stamp: stamp, Conn: e.Conn, Reply: pick(a, reply, reply, reply, a.reply())})
		case SendCommands:
			for _, sane := range saneReplies(e.Commands) {
				f.reduce(ReplyReceived{Stamp: stamp, Conn: e.Conn, Reply: pick(a, sane, sane, sane, a.reply())})
			}
		case StoreCommit:
			position := currantloom.NewStorePosition(1, 100+uint64(e.Call))
			f.reduce(StoreAnswered{Stamp: stamp, Call: e.Call, Result: StoreSucceeded, Position: position})
		case StoreRenewLease:
			f.reduce(StoreAnswered{Stamp: stamp, Call: e.Call, Result: StoreResult(a.IntN(2))})
		case Promote:
			f.reduce(PromoteAnswered{
				Stamp: stamp, Service: e.Service, PromotionID: e.PromotionID, Result: currantloom.PromoteResult(a.IntN(256)),
			})
		}
	}
}

// saneReplies returns the replies of an upstream that carries out commands that were sent together.
func saneReplies(commands []currantloom.Command) []currantloom.Reply {
	var replies []currantloom.Reply
	for i, c := range commands {
		reply := saneReply(c)
		if i+1 < len(commands) && commands[i+1].Kind == currantloom.CommandRollback {
			reply.TransactionStatus = currantloom.TransactionOpen
		}
		replies = append(replies, reply)
	}
	return replies
}

// saneReply returns the reply to a command that leaves no transaction open unless it opens one.
func saneReply(c currantloom.Command) currantloom.Reply {
	r := currantloom.Reply{
		TransactionStatus: currantloom.TransactionIdle, Position: currantloom.NewLogPosition(1, 5),
	}
	switch c.Kind {
	case currantloom.CommandStatement, currantloom.CommandExecute:
		r.Signature = "s"
	case currantloom.CommandBegin, currantloom.CommandBeginRead:
		r.TransactionStatus = currantloom.TransactionOpen
	case currantloom.CommandReplicationStatus, currantloom.CommandPauseReplication,
		currantloom.CommandResumeReplication, currantloom.CommandStepDown:
		r.ReplicationStatus = &currantloom.ReplicationStatus{Term: 1, Received: currantloom.NewLogPosition(1, 5)}
	}
	return r
}

// TestArbitraryEvents guards against a message or a reply that makes no sense and takes the whole process down.
func TestArbitraryEvents(t *testing.T) {
	const (
		seeds  = 200
		events = 300
	)
	for seed := range uint64(seeds) {
		f := newFixture(t)
		f.now = time.Second
		a := arbitrary{rand.New(rand.NewPCG(seed, 1))}
		f.state.config.BalanceReads = seed%2 == 1
		f.configure(pick(a, currantloom.ReadLatest, currantloom.ReadBoundedStaleness, currantloom.ReadYourWrites))
		if a.IntN(2) > 0 {
			f.configureLimit(2, currantloom.RateLimit{PerSecond: 5, Burst: 5})
		}
		f.addMember("vm-2")
		f.holdLease()
		for i := range events {
			f.now += time.Duration(a.Int64N(int64(50 * time.Millisecond)))
			e := a.event(f)
			func() {
				defer func() {
					if r := recover(); r != nil {
						t.Fatalf("seed %d, event %d: %+v: %v\n%s", seed, i, e, r, debug.Stack())
					}
				}()
				a.respond(f, f.reduce(e))
				a.respond(f, f.reduce(Tick{Stamp: f.stamp()}))
			}()
		}
	}
}
