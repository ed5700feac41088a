// Package surveyor keeps what a node believes of the fleet: the configuration
// in force, the replicas and the other nodes.
//
// Each belief has an age. The lease holder reads the platform's store, and the
// other nodes take over what it knows; a node that hears nothing of the holder
// reads the store itself, so that no belief depends on one process.
package surveyor
