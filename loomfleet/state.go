package loomfleet

import (
	"time"

	"currantloom.example/currantloom"
	"currantloom.example/currantloom/loomquota"
)

// TickInterval is the time between two Tick events.
const TickInterval = 20 * time.Millisecond

// processPauseThreshold is the time without events above which the process must have been paused.
const processPauseThreshold = 400 * time.Millisecond

// Config is the configuration of a node from its settings.
type Config struct {
	Self     currantloom.VMName
	Location currantloom.Location
	// Address is the "IP:port" at which the node accepts links.
	Address string
	// Incarnation distinguishes the runs of the process.
	Incarnation uint64
	// DrainTimeout is how long a draining upstream may get new work; zero means 5 s.
	DrainTimeout time.Duration
	// GracePeriod is the time from the request to shut down until the process is killed; zero means 6 s.
	GracePeriod time.Duration
	// MinLeaseTTL is the shortest lease that the store grants; zero means 1 s.
	MinLeaseTTL time.Duration
	// StrictRevocation makes the node refuse the statements of organisations while its newest proof that its
	// configuration is current is older than RevocationTimeout; zero means 5 s.
	StrictRevocation  bool
	RevocationTimeout time.Duration
	// BalanceReads selects the upstream of a read by its expected completion, as balance.go describes, instead of by the
	// last reported queue alone.
	BalanceReads bool
	// Disabled are the mechanisms that are switched off for a measurement.
	Disabled Mechanisms
	// Quota says how the limits of organisations are judged; zero means 5 s, 0.1 and 20.
	Quota currantloom.QuotaWindow
}

// State is the decision state of a node. Use New to create one.
type State struct {
	config    Config
	now       time.Duration
	random    uint64
	resumedAt time.Duration
	effects   []Effect
	// deferred holds calls between the parts of this node, so that none runs while another is in progress.
	deferred   []func()
	lastNumber uint64
	// storeEra is the newest era of the store that this node has heard of.
	storeEra currantloom.StoreEra

	catalog  catalog
	members  members
	sessions map[SessionID]*session
	// revoked holds the notices of sessions that a configuration ended, until their connections are closed.
	revoked map[SessionID]currantloom.Reply
	// startups are the sessions that wait for the first configuration or the first commit lease.
	startups    []startup
	requests    requests
	owner       ownerState
	coordinator coordinator
	// unreported are the commits that other nodes may have acknowledged and not reported, of any service.
	unreported unreportedCommits
	shutdown   shutdown
	limits     limits
	grant      heardGrant
}

// New returns the initial state of a node.
func New(c Config) *State {
	if c.DrainTimeout == 0 {
		c.DrainTimeout = 5 * time.Second
	}
	if c.GracePeriod == 0 {
		c.GracePeriod = 6 * time.Second
	}
	if c.MinLeaseTTL == 0 {
		c.MinLeaseTTL = time.Second
	}
	if c.RevocationTimeout == 0 {
		c.RevocationTimeout = defaultRevocationTimeout
	}
	if c.Quota == (currantloom.QuotaWindow{}) {
		c.Quota = currantloom.QuotaWindow{
			Length: loomquota.DefaultWindow, Overage: loomquota.DefaultOverage, Slack: loomquota.DefaultSlack,
		}
	}
	s := &State{
		config: c, sessions: make(map[SessionID]*session), revoked: make(map[SessionID]currantloom.Reply),
	}
	s.catalog.init()
	s.members.init()
	s.requests.init()
	s.owner.init()
	s.coordinator.init(s)
	return s
}

// Reduce applies an event and returns its effects in order. The slice is valid until the next call.
func (s *State) Reduce(e Event) []Effect {
	stamp := e.stamp()
	if stamp.Now-s.now > processPauseThreshold {
		s.recordProcessPause(stamp.Now)
	}
	s.now = max(s.now, stamp.Now)
	s.random = stamp.Random
	s.effects = s.effects[:0]
	s.apply(e)
	for len(s.deferred) > 0 {
		next := s.deferred[0]
		s.deferred = s.deferred[1:]
		next()
	}
	return s.effects
}

