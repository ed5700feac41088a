// Package planner decides which models and adapters the replicas of a fleet
// hold.
//
// Only the holder of the placement lease plans and gives orders. The other
// nodes report to it what they run and what their requests wait for, and its
// answers tell them what the whole fleet does. So one exchange for each node
// carries demand, placement, limits and liveness, and its cost grows with the
// number of nodes and not with its square.
package planner
