package currantloom

import "context"

// RulesRevision numbers the accepted versions of the rules. It increases by one with each accepted change.
type RulesRevision uint64

// RulesDocument is the rules file as stored in the platform's store.
type RulesDocument struct {
	revision RulesRevision
	changeID string
	text     string
}

// NewRulesDocument returns a document. The operator's command chooses the change id; if the reply to a change is lost,
// the id in the store shows whether the change took effect.
func NewRulesDocument(revision RulesRevision, changeID, text string) RulesDocument {
	return RulesDocument{revision: revision, changeID: changeID, text: text}
}

// Revision returns the revision.
func (d RulesDocument) Revision() RulesRevision { return d.revision }

// ChangeID returns the id of the change that wrote the document.
func (d RulesDocument) ChangeID() string { return d.changeID }

// Text returns the rules file.
func (d RulesDocument) Text() string { return d.text }

// RulesStore keeps the rules in the platform's key-value store.
type RulesStore interface {
	// Rules returns the stored document and its modification index as soon as the index differs from after, or
	// unchanged after the store's wait time. A store without rules returns the zero document and index 0.
	Rules(ctx context.Context, after uint64) (RulesDocument, uint64, error)
	// ReplaceRules stores the document if the modification index is still the given one (compare-and-set). It returns
	// an ErrConflict if it is not, and an ErrUnavailable if the outcome is unknown.
	ReplaceRules(ctx context.Context, index uint64, document RulesDocument) error
}
