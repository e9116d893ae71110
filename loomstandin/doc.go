// Package loomstandin holds small fakes of the external systems, for tests and for use by hand: database groups
// (Server, Group), the platform's store and VM list (Platform), and a TCP relay that injects faults (Relay).
//
// A Server is one server of a database group. Its model is a replicated log of entries, each written in a term by the
// primary of that term, and tables that are computed from the applied prefix of the log. Invariants:
//   - a server grants each term to one proposer, and grants increase;
//   - a server whose highest granted term is above its own term neither commits nor replicates;
//   - the logs of two servers that hold an entry of the same term at the same position agree up to it;
//   - the first entry of a term is empty and written by group_lead, so that a majority that holds the last entry of a
//     primary holds an entry of its term, and a later primary cannot drop the entries before it;
//   - a server that lost its log does not grant terms and does not count towards a majority until it has caught up.
//
// A server without a journal file loses its log when its process ends, which counts as a lost disk. With a journal the
// log and the grants survive a killed process; the journal is not synced, so they do not survive a lost machine.
package loomstandin
