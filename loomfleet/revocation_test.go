package loomfleet

import (
	"testing"
	"time"

	"currantloom.example/currantloom"
)

// sessionStates are states of a session when its key is withdrawn or moved. Each is left by arrange; finish, if any,
// answers the statement that is at the upstream. The other fields are what must happen.
var sessionStates = []struct {
	name            string
	arrange, finish func(*revocationFixture)
	// replies are the answers from the change on. withdrawn is the notice if the key was withdrawn.
	replies   []currantloom.ReplyCode
	withdrawn currantloom.ReplyCode
	// next is the answer to a further read if the key moved; ReplyOK means that it is sent to the upstream.
	next currantloom.ReplyCode
}{
	{
		name: "idle", arrange: func(*revocationFixture) {}, withdrawn: currantloom.ReplyNotAuthorised,
	},
	{
		name:      "transaction without a statement",
		arrange:   func(f *revocationFixture) { f.send("b", currantloom.StatementBegin) },
		withdrawn: currantloom.ReplyAborted, next: currantloom.ReplyAborted,
	},
	{
		name: "open transaction", arrange: arrangeTransaction, withdrawn: currantloom.ReplyAborted,
		next: currantloom.ReplyAborted,
	},
	{
		name: "failed transaction",
		arrange: func(f *revocationFixture) {
			f.send("b", currantloom.StatementBeginRead)
			f.send("w", currantloom.StatementWrite)
		},
		withdrawn: currantloom.ReplyAborted, next: currantloom.ReplyMalformed,
	},
	{
		name: "queued write",
		arrange: func(f *revocationFixture) {
			f.occupy()
			f.send("w", currantloom.StatementWrite)
		},
		replies: []currantloom.ReplyCode{currantloom.ReplyAborted}, withdrawn: currantloom.ReplyNotAuthorised,
	},
	{
		name: "parked read",
		arrange: func(f *revocationFixture) {
			f.state.catalog.upstreams["a"].avoidOwnerUntil[testSelf] = f.now + time.Second
			f.send("r", currantloom.StatementRead)
		},
		replies: []currantloom.ReplyCode{currantloom.ReplyAborted}, withdrawn: currantloom.ReplyNotAuthorised,
	},
	{
		name:      "write at the upstream",
		arrange:   func(f *revocationFixture) { f.send("w", currantloom.StatementWrite) },
		finish:    func(f *revocationFixture) { f.answerStatement(currantloom.TransactionIdle) },
		replies:   []currantloom.ReplyCode{currantloom.ReplyOK},
		withdrawn: currantloom.ReplyNotAuthorised,
	},
	{
		name:      "read at the upstream",
		arrange:   func(f *revocationFixture) { f.send("r", currantloom.StatementRead) },
		finish:    func(f *revocationFixture) { f.answerStatement(currantloom.TransactionOpen) },
		replies:   []currantloom.ReplyCode{currantloom.ReplyOK},
		withdrawn: currantloom.ReplyNotAuthorised,
	},
	{
		name:    "read whose connection is lost",
		arrange: func(f *revocationFixture) { f.send("r", currantloom.StatementRead) },
		finish:  (*revocationFixture).loseStatement,
		replies: []currantloom.ReplyCode{currantloom.ReplyAborted}, withdrawn: currantloom.ReplyNotAuthorised,
	},
	{
		name:    "write whose connection is lost",
		arrange: func(f *revocationFixture) { f.send("w", currantloom.StatementWrite) },
		finish:  (*revocationFixture).loseStatement,
		replies: []currantloom.ReplyCode{currantloom.ReplyInDoubt}, withdrawn: currantloom.ReplyNotAuthorised,
	},
	{
		name: "first statement of a transaction at the upstream",
		arrange: func(f *revocationFixture) {
			f.send("b", currantloom.StatementBegin)
			f.send("w", currantloom.StatementWrite)
		},
		replies:   []currantloom.ReplyCode{currantloom.ReplyAborted},
		withdrawn: currantloom.ReplyAborted, next: currantloom.ReplyAborted,
	},
	{
		name: "statement of a transaction at the upstream",
		arrange: func(f *revocationFixture) {
			arrangeTransaction(f)
			f.send("w2", currantloom.StatementWrite)
		},
		replies:   []currantloom.ReplyCode{currantloom.ReplyAborted},
		withdrawn: currantloom.ReplyAborted, next: currantloom.ReplyAborted,
	},
	{
		name: "queued statement of a transaction",
		arrange: func(f *revocationFixture) {
			arrangeTransaction(f)
			f.occupy()
			f.send("w2", currantloom.StatementWrite)
		},
		replies:   []currantloom.ReplyCode{currantloom.ReplyAborted},
		withdrawn: currantloom.ReplyAborted, next: currantloom.ReplyAborted,
	},
	{
		name: "queued commit",
		arrange: func(f *revocationFixture) {
			arrangeTransaction(f)
			f.occupy()
			f.send("c", currantloom.StatementCommit)
		},
		replies: []currantloom.ReplyCode{currantloom.ReplyAborted}, withdrawn: currantloom.ReplyNotAuthorised,
	},
	{
		name: "commit at the upstream",
		arrange: func(f *revocationFixture) {
			arrangeTransaction(f)
			f.send("c", currantloom.StatementCommit)
		},
		finish:  func(f *revocationFixture) { f.answerStatement(currantloom.TransactionIdle) },
		replies: []currantloom.ReplyCode{currantloom.ReplyOK}, withdrawn: currantloom.ReplyNotAuthorised,
	},
	{
		name: "commit whose connection is lost",
		arrange: func(f *revocationFixture) {
			arrangeTransaction(f)
			f.send("c", currantloom.StatementCommit)
		},
		finish:  (*revocationFixture).loseStatement,
		replies: []currantloom.ReplyCode{currantloom.ReplyInDoubt}, withdrawn: currantloom.ReplyNotAuthorised,
	},
}