// recordProcessPause records that the process was paused, so what it knows may be out of date.
func (s *State) recordProcessPause(now time.Duration) {
	if s.now > 0 {
		s.log(Decision{Event: "resumed", Age: now - s.now})
		s.resumedAt = now
		s.resumeLimits()
	}
}

// runningTimeSince returns the time since then, or since the end of the last pause of the process if that is later.
func (s *State) runningTimeSince(then time.Duration) time.Duration {
	return s.now - max(then, s.resumedAt)
}

func (s *State) apply(e Event) {
	switch e := e.(type) {
	case Tick:
		s.tick()
	case CatalogChanged:
		s.handleCatalogChange(e)
	case StoreEraChanged:
		s.enterStoreEra(e.Era)
	case StoreWatchSucceeded:
		s.handleStoreWatchSucceeded(e)
	case StoreWatchFailed:
		s.handleStoreWatchFailed(e)
	case StoreAnswered:
		s.coordinator.handleStoreAnswer(s, e)
	case PromoteAnswered:
		s.handlePromoteAnswered(e)
	case SessionOpened:
		s.handleSessionOpened(e)
	case StatementReceived:
		s.handleStatement(e)
	case SessionClosed:
		s.handleSessionClosed(e.Session)
	case ConnOpened:
		s.handleConnOpened(e)
	case ReplyReceived:
		s.handleReply(e)
	case ConnLost:
		s.handleConnLost(e)
	case MessageReceived:
		s.handleMessage(e)
	case OutboundLinkFailed:
		s.handleOutboundLinkFailed(e)
	case InboundLinkClosed:
		s.handleInboundLinkClosed(e.Link)
		s.forgetLimiterLink(e.Link)
	case ShutdownRequested:
		s.handleShutdownRequested()
	}
}

func (s *State) handleMessage(e MessageReceived) {
	switch m := e.Message.(type) {
	case currantloom.Call:
		s.handleCall(e.Link, m)
	case currantloom.CallResult:
		s.members.recordHeard(e.From, s.now)
		s.handleCallResult(m)
	case currantloom.CancelCall:
		if m.ReportResult {
			s.handleWithdrawal(m.Key)
		} else {
			s.handleCancelCall(m.Key)
		}
	case currantloom.RollbackTransaction:
		s.handleRollback(m.Transaction)
	case currantloom.Ping:
		s.handlePing(e.From, e.Link, m)
	case currantloom.ReplicaPositions:
		s.observePositions(m.Positions)
	case currantloom.Pong:
		s.handlePong(e.From, m)
	case currantloom.UpstreamFailed:
		s.handleUpstreamFailed(e.From, m.Health)
	case currantloom.ShutdownNotice:
		s.markMemberShuttingDown(e.From)
	case currantloom.BlockWrites:
		s.handleBlockWrites(e.Link, m)
	case currantloom.CommitsBlocked:
		s.handleCommitsBlocked(e.From, m)
	case currantloom.PrimaryChanged:
		s.handlePrimaryChanged(e.From, m)
	case currantloom.TokenRequest:
		s.handleTokenRequest(e.From, e.Link, m)
	case currantloom.TokenAnswer:
		s.handleTokenAnswer(e.From, m)
	}
}

func (s *State) tick() {
	s.tickCatalog()
	s.tickMembers()
	s.tickOwner()
	s.tickRequests()
	s.tickLimits()
	for _, g := range s.catalog.sortedGroups {
		g.lag.logDue(s, g.name)
	}
	s.tickSessions()
	s.coordinator.tick(s)
	s.tickCommitLeases()
	s.tickHeldCommits()
	s.tickPauseQuestions()
	s.tickFailovers()
	s.tickShutdown()
}

// deferCall runs the function after the current one has returned, within the same event.
func (s *State) deferCall(f func()) { s.deferred = append(s.deferred, f) }

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

func (s *State) log(d Decision) { s.emit(d) }

// nextNumber returns a number that this process has not used yet.
func (s *State) nextNumber() uint64 {
	s.lastNumber++
	return s.lastNumber
}

// nextKey returns the key of a new request or call of this node. It contains the incarnation, so it differs from the
// keys of earlier runs of the process.
func (s *State) nextKey() currantloom.RequestKey {
	return currantloom.RequestKey{VM: s.config.Self, Number: s.config.Incarnation<<32 | s.nextNumber()}
}
