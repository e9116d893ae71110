// Package loomwatch decides when a node asks the platform's store for changes, and how old the answers are that prove
// its copy of the store complete. It has no clock and does no I/O.
//
// In a small fleet each node watches the store. In a large one only the watchers of each failure domain do, and push
// the changes that they read to the other nodes, the followers.
//
// Invariants:
//   - a proof is an answer of the store. It is as old as the time since the store was asked, or since another node that
//     has such an answer was asked for it. A message that comes without a question, such as a heartbeat or a pushed
//     change, proves nothing, because it may be late by any time;
//   - a node whose newest proof is older than its limit asks the store itself, whoever else sends it messages.
package loomwatch