// arrangeTransaction opens a transaction with one write.
func arrangeTransaction(f *revocationFixture) {
	f.send("b", currantloom.StatementBegin)
	f.send("w", currantloom.StatementWrite)
	f.answerStatement(currantloom.TransactionOpen)
}

// TestWithdrawnKey guards against a session that goes on with a withdrawn key, a statement without an answer or with
// two, and an answer that says that nothing is kept although a commit was sent.
func TestWithdrawnKey(t *testing.T) {
	for _, c := range sessionStates {
		t.Run(c.name, func(t *testing.T) {
			f := newRevocationFixture(t, false)
			c.arrange(f)
			f.configureNext(organisationConfiguration(2, false, nil))
			if c.finish != nil {
				f.assertOutcome(currantloom.ReplyOK)
				c.finish(f)
			}
			f.assertOutcome(c.withdrawn, c.replies...)
			f.assertNothingOpen()
		})
	}
}

// TestMovedKey guards against a session that ends because its key moved, and against an operation that continues for
// the former organisation.
func TestMovedKey(t *testing.T) {
	for _, c := range sessionStates {
		t.Run(c.name, func(t *testing.T) {
			f := newRevocationFixture(t, false)
			c.arrange(f)
			f.configureNext(organisationConfiguration(2, false, map[string]string{testKey: "other"}))
			if c.finish != nil {
				c.finish(f)
			}
			f.assertOutcome(currantloom.ReplyOK, c.replies...)
			f.assertNothingOpen()
			f.all, f.waiting = nil, nil
			delete(f.state.catalog.upstreams["a"].avoidOwnerUntil, testSelf)
			f.send("next", currantloom.StatementRead)
			if c.next != currantloom.ReplyOK {
				f.assertOutcome(currantloom.ReplyOK, c.next)
				f.send("end", currantloom.StatementRollback)
				f.assertOutcome(currantloom.ReplyOK, c.next, currantloom.ReplyOK)
				return
			}
			if r := f.state.sessions[1].request; r == nil || r.organisation != "other" {
				t.Errorf("the next statement runs as %+v, want it for the new organisation", r)
			}
		})
	}
}

