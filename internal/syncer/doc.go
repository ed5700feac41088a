// Package syncer exchanges reports between a node and the holder of the
// placement lease.
//
// It decides when a node reports and to whom. The holder is found by asking
// the nodes that may hold the lease, which are few and the same for all.
package syncer
