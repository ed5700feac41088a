// Package caller is the client library for callers of toucanhitch.
//
// There is no load balancer in front of the nodes: the client queries any known
// node for the addresses to use, caches the response for its lifetime and
// connects directly. It retries a request only if the response reports that the
// request did not run, or if the request is idempotent, and only within a small
// retry budget.
package caller
