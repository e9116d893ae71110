// Package loomfair holds the accounting that decides how organisations share what is scarce. Both reducers, loomcore
// and loomfleet, use it. It has no clock: times are arguments.
package loomfair
