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
//   - apart from a fixed amount per VM and per database of the settings, the size of the state depends only on the
//     upstreams that this node owns or has recently used and on the requests in flight.
package loomcore
