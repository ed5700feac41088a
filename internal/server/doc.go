// Package server implements the HTTP API of a node for callers.
//
// It reads callers' requests, runs them through the filter chain and writes
// the responses in the OpenAI format or, for plain services, as the service
// replied. A caller's key does not leave this package: the rest of the system
// handles only its digest.
package server
