package loomrules

import (
	"cmp"
	"slices"
	"strings"

	"currantloom.example/currantloom"
)

// KnownNames holds the databases, with their upstreams, and the organisations that rules may name.
type KnownNames struct {
	Databases     []currantloom.Database
	Organisations []currantloom.OrganisationName
}

func sortErrors(errors currantloom.FileErrors) {
	slices.SortStableFunc(errors, func(a, b currantloom.FileError) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
}

// checkRules reports rules that contradict or repeat each other and, unless names is nil, unknown names.
func (p *parser) checkRules(names *KnownNames) {
	bySubject := make(map[string]rule)
	desiredPrimaries := make(map[string]rule)
	leaving := make(map[string]rule)
	for _, r := range p.rules {
		p.checkDuplicate(bySubject, r)
		switch r.kind {
		case kindLeave:
			leaving[r.upstream] = r
		case kindPrimary:
			if first, ok := desiredPrimaries[r.upstream]; ok && first.database != r.database {
				p.errorf(r.line, 1, "line %d names %s the primary of another database", first.line, r.upstream)
			}
			desiredPrimaries[r.upstream] = r
		}
		if names != nil {
			p.checkKnownNames(names, r)
		}
	}
	for _, r := range p.rules {
		if other, ok := leaving[r.upstream]; ok && r.kind == kindPrimary {
			p.errorf(r.line, 1, "contradicts line %d, which says that %s is leaving", other.line, r.upstream)
		}
	}
}

func (p *parser) checkDuplicate(bySubject map[string]rule, r rule) {
	first, ok := bySubject[r.subject()]
	switch {
	case !ok:
		bySubject[r.subject()] = r
	case first.text() == r.text():
		p.errorf(r.line, 1, "duplicate of line %d", first.line)
	default:
		p.errorf(r.line, 1, "contradicts line %d: %s", first.line, first.text())
	}
}

func (p *parser) checkKnownNames(names *KnownNames, r rule) {
	if r.database != "" && !names.hasDatabase(r.database) {
		p.errorf(r.line, 1, "no database matches %q", r.database)
	}
	if r.organisation != "" && !names.hasOrganisation(r.organisation) {
		p.errorf(r.line, 1, "no caller matches %q", r.organisation)
	}
	if r.upstream != "" && !names.hasUpstream(r.upstream, r.database) {
		p.errorf(r.line, 1, "%s", strings.TrimSpace("no server "+r.upstream+optionalSuffix(" in database ", r.database)))
	}
}

func optionalSuffix(prefix, s string) string {
	if s == "" {
		return ""
	}
	return prefix + s
}

func (k *KnownNames) hasDatabase(pattern string) bool {
	return slices.ContainsFunc(k.Databases, func(d currantloom.Database) bool {
		return matchesPattern(pattern, string(d.Name()))
	})
}

func (k *KnownNames) hasOrganisation(pattern string) bool {
	return slices.ContainsFunc(k.Organisations, func(n currantloom.OrganisationName) bool {
		return matchesPattern(pattern, string(n))
	})
}

// hasUpstream reports whether the database has the upstream. An empty database name stands for any database.
func (k *KnownNames) hasUpstream(name, databaseName string) bool {
	for _, database := range k.Databases {
		if databaseName != "" && string(database.Name()) != databaseName {
			continue
		}
		for _, upstream := range database.Upstreams() {
			if string(upstream.Name()) == name {
				return true
			}
		}
	}
	return false
}
