// Package loomhost runs one node of the platform half. It passes events to the reducer of loomfleet and executes the
// effects that the reducer returns. All decisions are made by the reducer. This package does the I/O of the node:
// client sessions, connections to upstreams, links to other nodes, calls to the platform, the log and the metrics.
//
// The reducer runs under one lock. The execution of an effect never blocks: an operation that may take time runs in its
// own goroutine and reports its outcome as an event.
package loomhost
