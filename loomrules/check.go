package loomrules

import (
	"cmp"
	"slices"
	"strings"

	"currantloom.example/currantloom"
)

// KnownNames lists the names that rules may use.
type KnownNames struct {
	Databases     []currantloom.Database
	Organisations []currantloom.OrganisationName
}

func sortFaults(faults currantloom.FileErrors) {
	slices.SortStableFunc(faults, func(a, b currantloom.FileError) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
}

// checkRules reports faults that concern several rules, and names that the catalogue does not hold.
func (p *parser) checkRules(catalogue *KnownNames) {
	subjects := make(map[string]rule)
	targets := make(map[string]rule)
	leaving := make(map[string]rule)
	for _, u := range p.rules {
		p.checkSubject(subjects, u)
		switch u.kind {
		case kindLeave:
			leaving[u.server] = u
		case kindPrimary:
			if first, ok := targets[u.server]; ok && first.database != u.database {
				p.fault(u.line, 1, "line %d names %s the primary of another database", first.line, u.server)
			}
			targets[u.server] = u
		}
		if catalogue != nil {
			p.checkNames(catalogue, u)
		}
	}
	for _, u := range p.rules {
		if other, ok := leaving[u.server]; ok && u.kind == kindPrimary {
			p.fault(u.line, 1, "contradicts line %d, which says that %s is leaving", other.line, u.server)
		}
	}
}

func (p *parser) checkSubject(subjects map[string]rule, u rule) {
	first, ok := subjects[u.subject()]
	switch {
	case !ok:
		subjects[u.subject()] = u
	case first.text() == u.text():
		p.fault(u.line, 1, "duplicate of line %d", first.line)
	default:
		p.fault(u.line, 1, "contradicts line %d: %s", first.line, first.text())
	}
}

func (p *parser) checkNames(c *KnownNames, u rule) {
	if u.database != "" && !c.hasDatabase(u.database) {
		p.fault(u.line, 1, "no database matches %q", u.database)
	}
	if u.caller != "" && !c.hasCaller(u.caller) {
		p.fault(u.line, 1, "no caller matches %q", u.caller)
	}
	if u.server != "" && !c.hasServer(u.server, u.database) {
		p.fault(u.line, 1, "%s", strings.TrimSpace("no server "+u.server+suffix(" in database ", u.database)))
	}
}

func suffix(before, s string) string {
	if s == "" {
		return ""
	}
	return before + s
}

func (c *KnownNames) hasDatabase(pattern string) bool {
	return slices.ContainsFunc(c.Databases, func(d currantloom.Database) bool {
		return matches(pattern, string(d.Name()))
	})
}

func (c *KnownNames) hasCaller(pattern string) bool {
	return slices.ContainsFunc(c.Organisations, func(n currantloom.OrganisationName) bool {
		return matches(pattern, string(n))
	})
}

// hasServer reports whether the database has the server; no database means any.
func (c *KnownNames) hasServer(name, database string) bool {
	for _, d := range c.Databases {
		if database != "" && string(d.Name()) != database {
			continue
		}
		for _, s := range d.Upstreams() {
			if string(s.Name()) == name {
				return true
			}
		}
	}
	return false
}
