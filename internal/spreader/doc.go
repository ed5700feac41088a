// Package spreader carries small items from one node to the others.
//
// The object API cannot be asked by every node, so what one node learns, such
// as a configuration change, the instance list or an endpoint's load, goes
// from node to node along a tree. Lost items are made good by the owner of the
// item: configuration by pulls, the rest by the next publication.
package spreader
