// Package loomstandin holds stand-ins for the external systems, for tests, the demo and manual use: replicated
// PostgreSQL databases (Server, Group), the platform's store and VM list (Platform), and a TCP relay that injects
// faults (Relay).
//
// A Server is one server of a replicated database, a group. It models a replicated log of entries, each written by the
// primary of the entry's term, and tables that are computed from the applied prefix of the log. Invariants:
//   - a server grants each term to one proposer, and grants increase;
//   - a server whose highest granted term is above its own term neither commits nor replicates;
//   - the logs of two servers that hold an entry of the same term at the same index agree up to it;
//   - the first entry of a term is empty and written by group_lead, so that a majority that holds the last entry of a
//     primary holds an entry of its term, and a later primary cannot drop the entries before it;
//   - a server that lost its log grants no terms and does not count towards a majority until it has caught up.
//
// A server without a journal file loses its log when its process ends, as if its disk were lost. With a journal the log
// and the grants survive a killed process. The journal is not synced, so they may not survive the loss of the machine.
package loomstandin
