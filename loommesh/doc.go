// Package loommesh carries messages between nodes: one link for each direction in which a node asks, with answers
// coming back on the link of the question. A message is a length and a MessagePack array.
//
// Invariants:
//   - messages of a link arrive in the order in which they were sent, and none twice;
//   - the owner learns of the end of each link exactly once, unless it reset the link itself;
//   - sending never blocks; a link whose queue is full is closed.
package loommesh
