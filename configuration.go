package currantloom

import "time"

// ReadPolicy is the consistency of a route's reads: which commits a read must see.
type ReadPolicy uint8

// The zero policy is the strictest one.
const (
	// ReadLatest requires every commit that was acknowledged before the read.
	ReadLatest ReadPolicy = iota
	// ReadBoundedStaleness requires every commit that was acknowledged longer ago than the route's MaxAge.
	ReadBoundedStaleness
	// ReadYourWrites is ReadBoundedStaleness and requires every commit of the same session as well.
	ReadYourWrites
)

// String returns the name that logs use.
func (p ReadPolicy) String() string {
	return [...]string{"latest", "bounded", "session", "latest"}[p&3]
}

// Route maps a database name that clients connect to, to a service, and says how its sessions are served.
type Route struct {
	Database   DatabaseName
	Service    ServiceName
	ReadPolicy ReadPolicy
	// MaxAge is the maximum staleness of reads; ReadLatest does not use it.
	MaxAge time.Duration
	// Timeout is the time limit of one statement.
	Timeout time.Duration
	// LatencyTarget is the latency that operators aim at for a whole operation.
	LatencyTarget time.Duration
	// Priority is 0 for the most urgent work.
	Priority int
	// Public says that clients of the route need no key.
	Public bool
}

// Service describes a replicated database that the platform registers: a group of upstreams under one name.
type Service struct {
	Name ServiceName
	// Connections is the number of connections that each upstream accepts from all nodes together.
	Connections int
	// SyncReplicas is the number of replicas that hold a commit when it is acknowledged.
	SyncReplicas int
}

// Configuration holds the routes and services that operators have accepted.
type Configuration struct {
	Version  uint64
	Routes   map[DatabaseName]Route
	Services map[ServiceName]Service
	// Organisations are the organisations and their keys.
	Organisations Organisations
	// IdleTransactionTimeout is how long an open transaction may be idle.
	IdleTransactionTimeout time.Duration
	// Findings are what operators should correct. They have no effect but to be logged.
	Findings []ConfigurationFinding
}

// FindingOutcome says what became of a part of a configuration that is invalid or unusual.
type FindingOutcome uint8

// The outcomes of findings.
const (
	// FindingDropped means that the part has no effect.
	FindingDropped FindingOutcome = iota
	// FindingAdjusted means that the part has an effect other than its literal one.
	FindingAdjusted
)

// String returns the name that logs use.
func (o FindingOutcome) String() string {
	if o == FindingAdjusted {
		return "adjusted"
	}
	return "dropped"
}

// ConfigurationFinding is an invalid or unusual part of a configuration that does not invalidate the rest of it. It
// contains no key.
type ConfigurationFinding struct {
	// Organisation is the organisation that the finding is about; empty if it has no usable name.
	Organisation OrganisationName
	Reason       string
	Outcome      FindingOutcome
}
