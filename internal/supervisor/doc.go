// Package supervisor puts a node together and runs it.
//
// It creates the node's tasks, connects what one publishes to what another
// listens to, and starts and stops them in the order that lets a leaving node
// finish what it took. It makes no decisions about requests itself.
package supervisor
