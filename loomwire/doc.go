// Package loomwire holds what both sides of a PostgreSQL connection need: the framing of messages, the accept loop, and
// a timer that many requests share.
//
// pgproto3 reads every message into memory, so a relay built on it alone needs as much memory as the largest row. A
// Reader reads only the type and the length of a message; its body is either read whole (Body, bounded by MaxBodySize)
// and decoded by pgproto3, or copied in pieces (Read).
//
// Invariants: a message is consumed whole or the reader returns an error on every later call; a writer that cut a
// message off returns its error on every later call.
package loomwire
