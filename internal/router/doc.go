// Package router decides which endpoint a request goes to.
//
// Its functions are pure: they estimate the time to the first token at an
// endpoint from late reports and learnt speeds, choose among the candidates,
// and adapt the share of an endpoint's slots that this node may use. The
// scheduler keeps the state, so that a routing decision can be replayed and
// measured without a network.
package router
