// Package loomserver is the PostgreSQL client of the proxy: it implements currantloom.PostgresClient for one upstream.
//
// A Pool holds the connections to one upstream, at most as many as its limit. Control calls (status, terms) use
// separate connections, so that they never wait for requests or for each other. Invariants:
//   - a connection is used by one request or transaction at a time;
//   - it returns to the pool only in a clean state: idle transaction status, no unread bytes, no failure, no cancel
//     request in progress; after a cancel or 5 s of idleness it is probed before reuse, and a failure of a connection
//     closes the idle ones;
//   - the verdict NotRun is given only if no byte of the body was written or the upstream's error code guarantees it;
//   - a request id is recorded in the transaction of the request, so it is present exactly if the request committed.
//
// The database's schema holds the table
//
//	CREATE TABLE currantloom_requests (
//	    caller text, request_id text, digest text, tag text, recorded_at bigint, PRIMARY KEY (caller, request_id))
//
// where recorded_at is in seconds since 1970 by the clock of the upstream's owner, and tag holds the command tags, one
// per line.
package loomserver
