// Package loomquota limits the rate of each organisation's operations over all nodes. It has two halves: Entry decides
// at the node that a client is connected to whether an operation may start, and Limiter grants the tokens that the
// entries need for it. Both have no clock, no I/O, no goroutines and no randomness; times and random numbers are
// arguments.
//
// # The bound
//
// In any window of length W, an organisation may run rate x W + capacity operations, see budget. Two rules keep this
// bound without agreement between nodes.
//
// Rate: each entry holds a share of the organisation's rate, and the shares add up to at most 1. An entry hands its
// share for a stretch of time to one limiter, by a request, or uses it itself while no limiter answers, but never both.
// So whatever is lost, late or partitioned, the rate that is used is at most the rate.
//
// Capacity: what a limiter has to grant, and the tokens that were granted and whose operations have not run yet, are
// together at most the capacity, in proportion to the shares of the entries that ask this limiter.
package loomquota
