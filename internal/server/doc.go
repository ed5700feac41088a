// Package server is the HTTP front of a node.
//
// It reads callers' requests, runs them through the filter chain and writes
// the answers in the formats that callers know. A caller's key ends here: the
// rest of the system sees only its digest.
package server
