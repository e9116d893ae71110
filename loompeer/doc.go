// Package loompeer implements the connections between nodes: links forward requests to the owners of upstreams, and the
// control protocol exchanges rules, status and cancels.
//
// A link transfers PostgreSQL messages and runs one request or transaction at a time. Each request is preceded by a
// header and each response is followed by a trailer, both as JSON in CopyData messages. Invariant: a link is reused
// only after a trailer with an idle transaction status; a link in an unknown state is closed, so that a late response
// cannot be read as the response to another request.
package loompeer
