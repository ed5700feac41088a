// Package limiter keeps every workspace within its rate and burst across all
// nodes.
//
// One Owner in the fleet, elected by a lease, keeps a token bucket for each
// workspace and lends tokens to nodes as grants with a short lifetime. Each node
// runs a Holder, which reserves tokens for requests from its grants and from a
// standing share: a small fixed fraction of the workspace's rate and burst that
// the node refills itself. Most requests therefore need no call to the owner,
// and serving continues while no owner is reachable. docs/limits.md proves the
// bound that owner and holders maintain together.
package limiter
