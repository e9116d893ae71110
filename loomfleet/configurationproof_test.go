package loomfleet

import (
	"testing"
	"time"

	"currantloom.example/currantloom"
)

// newStrictFixture returns a node that needs a proof and has one, and whose store is silent from now on.
func newStrictFixture(t *testing.T, public bool) *revocationFixture {
	t.Helper()
	f := newRevocationFixture(t, public)
	f.state.config.StrictRevocation = true
	f.now = time.Second
	f.prove(0, false)
	return f
}

// prove reports an answer of the store.
func (f *revocationFixture) prove(age time.Duration, pushed bool) {
	f.apply(StoreWatchSucceeded{Stamp: f.stamp(), Age: age, Pushed: pushed})
}

// pass advances the time in ticks.
func (f *revocationFixture) pass(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.now += TickInterval
		f.apply(Tick{Stamp: f.stamp()})
	}
}

// assertProven checks whether a write outside a transaction is accepted.
func (f *revocationFixture) assertProven(want bool) {
	f.Helper()
	f.all, f.waiting = nil, nil
	f.send("w", currantloom.StatementWrite)
	if !want {
		f.assertOutcome(currantloom.ReplyOK, currantloom.ReplyNotAuthorised)
		return
	}
	f.answerStatement(currantloom.TransactionIdle)
	f.assertOutcome(currantloom.ReplyOK, currantloom.ReplyOK)
}

// TestStrictRevocation guards against a node that cannot know of a withdrawn key and still runs statements for it, and
// against one that refuses statements although the store answers, or after it answers again.
func TestStrictRevocation(t *testing.T) {
	const limit = defaultRevocationTimeout
	t.Run("refuses after the limit and accepts again", func(t *testing.T) {
		f := newStrictFixture(t, false)
		f.pass(limit)
		f.assertProven(true)
		f.all = nil
		f.pass(2 * TickInterval)
		f.assertLogged("unproven")
		f.assertProven(false)
		f.all = nil
		f.prove(0, false)
		f.assertLogged("proven")
		f.assertProven(true)
	})
	t.Run("not strict", func(t *testing.T) {
		f := newStrictFixture(t, false)
		f.state.config.StrictRevocation = false
		f.pass(2 * limit)
		f.assertProven(true)
	})
	t.Run("public route", func(t *testing.T) {
		f := newStrictFixture(t, true)
		f.pass(2 * limit)
		f.assertProven(true)
	})
	t.Run("age of the answer counts", func(t *testing.T) {
		f := newStrictFixture(t, false)
		f.pass(2 * limit)
		f.prove(limit+time.Second, false)
		f.assertProven(false)
	})
	t.Run("push", func(t *testing.T) {
		f := newStrictFixture(t, false)
		f.pass(2 * limit)
		f.prove(time.Second, true)
		f.assertProven(true)
	})
	t.Run("push that was received before a suspension", func(t *testing.T) {
		f := newStrictFixture(t, false)
		f.now += 2 * limit
		f.prove(0, true)
		f.assertProven(false)
		f.pass(time.Second)
		f.prove(0, true)
		f.assertProven(true)
	})
	t.Run("never proven", func(t *testing.T) {
		f := newStrictFixture(t, false)
		f.state.catalog.proof = configurationProof{}
		f.assertProven(false)
	})
	t.Run("copy of another node proves nothing", func(t *testing.T) {
		f := newStrictFixture(t, false)
		f.pass(2 * limit)
		f.apply(CatalogChanged{
			Stamp: f.stamp(), Configuration: organisationConfiguration(2, false, map[string]string{testKey: "acme"}),
		})
		f.assertProven(false)
	})
	t.Run("another node has a newer configuration", func(t *testing.T) {
		f := newStrictFixture(t, false)
		f.state.catalog.check = configurationCheck{started: true, done: true}
		for range 60 {
			f.pass(100 * time.Millisecond)
			f.prove(0, false)
			f.state.compareConfiguration(&member{configurationVersion: 2})
		}
		f.assertProven(false)
		f.configureNext(organisationConfiguration(2, false, map[string]string{testKey: "acme"}))
		f.assertProven(true)
	})
}

// assertLogged checks that exactly one log line on the configuration has the outcome.
func (f *revocationFixture) assertLogged(outcome string) {
	f.Helper()
	lines := 0
	for _, e := range f.all {
		if d, ok := e.(Decision); ok && d.Event == "configuration" && d.Outcome == outcome && d.Version > 0 {
			lines++
		}
	}
	if lines != 1 {
		f.Errorf("%d log lines with outcome %s, want 1", lines, outcome)
	}
}

// TestStrictRevocationInTransaction guards against a transaction that goes on without proof, and against an answer that
// leaves open whether anything of it is kept.
func TestStrictRevocationInTransaction(t *testing.T) {
	for name, kind := range map[string]currantloom.StatementKind{
		"write": currantloom.StatementWrite, "commit": currantloom.StatementCommit,
	} {
		t.Run(name, func(t *testing.T) {
			f := newStrictFixture(t, false)
			arrangeTransaction(f)
			f.state.config.RevocationTimeout = time.Second
			f.pass(2 * time.Second)
			f.all = nil
			f.send("s", kind)
			f.assertOutcome(currantloom.ReplyOK, currantloom.ReplyAborted)
			f.assertNothingOpen()
		})
	}
}

// TestLaterConfigurationOfOtherNode guards against a running node that keeps an older configuration although others
// report a newer one: it may have started while the store was back from a copy and the others did not answer.
func TestLaterConfigurationOfOtherNode(t *testing.T) {
	f := newRevocationFixture(t, false)
	f.state.catalog.check = configurationCheck{started: true, done: true}
	report := func(version uint64) (fetches int) {
		f.state.effects = nil
		f.state.compareConfiguration(&member{configurationVersion: version})
		for _, e := range f.state.effects {
			if _, ok := e.(FetchConfiguration); ok {
				fetches++
			}
		}
		return fetches
	}
	for _, c := range []struct {
		name    string
		after   time.Duration
		version uint64
		want    int
	}{
		{"same version", time.Second, 1, 0},
		{"newer one, the store may bring it", 0, 2, 0},
		{"still newer", catchUpTime, 2, 1},
		{"requested already", time.Second, 2, 0},
		{"request failed", refetchInterval, 2, 1},
	} {
		f.pass(c.after)
		if got := report(c.version); got != c.want {
			t.Errorf("%s: %d requests, want %d", c.name, got, c.want)
		}
	}
}
