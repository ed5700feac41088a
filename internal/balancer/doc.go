// Package balancer chooses the replica for each request of a node.
//
// It joins what the holder of the placement lease says of the fleet with what
// this node saw itself, because health answers and lists lag behind and may be
// wrong. A request whose model is not loaded waits here while the holder has
// it loaded, or is refused while that is certain to be of no use.
package balancer
