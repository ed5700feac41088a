// Package balancer chooses the replica for each request of a node.
//
// It combines the fleet state reported by the holder of the placement lease
// with this node's own observations, because health checks and lists lag behind
// and may be wrong. A request whose model is not loaded waits here until the
// holder has had it loaded, or is refused if waiting cannot succeed.
package balancer
