// Package loomserver is the PostgreSQL client side: it implements currantloom.PostgresClient for one database server.
//
// A Pool holds the connections to one server, at most as many as its limit. Control calls (status, terms) use
// connections of their own, so that they never wait behind requests or behind each other. Invariants:
//   - a connection is used by one request or transaction at a time;
//   - it returns to the pool only in a clean state: idle transaction status, no unread bytes, no failure, no cancel
//     request under way; after a cancel, a failure of another connection or 5 s of idleness it is probed before reuse;
//   - the verdict NotRun is given only if no byte of the body was written or the server's error code guarantees it;
//   - a request id is recorded in the transaction of the request, so that it is there exactly if the request committed.
//
// The database's schema holds the table
//
//	CREATE TABLE currantloom_requests (
//	    caller text, request_id text, digest text, tag text, recorded_at bigint, PRIMARY KEY (caller, request_id))
//
// where recorded_at is in seconds since 1970 by the clock of the carrier and tag holds the command tags, one a line.
package loomserver
