// Package rationer enforces the rate limit of each workspace across all nodes.
//
// Each node counts its own usage immediately and the usage of the other nodes
// when the holder of the placement lease reports it. A node without recent
// reports restricts itself to an equal share of the limit, so that the total
// stays within the limit whichever nodes are cut off. The request path makes no
// call to the store. A request waits only if its workspace's limit has room for it soon.
package rationer
