// Package scheduler gives waiting requests slots at endpoints.
//
// A node receives more requests than the endpoints can take at once. The
// Scheduler controller holds them in fair queues, refuses what cannot be in
// time, keeps to this node's share of every endpoint's slots, and asks package
// router for the choice of endpoint. Every admitted call is answered exactly
// once, no later than its deadline, whatever happens to the endpoints.
package scheduler
