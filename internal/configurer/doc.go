// Package configurer maintains the configuration in force at a node.
//
// A few nodes, the relays, watch the object API; the others receive changes
// from their peers. The package ensures that the version in force never
// decreases, and that a node can determine whether it is up to date, so that a
// node that cannot receive the withdrawal of a key stops accepting the key.
package configurer
