// Package loommesh sends messages between nodes over TCP links. A node sends its requests over links that it opens, one
// per VM, and receives the responses on the same link. A message is a 4-byte length and a sequence of MessagePack
// values.
//
// Invariants:
//   - the messages of a link arrive in the order in which they were sent, and none twice;
//   - the handler is told exactly once of the end of each link, unless it reset the link itself;
//   - sending never blocks; a link whose queue is full is closed.
package loommesh
