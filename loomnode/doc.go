// Package loomnode runs one node of the PostgreSQL half. It passes events to the reducer of loomcore and executes the
// effects that the reducer returns. All decisions are made by the reducer.
package loomnode
