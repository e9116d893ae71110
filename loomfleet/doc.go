// Package loomfleet decides for a node whose upstreams and configuration are kept by the platform. Its State takes
// events and returns effects; it has no clock, no randomness, no goroutine and no I/O, so the same code runs in the
// process, in the tests against the model of the platform, and in the measures.
//
// A statement of a client enters at its node (entry node). The entry node chooses the upstream and the VM that carries
// the connections to that upstream (carrier), and makes a call to it. The carrier queues the call, runs it on one of
// its connections and answers. One node in the fleet holds the duty to order a change of primary.
//
// Invariants:
//   - each statement gets exactly one answer, and an answer that says "not run" or "nothing is kept" is given only if
//     no attempt may have run, or if its transaction can no longer commit;
//   - a read runs on a log that covers a mark taken within the accepted age before the statement arrived, or inside a
//     transaction that a replaced primary refuses;
//   - a connection is used by one call or transaction at a time, with exactly the values of its session;
//   - the version of the configuration in force never decreases;
//   - a primary is replaced only by an upstream whose log covers that of every replica, or of the primary itself, after
//     they stopped receiving.
package loomfleet
