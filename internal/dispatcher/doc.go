// Package dispatcher sends attempts to endpoints and streams their responses
// back.
//
// It owns the connections to endpoints. The rest of the system relies on two of
// its guarantees: an attempt that is reported as not run certainly did not run,
// and every line of a response belongs to the attempt that requested it.
package dispatcher
