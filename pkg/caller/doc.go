// Package caller is the client library for callers of toucanhitch.
//
// There is no load balancer: the client asks any known node which address to
// use, keeps the answer for its lifetime and connects directly. It repeats a
// request only if the answer says that it did not run, or if the request is
// idempotent, and only within a small budget.
package caller
