package loomrules

import (
	"cmp"
	"slices"
	"strings"
)

// Canonical returns the rules as a file in a fixed order and form: two files with the same rules have the same
// canonical text, which parses to the same rules.
func (r *Rules) Canonical() string {
	var b strings.Builder
	for _, u := range r.sorted() {
		b.WriteString(u.text() + "  # " + u.comment + "\n")
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

// ChangeKind says what happened to a rule.
type ChangeKind byte

// The kinds of change, as they stand at the start of a line of a diff.
const (
	Added   ChangeKind = '+'
	Removed ChangeKind = '-'
	Changed ChangeKind = '~'
)

// Change is one difference between two files. Old is empty for an added rule, New for a removed one.
type Change struct {
	Kind     ChangeKind
	Old, New string
}

// String returns the change as a line.
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

// Diff returns the differences between two files by rule, in canonical order. The comment is a part of the rule.
func Diff(before, after *Rules) []Change {
	olds, news := before.bySubject(), after.bySubject()
	var changes []Change
	for _, u := range before.sorted() {
		old := u.text() + "  # " + u.comment
		now, ok := news[u.subject()]
		switch {
		case !ok:
			changes = append(changes, Change{Kind: Removed, Old: old})
		case now != old:
			changes = append(changes, Change{Kind: Changed, Old: old, New: now})
		}
	}
	for _, u := range after.sorted() {
		if _, ok := olds[u.subject()]; !ok {
			changes = append(changes, Change{Kind: Added, New: u.text() + "  # " + u.comment})
		}
	}
	return changes
}

func (r *Rules) bySubject() map[string]string {
	m := make(map[string]string, len(r.rules))
	for _, u := range r.rules {
		m[u.subject()] = u.text() + "  # " + u.comment
	}
	return m
}
