// Package estimator estimates when a replica sends the first event of an answer and when it
// ends the answer.
//
// It learns the speed of replicas and the pace of models from the answers of this node, and
// takes over what the other nodes have learnt. It does no I/O and has no clock, so that
// choices that are based on it can be replayed. The formula in formula.go is also that of
// package router.
package estimator
