// Package loomcore decides. Its State takes events and returns effects; nothing else in the program makes a decision
// on routing, admission, retries, promotion or rules.
//
// The package has no clock, no randomness, no goroutine and no I/O. Time and random numbers are fields of the events,
// so the same code runs under the real process, under the fuzzer in virtual time, and under the measures.
//
// Invariants:
//   - a request gets exactly one Respond, and a Respond with verdict NotRun is given only if no attempt may have run;
//   - a write is acknowledged only if a majority holds it at a term that is the newest this node knows of;
//   - the revision of the rules in effect never decreases;
//   - the state is bounded by what the node carries and the requests in flight, not by the size of the fleet, but for
//     one row per VM.
package loomcore
