// Package loomfleet is the reducer of the platform half, whose upstreams and configuration are registered in the
// platform's store. A State takes events and returns effects. All decisions of this half are made here.
//
// The package has no clock, no randomness, no goroutine and no I/O. Time and random numbers are fields of the events,
// so the same code runs in the real process and in tests against the model of the platform.
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
//   - the version of the configuration in effect never decreases;
//   - a failover promotes only an upstream whose log holds every acknowledged commit: it covers the logs of all but at
//     most SyncReplicas-1 registered replicas after they stopped receiving, or that of the old primary after it stepped
//     down.
package loomfleet