// TestRevocationRules guards against rules of keys and routes that are mixed up: which change ends the session, which
// one only its transaction, and which one neither.
func TestRevocationRules(t *testing.T) {
	held := map[string]string{testKey: "acme"}
	noOrganisations := testConfiguration(2, currantloom.ReadLatest)
	noRoutes := organisationConfiguration(2, false, nil)
	noRoutes.Routes = nil
	for _, c := range []struct {
		name      string
		public    bool
		next      *currantloom.Configuration
		notice    currantloom.ReplyCode
		statement currantloom.ReplyCode
	}{
		{"nothing changes", false, organisationConfiguration(2, false, held), 0, 0},
		{"organisation removed", false, organisationConfiguration(2, false, nil), currantloom.ReplyAborted, 0},
		{"key of two organisations", false, doubledConfiguration(2), currantloom.ReplyAborted, 0},
		{"route becomes public, key held", false, organisationConfiguration(2, true, held), 0, 0},
		{"route becomes public, key withdrawn", false, organisationConfiguration(2, true, nil), 0, currantloom.ReplyAborted},
		{"public route, key withdrawn", true, organisationConfiguration(2, true, nil), 0, 0},
		{"route becomes private, key held", true, organisationConfiguration(2, false, held), 0, currantloom.ReplyAborted},
		{"route becomes private, no key", true, organisationConfiguration(2, false, nil), currantloom.ReplyAborted, 0},
		{"no organisations any more", false, noOrganisations, 0, 0},
		{"route removed, key withdrawn", false, noRoutes, 0, currantloom.ReplyAborted},
		{"older configuration", false, organisationConfiguration(0, false, nil), 0, 0},
		{"same version", false, organisationConfiguration(1, false, nil), 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newRevocationFixture(t, c.public)
			arrangeTransaction(f)
			f.configureNext(c.next)
			f.assertOutcome(c.notice)
			if c.notice != currantloom.ReplyOK {
				return
			}
			f.send("w2", currantloom.StatementWrite)
			if c.statement == currantloom.ReplyOK {
				f.answerStatement(currantloom.TransactionOpen)
			}
			f.assertOutcome(c.notice, c.statement)
		})
	}
}

// doubledConfiguration returns a configuration in which two organisations list the key.
func doubledConfiguration(version uint64) *currantloom.Configuration {
	c := organisationConfiguration(version, false, map[string]string{testKey: "acme"})
	c.Organisations.Add(currantloom.Organisation{Name: "other"}, currantloom.DigestKey(testKey))
	return c
}

// TestKeyReturnsBeforeAnswer guards against a session that is closed although its key is valid again when the statement
// that was at the upstream is answered.
func TestKeyReturnsBeforeAnswer(t *testing.T) {
	f := newRevocationFixture(t, false)
	f.send("w", currantloom.StatementWrite)
	f.configureNext(organisationConfiguration(2, false, nil))
	f.apply(CatalogChanged{
		Stamp: f.stamp(), Configuration: organisationConfiguration(3, false, map[string]string{testKey: "acme"}),
	})
	f.answerStatement(currantloom.TransactionIdle)
	f.assertOutcome(currantloom.ReplyOK, currantloom.ReplyOK)
}

// TestReasonOfRevocation guards against a log line that names another cause for the end of a session than the change of
// the configuration, also if further configurations arrive before the last answer.
func TestReasonOfRevocation(t *testing.T) {
	noRoutes := organisationConfiguration(2, false, nil)
	noRoutes.Routes = nil
	for _, c := range []struct {
		name   string
		public bool
		next   []*currantloom.Configuration
		want   string
	}{
		{"withdrawn", false, []*currantloom.Configuration{organisationConfiguration(2, false, nil)}, reasonKeyWithdrawn},
		{"withdrawn, then another change", false, []*currantloom.Configuration{
			organisationConfiguration(2, false, nil), organisationConfiguration(3, false, nil),
		}, reasonKeyWithdrawn},
		{"moved, then withdrawn", false, []*currantloom.Configuration{
			organisationConfiguration(2, false, map[string]string{testKey: "other"}),
			organisationConfiguration(3, false, nil),
		}, reasonKeyWithdrawn},
		{"withdrawn, route removed", false, []*currantloom.Configuration{noRoutes}, reasonKeyWithdrawn},
		{"route private", true, []*currantloom.Configuration{
			organisationConfiguration(2, false, map[string]string{testKey: "acme"}),
		}, reasonRoutePrivate},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newRevocationFixture(t, c.public)
			f.send("w", currantloom.StatementWrite)
			for _, next := range c.next {
				f.apply(CatalogChanged{Stamp: f.stamp(), Configuration: next})
			}
			sn := f.state.sessions[1]
			if sn.revocation.reason != c.want {
				t.Errorf("reason %q, want %q", sn.revocation.reason, c.want)
			}
		})
	}
}

// TestStatementOfRevokedSession guards against a statement without an answer, or with one that invites a retry, that
// the process had read when its session ended.
func TestStatementOfRevokedSession(t *testing.T) {
	f := newRevocationFixture(t, false)
	f.configureNext(organisationConfiguration(2, false, nil))
	f.all = nil
	f.send("r", currantloom.StatementRead)
	f.effects = f.all
	f.assertReply(1, currantloom.ReplyNotAuthorised)
	f.apply(SessionClosed{Stamp: f.stamp(), Session: 1})
	if len(f.state.revoked) > 0 {
		t.Error("the notice of a closed session is kept")
	}
}

