// Package loomstore reads and changes the accepted rules and reads the VM list through Consul's published HTTP API.
//
// A RulesStore keeps the rules in one key; its value is a JSON object with the fields revision, change_id and text.
// A VMList reads the services "currantloom" (the VMs that run nodes) and "database-server".
//
// Invariants:
//   - every call ends within a bounded time, even on a connection that no longer delivers data;
//   - a change whose outcome is unknown is reported as unavailable, never as done or as a conflict;
//   - an index that a call returns may be lower than an earlier one, because the store may have been restored.
package loomstore
