package loomrules

import (
	"cmp"
	"slices"
	"strings"

	"currantloom.example/currantloom"
)

// table is an index of the rules of one kind. Rules for an exact database are found by its name, so the time of a
// lookup depends on the rules for that database and on the number of patterns, not on the size of the file.
type table struct {
	byDatabase map[currantloom.DatabaseName][]rule
	patterns   []rule
}

func (t *table) add(r rule) {
	if strings.HasSuffix(r.database, "*") {
		t.patterns = append(t.patterns, r)
		return
	}
	if t.byDatabase == nil {
		t.byDatabase = make(map[currantloom.DatabaseName][]rule)
	}
	name := currantloom.DatabaseName(r.database)
	t.byDatabase[name] = append(t.byDatabase[name], r)
}

// sort puts the most specific rules first.
func (t *table) sort() {
	slices.SortStableFunc(t.patterns, compareSpecificity)
	for _, rules := range t.byDatabase {
		slices.SortStableFunc(rules, compareSpecificity)
	}
}

func compareSpecificity(a, b rule) int {
	return cmp.Or(
		cmp.Compare(specificity(b.database), specificity(a.database)),
		cmp.Compare(specificity(b.organisation), specificity(a.organisation)),
		cmp.Compare(len(canonicalPrefix(b.prefix)), len(canonicalPrefix(a.prefix))),
	)
}

// specificity returns a value by which patterns that match the same name are ordered: exact names come first, then
// longer patterns. An empty pattern is equivalent to "*".
func specificity(pattern string) int {
	if pattern == "" {
		return 1
	}
	if strings.HasSuffix(pattern, "*") {
		return len(pattern)
	}
	return 1 << 20
}

// find returns the most specific rule that applies, nil if there is none. Only deadline rules compare the class: in a
// class rule the class is the result.
func (t *table) find(
	database currantloom.DatabaseName, organisation currantloom.OrganisationName, statement string,
	class currantloom.RequestClass,
) *rule {
	rules := t.byDatabase[database]
	for i := range rules {
		if rules[i].applies(organisation, statement, class) {
			return &rules[i]
		}
	}
	for i := range t.patterns {
		r := &t.patterns[i]
		if matchesPattern(r.database, string(database)) && r.applies(organisation, statement, class) {
			return r
		}
	}
	return nil
}

func (r *rule) applies(
	organisation currantloom.OrganisationName, statement string, class currantloom.RequestClass,
) bool {
	if r.kind == kindDeadline && r.class != class {
		return false
	}
	return (r.organisation == "" || matchesPattern(r.organisation, string(organisation))) &&
		hasStatementPrefix(statement, r.prefix)
}

// matchesPattern reports whether the name equals the pattern or, if the pattern ends in "*", starts with the part
// before the "*".
func matchesPattern(pattern, name string) bool {
	if start, ok := strings.CutSuffix(pattern, "*"); ok {
		return strings.HasPrefix(name, start)
	}
	return pattern == name
}

// hasStatementPrefix reports whether the statement starts with the prefix. ASCII letters are compared
// case-insensitively, leading white space is ignored, and any run of white space equals any other, so that line breaks
// in a statement do not evade a rule.
func hasStatementPrefix(statement, prefix string) bool {
	i := skipSpace(statement, 0)
	for j := skipSpace(prefix, 0); j < len(prefix); {
		if isSpace(prefix[j]) {
			if i >= len(statement) || !isSpace(statement[i]) {
				return false
			}
			i, j = skipSpace(statement, i), skipSpace(prefix, j)
			continue
		}
		if i >= len(statement) || lowerASCII(statement[i]) != lowerASCII(prefix[j]) {
			return false
		}
		i, j = i+1, j+1
	}
	return true
}

func skipSpace(s string, i int) int {
	for i < len(s) && isSpace(s[i]) {
		i++
	}
	return i
}

func isSpace(c byte) bool { return c == ' ' || c >= '\t' && c <= '\r' }

func lowerASCII(c byte) byte {
	if c >= 'A' && c <= 'Z' {
		return c + 'a' - 'A'
	}
	return c
}

// canonicalPrefix returns a canonical form of the prefix: it is equal for prefixes that match the same statements.
func canonicalPrefix(prefix string) string {
	var b strings.Builder
	for i := skipSpace(prefix, 0); i < len(prefix); {
		if isSpace(prefix[i]) {
			b.WriteByte(' ')
			i = skipSpace(prefix, i)
			continue
		}
		b.WriteByte(lowerASCII(prefix[i]))
		i++
	}
	return b.String()
}
