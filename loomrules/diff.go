package loomrules

import (
	"cmp"
	"slices"
	"strings"
)

// Canonical returns the rules as a file in a fixed order and format. Two files with the same rules have the same
// canonical text, and it parses to the same rules.
func (r *Rules) Canonical() string {
	var b strings.Builder
	for _, entry := range r.sorted() {
		b.WriteString(entry.text() + "  # " + entry.comment + "\n")
	}
	return b.String()
}

func (r *Rules) sorted() []rule {
	rules := slices.Clone(r.rules)
	slices.SortFunc(rules, func(a, b rule) int {
		return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.subject(), b.subject()))
	})
	return rules
}

// ChangeKind is the kind of a Change.
type ChangeKind byte

// The kinds of change. Each value is the first character of the change in a printed diff.
const (
	Added   ChangeKind = '+'
	Removed ChangeKind = '-'
	Changed ChangeKind = '~'
)

// Change is a rule that differs between two files. Old is empty for an added rule, New for a removed one.
type Change struct {
	Kind     ChangeKind
	Old, New string
}

// String returns the change as printed in a diff: one line, or two for a changed rule.
func (c Change) String() string {
	switch c.Kind {
	case Added:
		return "+ " + c.New
	case Removed:
		return "- " + c.Old
	default:
		return "~ " + c.Old + "\n  -> " + c.New
	}
}

// Diff returns the rules that differ between two files: removed and changed rules, then added ones, each group in
// canonical order. Comments are compared as well.
func Diff(before, after *Rules) []Change {
	beforeTexts, afterTexts := before.bySubject(), after.bySubject()
	var changes []Change
	for _, entry := range before.sorted() {
		beforeText := entry.text() + "  # " + entry.comment
		afterText, ok := afterTexts[entry.subject()]
		switch {
		case !ok:
			changes = append(changes, Change{Kind: Removed, Old: beforeText})
		case afterText != beforeText:
			changes = append(changes, Change{Kind: Changed, Old: beforeText, New: afterText})
		}
	}
	for _, entry := range after.sorted() {
		if _, ok := beforeTexts[entry.subject()]; !ok {
			changes = append(changes, Change{Kind: Added, New: entry.text() + "  # " + entry.comment})
		}
	}
	return changes
}

func (r *Rules) bySubject() map[string]string {
	texts := make(map[string]string, len(r.rules))
	for _, entry := range r.rules {
		texts[entry.subject()] = entry.text() + "  # " + entry.comment
	}
	return texts
}
