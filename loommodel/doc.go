// Package loommodel is the project's own model of the platform, in virtual time: the store with its leases, the call
// that changes a primary, replicated databases, the network between everything, and clients. It runs the reducer of
// loomfleet of several nodes against them and checks what callers and servers see. The same seed gives the same run.
//
// The model is stricter than a platform needs to be: a replaced primary loses its role at once, entries that lapse are
// not announced, and faults come without warning. Nothing in it knows how the reducer decides.
package loommodel
