// Package router decides which endpoint serves a request.
//
// It estimates the time to the first token at each endpoint from delayed
// reports and measured speeds, chooses among the candidates, and adapts the
// share of an endpoint's slots that this node may use. The package does no
// I/O and the scheduler owns its state, so that routing decisions can be
// replayed and measured without a network.
package router
