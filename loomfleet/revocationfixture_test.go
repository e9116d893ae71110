package loomfleet

import (
	"testing"

	"currantloom.example/currantloom"
)

const (
	testKey   = "key-of-acme"
	testOther = "key-of-other"
)

// organisationConfiguration returns a configuration whose keys belong to the given organisations.
func organisationConfiguration(version uint64, public bool, holders map[string]string) *currantloom.Configuration {
	c := testConfiguration(version, currantloom.ReadLatest)
	c.Organisations = currantloom.NewOrganisations()
	for key, name := range holders {
		c.Organisations.Add(
			currantloom.Organisation{Name: currantloom.OrganisationName(name)}, currantloom.DigestKey(key))
	}
	r := c.Routes[testDatabase]
	r.Public = public
	c.Routes[testDatabase] = r
	return c
}

// revocationFixture is a fixture with an upstream that answers everything but the statements of clients.
type revocationFixture struct {
	*fixture
	// all holds the effects since configureNext, waiting the unanswered statements with the commands sent after them.
	all     []Effect
	waiting []SendCommands
	// holdsSettings says that the upstream does not answer settings.
	holdsSettings bool
}

// newRevocationFixture returns a node with a session 1 that has a valid key, on a public or a private route.
func newRevocationFixture(t *testing.T, public bool) *revocationFixture {
	t.Helper()
	f := &revocationFixture{fixture: newFixture(t)}
	f.apply(CatalogChanged{
		Stamp: f.stamp(), Snapshot: true, Position: testStorePosition(10),
		Configuration: organisationConfiguration(1, public, map[string]string{testKey: "acme"}),
		Upstreams:     []UpstreamChange{testUpstream("a", true)},
	})
	f.apply(SessionOpened{
		Stamp: f.stamp(), Session: 1,
		Startup: currantloom.Startup{Database: testDatabase, Key: currantloom.DigestKey(testKey)},
	})
	return f
}

// apply reduces an event, and the upstream's answers to the effects.
func (f *revocationFixture) apply(e Event) {
	for _, effect := range f.reduce(e) {
		f.all = append(f.all, effect)
		switch effect := effect.(type) {
		case OpenConn:
			f.apply(ConnOpened{Stamp: f.stamp(), Conn: effect.Conn, Reply: currantloom.Reply{TransactionStatus: 'I'}})
		case SendCommands:
			f.answer(effect)
		}
	}
}

func (f *revocationFixture) answer(e SendCommands) {
	for i, c := range e.Commands {
		if f.holdsSettings && c.Kind == currantloom.CommandSet {
			return
		}
		switch c.Kind {
		case currantloom.CommandStatement, currantloom.CommandExecute:
			f.waiting = append(f.waiting, SendCommands{Conn: e.Conn, Commands: e.Commands[i+1:]})
			return
		case currantloom.CommandBegin, currantloom.CommandBeginRead:
			f.reply(e.Conn, currantloom.Reply{TransactionStatus: currantloom.TransactionOpen})
		default:
			f.reply(e.Conn, currantloom.Reply{TransactionStatus: currantloom.TransactionIdle})
		}
	}
}

func (f *revocationFixture) reply(c ConnID, reply currantloom.Reply) {
	f.apply(ReplyReceived{Stamp: f.stamp(), Conn: c, Reply: reply})
}

// answerStatement answers the oldest statement at the upstream.
func (f *revocationFixture) answerStatement(status currantloom.TransactionStatus) {
	f.Helper()
	if len(f.waiting) == 0 {
		f.Fatal("no statement was sent to the upstream")
	}
	held := f.waiting[0]
	f.waiting = f.waiting[1:]
	f.reply(held.Conn, currantloom.Reply{Signature: "run", TransactionStatus: status})
	f.answer(held)
}

// loseStatement ends the connection of the oldest statement at the upstream.
func (f *revocationFixture) loseStatement() {
	f.apply(ConnLost{Stamp: f.stamp(), Conn: f.waiting[0].Conn})
	f.waiting = nil
}

func (f *revocationFixture) send(id string, kind currantloom.StatementKind) {
	f.apply(StatementReceived{Stamp: f.stamp(), Session: 1, Statement: currantloom.Statement{
		ID: id, Kind: kind, Text: id,
	}})
}

// configureNext puts the next configuration into effect; only the effects since then are checked.
func (f *revocationFixture) configureNext(c *currantloom.Configuration) {
	f.all = nil
	f.apply(CatalogChanged{Stamp: f.stamp(), Configuration: c})
}

// assertOutcome checks the codes of the replies to session 1 and of the notice that closes it. A notice of ReplyOK
// means that the session is not closed.
func (f *revocationFixture) assertOutcome(notice currantloom.ReplyCode, replies ...currantloom.ReplyCode) {
	f.Helper()
	f.effects = f.all
	var got []currantloom.ReplyCode
	for _, r := range f.repliesTo(1) {
		got = append(got, r.Code)
	}
	if len(got) != len(replies) {
		f.Errorf("replies %v, want %v", got, replies)
	}
	for i := range min(len(got), len(replies)) {
		if got[i] != replies[i] {
			f.Errorf("reply %d is %s, want %s", i, got[i], replies[i])
		}
	}
	var closed []currantloom.ReplyCode
	for _, e := range f.all {
		if c, ok := e.(CloseSession); ok {
			closed = append(closed, c.Reply.Code)
		}
	}
	switch {
	case notice == currantloom.ReplyOK && len(closed) > 0:
		f.Errorf("the session was closed with %v", closed)
	case notice != currantloom.ReplyOK && (len(closed) != 1 || closed[0] != notice):
		f.Errorf("the session was closed with %v, want %s", closed, notice)
	}
	if _, open := f.state.sessions[1]; open != (notice == currantloom.ReplyOK) {
		f.Errorf("the session is open: %t", open)
	}
}

// assertNothingOpen checks that no transaction and no job is left at the owner.
func (f *revocationFixture) assertNothingOpen() {
	f.Helper()
	if o := &f.state.owner; len(o.pinned)+len(o.jobs)+len(f.state.requests.calls) > 0 {
		f.Errorf("left: %d transactions, %d jobs, %d calls", len(o.pinned), len(o.jobs), len(f.state.requests.calls))
	}
}

// occupy lets statements of other sessions take all slots of the upstream, so that the next one is queued.
func (f *revocationFixture) occupy() {
	f.Helper()
	p := f.state.poolOf(f.state.catalog.upstreams["a"])
	p.running += 100
	f.Cleanup(func() { p.running -= 100 })
}
