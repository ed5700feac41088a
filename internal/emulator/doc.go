// Package emulator stands in for the systems around a node: the platform with
// its object API, instance list and weight store, and the endpoints.
//
// The stand-ins speak the published protocols over HTTP and show the faults
// that the real systems have, so that the nodes can be tested and measured
// without them. Faults are switched while a stand-in runs.
package emulator
