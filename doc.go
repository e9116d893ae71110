// Package currantloom defines the domain types of a proxy that gives sessions read-your-writes consistency over
// replicated databases, and the interfaces of the external systems that the proxy uses.
//
// The proxy has two halves that share these types. One serves PostgreSQL databases listed in a settings file
// (PostgresUpstream and the other Postgres types). The other serves the upstreams that a platform registers in its
// store (Upstream, Service, Session, Store).
//
// A VM runs one node. A node accepts client connections and owns the connections to some upstreams: it is the owner of
// these upstreams. A request enters at the node that the client is connected to (the entry node) and runs at the owner
// of the upstream that it is routed to.
//
// Invariants of the types in this package:
//   - LogPosition orders the entries of a database's log: a later term wins over a higher index;
//   - the zero Verdict is MayHaveRun, so an error without an explicit verdict never claims that a request was not run;
//   - descriptions of VMs, databases and PostgreSQL upstreams are immutable after construction.
//
// Implementations live in the packages below; this package imports none of them.
package currantloom
