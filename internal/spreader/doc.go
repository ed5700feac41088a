// Package spreader distributes small items from one node to the others.
//
// The object API cannot serve requests from every node. What one node reads or
// measures, such as a configuration change, the instance list or an endpoint's
// load, is therefore forwarded from node to node along a tree. Lost items are
// recovered by the owner of the item: configuration by pulls, all others by the
// next publication.
package spreader
