// Package syncer exchanges reports between a node and the holder of the
// placement lease.
//
// It decides when a node reports and to which node. The holder is found by
// querying the nodes that may hold the lease. These candidates are few, and all
// nodes compute the same ones.
package syncer
