// Package loomhost runs a node whose upstreams and configuration are kept by the platform. It feeds the reducer of
// loomfleet with events and carries out its effects: sessions, connections to upstreams, links to other nodes, calls to
// the platform, logs and metrics.
//
// The reducer runs under one lock. Carrying out an effect never blocks: everything that may take time has a goroutine
// of its own and reports back with an event.
package loomhost
