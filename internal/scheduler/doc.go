// Package scheduler assigns endpoint slots to waiting requests.
//
// A node may receive more requests than the endpoints can serve at once. The
// controller holds them in fair queues, refuses requests that cannot be served
// before their deadline, stays within this node's share of every endpoint's
// slots, and uses package router to choose the endpoint. Every admitted call is
// answered exactly once, no later than its deadline, even if endpoints fail.
package scheduler
