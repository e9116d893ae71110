package loomfleet

import (
	"testing"
	"time"

	"currantloom.example/currantloom"
)

// fixture runs the reducer of one node with events that the test makes.
type fixture struct {
	*testing.T
	state   *State
	now     time.Duration
	effects []Effect
}

const (
	testService  = currantloom.ServiceName("orders")
	testDatabase = currantloom.DatabaseName("castor")
	testSelf     = currantloom.VMName("vm-1")
)

// testStartup is the startup of a client of a deployment without organisations.
var testStartup = currantloom.Startup{Database: testDatabase}

var testLocation = currantloom.NewLocation("ost", "linz")

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{T: t, state: New(Config{
		Self: testSelf, Location: testLocation, Address: "10.0.0.1:1", Incarnation: 1,
	})}
	// The process has reached the store long ago.
	f.state.catalog.storeFirstReachedAt, f.state.catalog.servableSince = -time.Hour, -time.Hour
	return f
}

func (f *fixture) stamp() Stamp { return Stamp{Now: f.now, Random: 7} }

// reduce applies an event and stores its effects. The node may acknowledge commits until a change of primary blocks
// them.
func (f *fixture) reduce(e Event) []Effect {
	f.state.grantUnlessBlocked(f.now)
	f.effects = append([]Effect(nil), f.state.Reduce(e)...)
	return f.effects
}

// grantUnlessBlocked renews the commit leases, as the holder of the failover lease does, of the services whose commits
// were never blocked.
func (s *State) grantUnlessBlocked(now time.Duration) {
	for _, g := range s.catalog.sortedGroups {
		if g.lease.blockedAt == 0 {
			g.lease.renew(now, now, now+commitLeaseDuration)
		}
	}
}

// wait advances the time in ticks and stores all effects.
func (f *fixture) wait(d time.Duration) {
	var all []Effect
	for end := f.now + d; f.now < end; {
		f.now += TickInterval
		all = append(all, f.reduce(Tick{Stamp: f.stamp()})...)
	}
	f.effects = all
}

// configure applies a configuration that has one route with the read policy, and three upstreams of which the first is
// the primary.
func (f *fixture) configure(policy currantloom.ReadPolicy) {
	f.reduce(CatalogChanged{
		Stamp: f.stamp(), Snapshot: true, Position: testStorePosition(10), Configuration: testConfiguration(1, policy),
		Upstreams: []UpstreamChange{testUpstream("a", true), testUpstream("b", false), testUpstream("c", false)},
	})
}

// testStorePosition returns a position in the first era of the store.
func testStorePosition(revision uint64) currantloom.StorePosition {
	return currantloom.NewStorePosition(1, revision)
}

func testConfiguration(version uint64, policy currantloom.ReadPolicy) *currantloom.Configuration {
	return &currantloom.Configuration{
		Version: version, IdleTransactionTimeout: 3 * time.Second,
		Routes: map[currantloom.DatabaseName]currantloom.Route{testDatabase: {
			Database: testDatabase, Service: testService, ReadPolicy: policy, MaxAge: 1500 * time.Millisecond,
			Timeout: 800 * time.Millisecond, LatencyTarget: time.Second, Priority: 1,
		}},
		Services: map[currantloom.ServiceName]currantloom.Service{testService: {
			Name: testService, Connections: 16, SyncReplicas: 1,
		}},
	}
}

func testUpstream(name currantloom.UpstreamName, primary bool) UpstreamChange {
	return UpstreamChange{Position: testStorePosition(5), Upstream: currantloom.Upstream{
		Name: name, Service: testService, Address: "10.0.1.1:1", Location: testLocation, Slots: 2, Primary: primary,
		Incarnation: 1,
	}}
}

func (f *fixture) openSession(id SessionID) {
	f.reduce(SessionOpened{Stamp: f.stamp(), Session: id, Startup: testStartup})
}

// repliesTo returns the replies to a session among the last effects.
func (f *fixture) repliesTo(id SessionID) []currantloom.Reply {
	var replies []currantloom.Reply
	for _, e := range f.effects {
		if a, ok := e.(ReplyToSession); ok && a.Session == id {
			replies = append(replies, a.Reply)
		}
	}
	return replies
}

// assertReply checks that the session got exactly one reply and that it has the code.
func (f *fixture) assertReply(id SessionID, code currantloom.ReplyCode) {
	f.Helper()
	replies := f.repliesTo(id)
	if len(replies) != 1 || replies[0].Code != code {
		f.Errorf("answers to session %d: %+v, want one with code %s", id, replies, code)
	}
}
