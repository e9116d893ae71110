// Package loomcore is the reducer of the PostgreSQL half. A State takes events and returns effects. All decisions of
// this half on routing, admission, retries, promotion and rules are made here.
//
// The package has no clock, no randomness, no goroutine and no I/O. Time and random numbers are fields of the events,
// so the same code runs in the real process, in fuzz tests in virtual time, and in measurements.
//
// Invariants:
//   - a request gets exactly one Respond, and its verdict is NotRun only if no attempt may have run;
//   - a write is acknowledged only if a majority of the upstreams holds it in the newest term that this node knows of;
//   - the revision of the rules in effect never decreases;
//   - the size of the state depends on the upstreams that this node owns and the requests in flight, not on the number
//     of VMs and databases, except for one entry per VM.
package loomcore
