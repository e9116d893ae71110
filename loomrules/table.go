package loomrules

import (
	"cmp"
	"slices"
	"strings"

	"currantloom.example/currantloom"
)

// table holds the rules of one kind for look-up. Rules for an exact database are found by its name, so the time of a
// look-up depends on the rules of that database and on the patterns, not on the size of the file.
type table struct {
	exact    map[currantloom.DatabaseName][]rule
	patterns []rule
}

func (t *table) add(u rule) {
	if strings.HasSuffix(u.database, "*") {
		t.patterns = append(t.patterns, u)
		return
	}
	if t.exact == nil {
		t.exact = make(map[currantloom.DatabaseName][]rule)
	}
	name := currantloom.DatabaseName(u.database)
	t.exact[name] = append(t.exact[name], u)
}

// sort puts the most specific rules first.
func (t *table) sort() {
	slices.SortStableFunc(t.patterns, compareSpecific)
	for _, rules := range t.exact {
		slices.SortStableFunc(rules, compareSpecific)
	}
}

func compareSpecific(a, b rule) int {
	return cmp.Or(
		cmp.Compare(specificity(b.database), specificity(a.database)),
		cmp.Compare(specificity(b.caller), specificity(a.caller)),
		cmp.Compare(len(foldPrefix(b.prefix)), len(foldPrefix(a.prefix))),
	)
}

// specificity orders patterns that match the same name: exact names first, then longer patterns. No caller at all is
// the same as "*".
func specificity(pattern string) int {
	if pattern == "" {
		return 1
	}
	if strings.HasSuffix(pattern, "*") {
		return len(pattern)
	}
	return 1 << 20
}

// find returns the most specific rule that matches. Only deadlines look at the class: a rule of another kind that has
// a class gives it to the statement.
func (t *table) find(
	database currantloom.DatabaseName, caller currantloom.OrganisationName, statement string,
	class currantloom.RequestClass,
) *rule {
	rules := t.exact[database]
	for i := range rules {
		if rules[i].applies(caller, statement, class) {
			return &rules[i]
		}
	}
	for i := range t.patterns {
		u := &t.patterns[i]
		if matches(u.database, string(database)) && u.applies(caller, statement, class) {
			return u
		}
	}
	return nil
}

func (u *rule) applies(caller currantloom.OrganisationName, statement string, class currantloom.RequestClass) bool {
	if u.kind == kindDeadline && u.class != class {
		return false
	}
	return (u.caller == "" || matches(u.caller, string(caller))) && hasPrefix(statement, u.prefix)
}

// matches reports whether the name is the pattern or, if the pattern ends in "*", starts with the rest of it.
func matches(pattern, name string) bool {
	if start, ok := strings.CutSuffix(pattern, "*"); ok {
		return strings.HasPrefix(name, start)
	}
	return pattern == name
}

// hasPrefix reports whether the statement starts with the prefix. Letters are compared case-insensitively (ASCII), and
// any run of white space equals any other, so that line breaks in a statement do not evade a rule.
func hasPrefix(statement, prefix string) bool {
	i := skipSpace(statement, 0)
	for j := skipSpace(prefix, 0); j < len(prefix); {
		if isSpace(prefix[j]) {
			if i >= len(statement) || !isSpace(statement[i]) {
				return false
			}
			i, j = skipSpace(statement, i), skipSpace(prefix, j)
			continue
		}
		if i >= len(statement) || lower(statement[i]) != lower(prefix[j]) {
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

func lower(c byte) byte {
	if c >= 'A' && c <= 'Z' {
		return c + 'a' - 'A'
	}
	return c
}

// foldPrefix returns the form in which two prefixes that match the same statements are equal.
func foldPrefix(prefix string) string {
	var b strings.Builder
	for i := skipSpace(prefix, 0); i < len(prefix); {
		if isSpace(prefix[i]) {
			b.WriteByte(' ')
			i = skipSpace(prefix, i)
			continue
		}
		b.WriteByte(lower(prefix[i]))
		i++
	}
	return b.String()
}
