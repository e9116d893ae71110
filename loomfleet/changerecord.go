package loomfleet

import (
	"slices"

	"currantloom.example/currantloom"
)

// changeRecord is this node's copy of the record of changes of primary in the store, and what it has inherited by it.
//
// A request for promotion that got no answer may be carried out seconds after its sender has died, also if the sender
// starts again under its own name and remembers nothing. Each holder of the failover lease therefore records the
// service before its first request, with the lease as the condition, and the next holder settles what the record names.
// No request leaves for a service that is not recorded, unless the store is down for all. The zero value is an empty
// record.
type changeRecord struct {
	position currantloom.StorePosition
	services []currantloom.ServiceName
	// inherited are the services that were recorded when this node became the holder, and for which the platform has not
	// accepted a request of this node since. An accepted request refuses all earlier ones.
	inherited map[currantloom.ServiceName]bool
	// written is what this node has written last, with the call writtenBy. writePending says that the write may still
	// take effect: it has no answer, and the store has shown no later record.
	written      []currantloom.ServiceName
	writtenBy    CallID
	writePending bool
}

// observe applies the record as the store has it.
func (r *changeRecord) observe(record ChangeRecord) {
	if r.position.After(record.Position) {
		return
	}
	if record.Position.After(r.position) {
		// Each write has the one before it as its condition.
		r.writePending = false
	}
	r.position, r.services = record.Position, slices.Sorted(slices.Values(record.Services))
}

// startWrite records that this node writes the services, which are sorted, with a call.
func (r *changeRecord) startWrite(services []currantloom.ServiceName, call CallID) {
	r.written, r.writtenBy, r.writePending = services, call, true
}

// holds reports whether the store has the service in the record, and keeps it whatever becomes of a write without an
// answer.
func (r *changeRecord) holds(name currantloom.ServiceName) bool {
	_, recorded := slices.BinarySearch(r.services, name)
	_, kept := slices.BinarySearch(r.written, name)
	return recorded && (kept || !r.writePending)
}

// inherit takes over what the record names.
func (r *changeRecord) inherit() {
	r.inherited = make(map[currantloom.ServiceName]bool)
	for _, name := range r.services {
		r.inherited[name] = true
	}
}

// inheritService records that a request of an earlier holder for the service may take effect although no record names
// it.
func (r *changeRecord) inheritService(name currantloom.ServiceName) {
	if r.inherited == nil {
		r.inherited = make(map[currantloom.ServiceName]bool)
	}
	r.inherited[name] = true
}

func (r *changeRecord) isInherited(name currantloom.ServiceName) bool { return r.inherited[name] }

// settle records that no request of an earlier holder can take effect any more.
func (r *changeRecord) settle(name currantloom.ServiceName) { delete(r.inherited, name) }

func (r *changeRecord) inheritedServices() []currantloom.ServiceName {
	names := make([]currantloom.ServiceName, 0, len(r.inherited))
	for name := range r.inherited {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// isOutdated reports whether the record names a service that is not among the current changes, which are sorted.
func (r *changeRecord) isOutdated(current []currantloom.ServiceName) bool {
	return slices.ContainsFunc(r.services, func(name currantloom.ServiceName) bool {
		_, found := slices.BinarySearch(current, name)
		return !found
	})
}
