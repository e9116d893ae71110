package loomfleet

import (
	"cmp"
	"time"

	"currantloom.example/currantloom"
)

const (
	// defaultRevocationTimeout is the age of the proof that Config.RevocationTimeout defaults to.
	defaultRevocationTimeout = 5 * time.Second
	// pushProofDelay is how long after a pause of the process a push of another node proves nothing: it may have been
	// received before the pause and read only now. The next push arrives a second later at most.
	pushProofDelay = 250 * time.Millisecond
	// lateProofAge is the age of the proof from which on the node logs that it may miss changes of the configuration.
	lateProofAge = 5 * time.Second
)

// reasonUnproven is the reason of refusals by a node that cannot prove that its configuration is current.
const reasonUnproven = "configuration not proven current"

// configurationProof is the newest proof that the configuration in effect is the newest one. It is an answer of the
// store's watch, to this node or to one that pushed it.
type configurationProof struct {
	exists bool
	// at is when the store was asked for the answer. The answer itself is later, but how much is not known.
	at time.Duration
	// missed says that the last log line reported that the proof is too old to run statements, late the same of
	// lateProofAge.
	missed, late bool
}

// ProofAge returns the age at which the proof is too old to run statements of organisations; zero means that no proof
// is needed.
func (c Config) ProofAge() time.Duration {
	if !c.StrictRevocation {
		return 0
	}
	return cmp.Or(c.RevocationTimeout, defaultRevocationTimeout)
}

// recordConfigurationProof records an answer of the store's watch.
func (s *State) recordConfigurationProof(e StoreWatchSucceeded) {
	if e.Pushed && s.resumedAt > 0 && s.now-s.resumedAt < pushProofDelay {
		return
	}
	p := &s.catalog.proof
	if at := s.now - e.Age; !p.exists || at > p.at {
		p.exists, p.at = true, at
	}
	s.checkConfigurationProof()
}

// isConfigurationProven reports whether statements of organisations may run. Only with StrictRevocation this needs a
// proof of at most RevocationTimeout, and no other node that reports a newer configuration for longer than that.
func (s *State) isConfigurationProven() bool {
	p, limit := s.catalog.proof, s.config.RevocationTimeout
	if !s.config.StrictRevocation {
		return true
	}
	return p.exists && s.now-p.at <= limit && !s.catalog.check.isBehindFor(s.now, limit)
}

// mayRunFor reports whether statements of the organisation may run now; those of none always may.
func (s *State) mayRunFor(organisation currantloom.OrganisationName) bool {
	return organisation == "" || s.isConfigurationProven()
}

// configurationProofAge returns the age of the proof; zero if there is none.
func (s *State) configurationProofAge() time.Duration {
	if !s.catalog.proof.exists {
		return 0
	}
	return s.now - s.catalog.proof.at
}

// logLateProof logs when the proof becomes late, and when there is a newer one.
func (s *State) logLateProof() {
	p := &s.catalog.proof
	age := s.configurationProofAge()
	if late := age > lateProofAge; late != p.late {
		p.late = late
		outcome := map[bool]string{true: "proof_late", false: "proof_renewed"}[late]
		s.log(Decision{Event: "configuration", Version: s.configurationVersion(), Age: age, Outcome: outcome})
	}
}

// checkConfigurationProof logs when the node begins to refuse the statements of organisations, and when it accepts them
// again.
func (s *State) checkConfigurationProof() {
	s.logLateProof()
	p := &s.catalog.proof
	missed := s.hasOrganisations() && !s.isConfigurationProven()
	if missed == p.missed {
		return
	}
	p.missed = missed
	d := Decision{
		Event: "configuration", Version: s.configurationVersion(), Age: s.configurationProofAge(), Outcome: "proven",
	}
	if missed {
		d.Outcome, d.Reason = "unproven", "no answer of the store is recent enough"
		if s.catalog.check.isBehindFor(s.now, s.config.RevocationTimeout) {
			d.Reason = "another node has a newer configuration"
		}
	}
	s.log(d)
}
