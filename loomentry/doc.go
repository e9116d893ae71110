// Package loomentry serves client connections: it speaks the PostgreSQL protocol with applications.
//
// A Session serves one client connection. It collects the messages up to a Query or a Sync into one request and passes
// the request to the node's Gateway. The session keeps the state that must not depend on an upstream connection: the
// token, the session parameters and the texts of prepared statements. Invariants: responses are written in the order of
// the requests, and a session relies on no state of an upstream connection between two transactions.
package loomentry
