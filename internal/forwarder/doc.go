// Package forwarder sends a caller's request to replicas and its answer back
// byte for byte.
//
// It owns the connections to the replicas, because a general client would
// repeat requests, follow redirects or hand the late answer of one request to
// another. What an attempt has shown decides whether the request may be sent
// again: only a request that certainly did not run, or that may run twice.
package forwarder
