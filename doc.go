// Package currantloom defines the domain types of a proxy that gives sessions read-your-writes consistency over
// replicated databases, and the interfaces of the external systems that the proxy uses.
//
// The proxy has two halves that share these types:
//   - The PostgreSQL half serves the PostgreSQL databases of a settings file. Package loomnode runs a node, loomcore
//     makes its decisions, loomentry serves clients, loompeer forwards requests to other nodes, and loomserver runs
//     them at upstreams. Its types are Database, PostgresUpstream, Request, RulesDocument and those that they use.
//   - The platform half serves the upstreams that a platform registers in its store. Package loomhost runs a node,
//     loomfleet makes its decisions, loommesh sends messages between nodes, and platform translates the platform's
//     protocols. Its types are Service, Upstream, Statement, Message, Store, Configuration and those that they use.
//
// A replicated database is a Database in the first half and a Service in the second.
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
