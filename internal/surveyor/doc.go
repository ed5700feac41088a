// Package surveyor maintains a node's view of the fleet: the configuration in
// force, the replicas and the other nodes.
//
// Each part of the view has an age. The holder of the placement lease reads the
// platform's store, and the other nodes adopt its view. A node that receives no
// updates from the holder reads the store itself, so that no part of the view
// depends on a single process.
package surveyor
