package loomfleet

// Mechanisms is a set of decision rules that can be switched off, to measure what each is worth. The zero value is the
// empty set.
type Mechanisms uint8

const (
	// MechanismCatchUp sends reads only to replicas that have probably reached the position that the read must see, and
	// reads that wait for the primary also to a replica that reaches it.
	MechanismCatchUp Mechanisms = 1 << iota
	// MechanismOverdueJobs lets jobs whose answer is probably lost hold no slot.
	MechanismOverdueJobs
	// MechanismDoubtfulCommits holds commits back at a primary whose last commits got no answer.
	MechanismDoubtfulCommits
)

// Contains reports whether the set contains a mechanism.
func (m Mechanisms) Contains(mechanism Mechanisms) bool { return m&mechanism != 0 }

// isEnabled reports whether the mechanism is in use.
func (s *State) isEnabled(m Mechanisms) bool { return !s.config.Disabled.Contains(m) }
