// Package placer decides which endpoint holds which model and adapter.
//
// Only one placer of a region decides at a time, the holder of the lease
// Placement/<region>. Because an endpoint may still receive orders of an
// earlier holder, a decision is written to the object API before its order is
// sent, and memory and replicas stay reserved until it is certain that no
// order can use them any more. The object Placement/<region> holds all current
// decisions: the decided state.
package placer