// TestWithdrawalAtOtherNode guards against an answer that says that a statement did not run although the owner of the
// upstream, another node, had sent it, and against a statement that is tried again after its key was withdrawn.
func TestWithdrawalAtOtherNode(t *testing.T) {
	for _, c := range []struct {
		name   string
		result currantloom.CallResult
		want   currantloom.ReplyCode
	}{
		{"was queued", currantloom.CallResult{
			Verdict: currantloom.NotRun, Reason: currantloom.ReasonCancelled,
		}, currantloom.ReplyAborted},
		{"refused", currantloom.CallResult{
			Verdict: currantloom.NotRun, Reason: currantloom.ReasonQueueWait,
		}, currantloom.ReplyAborted},
		{"ran", currantloom.CallResult{Verdict: currantloom.Ran}, currantloom.ReplyOK},
		{"unknown", currantloom.CallResult{Reason: currantloom.ReasonLinkFailed}, currantloom.ReplyInDoubt},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newRevocationFixture(t, false)
			vm := currantloom.NewVM("vm-2", testLocation, "10.0.0.2:1", "", currantloom.VMLive)
			f.apply(CatalogChanged{Stamp: f.stamp(), Members: []MemberChange{{VM: vm, Position: testStorePosition(11)}}})
			f.state.members.byName["vm-2"].alive = true
			f.state.catalog.upstreams["a"].avoidOwnerUntil[testSelf] = f.now + time.Second
			f.send("w", currantloom.StatementWrite)
			f.configureNext(organisationConfiguration(2, false, nil))
			var cancels []currantloom.CancelCall
			for _, e := range f.all {
				if s, ok := e.(Send); ok && s.VM.Name() == "vm-2" {
					cancels = append(cancels, s.Message.(currantloom.CancelCall))
				}
			}
			if len(cancels) != 1 || !cancels[0].ReportResult {
				t.Fatalf("messages to the owner: %+v, want one that cancels the call", cancels)
			}
			f.assertOutcome(currantloom.ReplyOK)
			c.result.Key = cancels[0].Key
			f.apply(MessageReceived{Stamp: f.stamp(), From: "vm-2", Message: c.result})
			f.assertOutcome(currantloom.ReplyNotAuthorised, c.want)
			f.assertNothingOpen()
		})
	}
}

// TestWithdrawnCommitAwaitsSettings guards against a commit that is withdrawn while it waits for the answers to its
// settings and takes a place among the running jobs for ever: after a few of them the owner starts no job any more.
func TestWithdrawnCommitAwaitsSettings(t *testing.T) {
	f := newRevocationFixture(t, false)
	f.send("b", currantloom.StatementBegin)
	f.send("w", currantloom.StatementWrite)
	f.answerStatement(currantloom.TransactionOpen)
	f.holdsSettings = true
	f.apply(StatementReceived{Stamp: f.stamp(), Session: 1, Statement: currantloom.Statement{
		ID: "s", Kind: currantloom.StatementSet, Name: "zone", Argument: "linz",
	}})
	f.send("c", currantloom.StatementCommit)
	p := f.state.poolOf(f.state.catalog.upstreams["a"])
	if p.running != 1 {
		t.Fatalf("%d jobs run, want the commit that waits for its settings", p.running)
	}
	f.configureNext(organisationConfiguration(2, false, nil))
	if p.running != 0 {
		t.Errorf("%d jobs run after the commit was withdrawn, want none", p.running)
	}
	f.assertNothingOpen()
}

// BenchmarkRevocation measures a configuration that withdraws the key of one of 4,000 sessions.
func BenchmarkRevocation(b *testing.B) {
	s := New(Config{Self: testSelf, Location: testLocation})
	c := organisationConfiguration(1, false, map[string]string{testKey: "acme", testOther: "other"})
	s.Reduce(CatalogChanged{Configuration: c})
	for i := range SessionID(4000) {
		key := testKey
		if i == 2000 {
			key = testOther
		}
		s.Reduce(SessionOpened{Session: i, Startup: currantloom.Startup{
			Database: testDatabase, Key: currantloom.DigestKey(key),
		}})
	}
	next := organisationConfiguration(2, false, map[string]string{testKey: "acme"})
	for b.Loop() {
		next.Version++
		s.Reduce(CatalogChanged{Configuration: next})
	}
}
