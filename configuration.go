package currantloom

import "time"

// ReadPolicy says which commits a read on a route has to see.
type ReadPolicy uint8

// The zero policy is the strictest one.
const (
	// ReadLatest: every commit that was acknowledged before the read.
	ReadLatest ReadPolicy = iota
	// ReadBounded: every commit that was acknowledged longer ago than the accepted age.
	ReadBounded
	// ReadSession is ReadBounded, and every commit of the same session.
	ReadSession
)

// String returns the policy as it stands in logs.
func (p ReadPolicy) String() string {
	return [...]string{"latest", "bounded", "session", "latest"}[p&3]
}

// Route says how the sessions of a database are served.
type Route struct {
	Database DatabaseName
	Service  ServiceName
	Policy   ReadPolicy
	// MaxAge is the accepted age of reads.
	MaxAge time.Duration
	// Timeout bounds one statement.
	Timeout time.Duration
	// Target is the latency that the operators want for a whole operation.
	Target time.Duration
	// Priority is 0 for the most urgent work.
	Priority int
}

// Service describes a replicated database.
type Service struct {
	Name ServiceName
	// Connections is the number of connections that each upstream accepts from all nodes together.
	Connections int
	// SyncReplicas is the number of replicas that hold a commit when it is acknowledged.
	SyncReplicas int
}

// Configuration is what the operators have accepted.
type Configuration struct {
	Version  uint64
	Routes   map[DatabaseName]Route
	Services map[ServiceName]Service
	// TransactionIdle is how long a transaction may be idle.
	TransactionIdle time.Duration
}
