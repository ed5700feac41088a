// Package permitter bounds the requests that all nodes together run at a replica.
//
// Nodes learn of each other's requests a quarter to half a second late. That is too late for
// a replica that ends if it has to turn a few requests away. For each such replica one node
// hands out permits, and every request to the replica holds one while it runs.
package permitter
