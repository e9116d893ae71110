package currantloom

import (
	"cmp"
	"fmt"
)

// StoreEra counts how often the platform's store has come back from an older copy of its data. Within an era the store
// loses nothing that it has acknowledged. A store that does not report its era is in era 0.
type StoreEra uint64

// StorePosition is a point in the history of the platform's store. A store that came back from a copy gives out the
// same revisions again, so a revision means nothing without its era.
type StorePosition struct {
	era      StoreEra
	revision uint64
}

// NewStorePosition returns the position of a revision in an era.
func NewStorePosition(era StoreEra, revision uint64) StorePosition {
	return StorePosition{era: era, revision: revision}
}

// Era returns the era.
func (p StorePosition) Era() StoreEra { return p.era }

// Revision returns the revision within the era.
func (p StorePosition) Revision() uint64 { return p.revision }

// IsZero reports whether the position is the zero position, which no key has.
func (p StorePosition) IsZero() bool { return p == StorePosition{} }

// Compare orders positions by era, then by revision.
func (p StorePosition) Compare(other StorePosition) int {
	return cmp.Or(cmp.Compare(p.era, other.era), cmp.Compare(p.revision, other.revision))
}

// After reports whether the position is later than the other one.
func (p StorePosition) After(other StorePosition) bool { return p.Compare(other) > 0 }

// String returns the position as "era/revision".
func (p StorePosition) String() string { return fmt.Sprintf("%d/%d", p.era, p.revision) }

// StoreLease identifies a lease of the platform's store. A later era gives out the same numbers again, so a lease is
// used only in its own era.
type StoreLease struct {
	era    StoreEra
	number uint64
}

// NewStoreLease returns the lease with a number that was granted in an era.
func NewStoreLease(era StoreEra, number uint64) StoreLease {
	return StoreLease{era: era, number: number}
}

// Era returns the era in which the lease was granted.
func (l StoreLease) Era() StoreEra { return l.era }

// Number returns the number of the lease.
func (l StoreLease) Number() uint64 { return l.number }

// IsZero reports whether it is no lease.
func (l StoreLease) IsZero() bool { return l.number == 0 }
