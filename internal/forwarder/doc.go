// Package forwarder sends a caller's request to a replica and passes the
// response back byte for byte.
//
// It owns the connections to the replicas, because a general HTTP client would
// repeat requests, follow redirects or take the late response to one request as
// the response to another. A request is sent again only if it certainly did not
// run, or if it may run more than once.
package forwarder
