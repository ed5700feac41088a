// Package supervisor assembles and runs a node.
//
// It creates the node's tasks, routes what one task publishes to the tasks
// that use it, and starts and stops them in an order that lets a node that
// shuts down finish the requests it has accepted. It makes no decisions about
// requests itself.
package supervisor
