// Package dispatcher sends attempts to endpoints and streams their answers
// back.
//
// It owns the connections to endpoints. It answers two questions that the
// rest of the system relies on: whether an attempt certainly did not run, and
// whether every line of an answer belongs to the attempt that asked for it.
package dispatcher
