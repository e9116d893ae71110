// Package loomfleet contains the decisions of a node whose upstreams and configuration are registered in the platform's
// store. Its State is a pure reducer: it takes events and returns effects, and has no clock, randomness, goroutines or
// I/O. So the same code runs in the process, in the tests against the model of the platform, and in the measurements.
//
// A client's statement arrives at the node that the client is connected to (the entry node). The entry node selects an
// upstream and the VM that owns the connections to it (the owner), and sends the owner a call. The owner queues the
// call, runs it on one of its connections and answers. One node in the fleet holds the failover lease; only this node
// runs failovers and planned changes of primary.
//
// Invariants:
//   - each statement gets exactly one answer, and an answer that says "not run" or "nothing is kept" is given only if
//     no attempt may have run, or if its transaction can no longer commit;
//   - a read runs on a log that covers a position sampled within the accepted age before the statement arrived, or
//     inside a transaction that an upstream refuses once it is no longer the primary;
//   - a connection is used by one call or transaction at a time, with exactly the settings of its session;
//   - the version of the configuration in force never decreases;
//   - a primary is replaced only by an upstream whose log covers that of every replica, or of the primary itself, after
//     they stopped receiving.
package loomfleet
