// Package planner decides which models and adapters the replicas of a fleet
// hold.
//
// Only the holder of the placement lease plans and sends orders. The other
// nodes report their running requests and the demand of their waiting requests
// to it, and each answer carries the state of the whole fleet. One exchange per
// node thus covers demand, placement, limits and liveness, and the total cost
// grows linearly with the number of nodes instead of quadratically.
package planner
