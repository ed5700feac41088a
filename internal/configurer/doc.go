// Package configurer keeps the configuration in force at a node.
//
// Few nodes watch the object API; the others learn changes from their peers.
// The package makes sure that the version in force only grows, and that a node
// knows whether it is up to date, so that a withdrawn key is not honoured by a
// node that the withdrawal cannot reach.
package configurer
