package loomfleet

import "currantloom.example/currantloom"

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
