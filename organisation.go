package currantloom

import (
	"crypto/sha256"
	"time"
)

// KeyDigest is the SHA-256 digest of a client's API key. Only digests leave the code that reads a key, so that no key
// can reach an upstream, another VM or a log. The zero digest means that the client gave no key.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key. The empty key has the zero digest.
func DigestKey(key string) KeyDigest {
	if key == "" {
		return KeyDigest{}
	}
	return sha256.Sum256([]byte(key))
}

// RateLimit limits the operations of an organisation over all VMs. The zero value means that there is no limit.
type RateLimit struct {
	// PerSecond is the number of operations per second in the long run, Burst the number that may come at once.
	PerSecond, Burst float64
}

// IsZero reports whether there is no limit.
func (l RateLimit) IsZero() bool { return l.PerSecond <= 0 }

// QuotaWindow describes how a rate limit is judged: in any span of Length, an organisation may run PerSecond x Length +
// Burst operations, that number times Overage beyond it, and Slack more.
type QuotaWindow struct {
	Length         time.Duration
	Overage, Slack float64
}

// Organisation is an organisation whose clients are told apart by their API keys.
type Organisation struct {
	Name  OrganisationName
	Limit RateLimit
}

// Organisations are the organisations of a configuration and their keys. The zero value belongs to a deployment without
// organisations, whose clients need no key.
type Organisations struct {
	enabled bool
	byName  map[OrganisationName]Organisation
	byKey   map[KeyDigest]OrganisationName
}

// NewOrganisations returns the organisations of a deployment that has them. Without any, no key is valid.
func NewOrganisations() Organisations {
	return Organisations{
		enabled: true, byName: make(map[OrganisationName]Organisation), byKey: make(map[KeyDigest]OrganisationName),
	}
}

// Add adds an organisation with its keys. A key that another organisation holds already belongs to neither; it is
// returned as a conflict.
func (o Organisations) Add(organisation Organisation, keys ...KeyDigest) (conflicts []KeyDigest) {
	o.byName[organisation.Name] = organisation
	for _, key := range keys {
		if holder, ok := o.byKey[key]; ok && holder != organisation.Name {
			o.byKey[key] = ""
			conflicts = append(conflicts, key)
			continue
		}
		o.byKey[key] = organisation.Name
	}
	return conflicts
}

// Enabled reports whether the deployment has organisations.
func (o Organisations) Enabled() bool { return o.enabled }

// Holder returns the organisation that holds the key; ok is false if no organisation does.
func (o Organisations) Holder(key KeyDigest) (name OrganisationName, ok bool) {
	name = o.byKey[key]
	return name, name != ""
}

// Find returns the organisation with the name; ok is false if there is none.
func (o Organisations) Find(name OrganisationName) (organisation Organisation, ok bool) {
	organisation, ok = o.byName[name]
	return organisation, ok
}

// Limits returns the limits of the organisations that have one.
func (o Organisations) Limits() map[OrganisationName]RateLimit {
	limits := make(map[OrganisationName]RateLimit)
	for name, organisation := range o.byName {
		if !organisation.Limit.IsZero() {
			limits[name] = organisation.Limit
		}
	}
	return limits
}

// Len returns the number of organisations.
func (o Organisations) Len() int { return len(o.byName) }
