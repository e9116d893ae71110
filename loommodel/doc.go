// Package loommodel is a simulation of the platform in virtual time: the store with its leases, the cloud API that
// promotes an upstream, replicated databases, the network between them, and clients. It runs the loomfleet reducers of
// several nodes against this model. An oracle checks what upstreams run and what clients are told.
//
// All random draws come from one seeded generator, and those that only hostile clients need from another one. Two runs
// with the same seed can still differ after an upstream crashes or restarts, or a node's process ends, because
// connections and sessions are then closed in map order.
//
// The model is stricter than a real platform: a replaced primary loses its role at once, a crashed upstream stays
// registered until its registration lapses, and faults come without warning. The model does not depend on how the
// reducer decides.
package loommodel
