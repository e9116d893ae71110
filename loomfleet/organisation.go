package loomfleet

import "currantloom.example/currantloom"

// outcomeAuthFailed is the outcome of a session that is refused or ended because of its key, in the log.
const outcomeAuthFailed = "auth_failed"

// hasOrganisations reports whether the deployment has organisations, so that clients need keys and connections to
// upstreams belong to organisations.
func (s *State) hasOrganisations() bool {
	c := s.catalog.configuration
	return c != nil && c.Organisations.Enabled()
}

// authorise returns the organisation for which a client with the key uses the route. It reports false if the client may
// not use it. Clients of a public route, and all clients in a deployment without organisations, belong to none.
func (s *State) authorise(key currantloom.KeyDigest, route currantloom.Route) (currantloom.OrganisationName, bool) {
	if !s.hasOrganisations() || route.Public {
		return "", true
	}
	return s.catalog.configuration.Organisations.Holder(key)
}

// describeRefusal says why a client with the key may not use a route, without the key.
func describeRefusal(key currantloom.KeyDigest) string {
	if key == (currantloom.KeyDigest{}) {
		return "no key"
	}
	return reasonKeyUnknown
}

// describeUnknownDatabase returns the name of a database without a route for the log. A client that swaps the words of
// its startup sends its key instead, which the log must not show.
func (s *State) describeUnknownDatabase(name currantloom.DatabaseName) string {
	if c := s.catalog.configuration; c != nil {
		if _, isKey := c.Organisations.Holder(currantloom.DigestKey(string(name))); isKey {
			return "a key instead of a database"
		}
	}
	return string(name)
}
