package currantloom

import "time"

// WorkKind classifies commands by how long they are expected to run.
type WorkKind uint8

// The kinds of work. WorkOpening is the first statement of a transaction.
const (
	WorkRead WorkKind = iota
	WorkWrite
	WorkCommit
	WorkOpening
	// WorkKinds is the number of kinds.
	WorkKinds
)

// WorkKind returns the kind of work of the call.
func (c Call) WorkKind() WorkKind {
	switch {
	case c.Mode == CallBegin || c.Mode == CallBeginRead:
		return WorkOpening
	case c.Command.Commits:
		return WorkCommit
	case c.Command.Writes:
		return WorkWrite
	default:
		return WorkRead
	}
}

// UpstreamLoad is the load of an upstream and the results of the work that its owner ran there. The zero value says
// that the owner has not run any.
type UpstreamLoad struct {
	// Jobs is the number of calls that wait or run.
	Jobs int
	// RunTimes are the average run times of successful work by kind; zero where the owner has not run any.
	RunTimes [WorkKinds]time.Duration
	// FailurePercent and LostPercent are the percentages of recent work that got an error and that got no answer.
	FailurePercent, LostPercent int
}

// Only returns the load with the run time of one kind. A result carries no others, because they cost bytes.
func (l UpstreamLoad) Only(kind WorkKind) UpstreamLoad {
	runTime := l.RunTimes[kind]
	l.RunTimes = [WorkKinds]time.Duration{}
	l.RunTimes[kind] = runTime
	return l
}
