// Package loomwire reads and writes PostgreSQL messages for the packages that speak the protocol with clients,
// upstreams and other nodes. It also contains their accept loop and a timer that many requests share.
//
// pgproto3 reads every message into memory, so a proxy that used only pgproto3 would need as much memory as the largest
// row. A Reader reads only the type and the length of a message. Its body is either read into memory (Body, bounded by
// MaxBodySize) and decoded by pgproto3, or streamed (Read).
//
// Invariants: either a message is consumed completely or the reader returns an error on every later call; a writer that
// has truncated a message returns its error on every later call.
package loomwire
