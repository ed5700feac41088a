// Package limiter keeps every workspace within its rate and burst across all
// nodes.
//
// One Owner in the fleet, chosen by a lease, keeps a token bucket for each
// workspace and lends tokens as grants with a short lifetime. Each node has a
// Holder that reserves tokens for requests from its grants and from a small
// standing share that it owns itself, so that a request needs no call to the
// owner most of the time and serving goes on without the owner. docs/limits.md
// proves the bound that the two keep together.
package limiter
