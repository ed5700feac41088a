package caller

import (
	"fmt"
	"time"
)

// Run is what is known of whether a request ran.
type Run string

// The values of Run.
const (
	// NotRun means that the request certainly did not run.
	NotRun Run = "not run"
	// Ran means that the request ran, at least in part.
	Ran Run = "ran"
	// Unknown means that the request may have run.
	Unknown Run = "unknown"
)

// Problem is an error response of a node, in the format of RFC 9457.
type Problem struct {
	Type     string
	Title    string
	Status   int
	Detail   string
	Instance string
	Run      Run
}

// Error implements the error interface.
func (p Problem) Error() string { return p.Title + ": " + p.Detail }

// Failure is the error of a request.
type Failure struct {
	// Run is what is known of whether the request ran.
	Run Run
	// IdempotencyKey is the key that the request was sent with. A request with
	// the same key returns the outcome of this one if it is known.
	IdempotencyKey string
	// Emitted reports whether part of the response was passed to emit.
	Emitted bool
	// RetryAfter is the node's Retry-After; 0 means that it sent none.
	RetryAfter time.Duration
	// Temporary reports whether a retry may succeed.
	Temporary bool
	// Err is the cause; it is a Problem if a node responded with one.
	Err error
}

// Error implements the error interface.
func (f Failure) Error() string {
	return fmt.Sprintf("request %s failed (%s): %v", f.IdempotencyKey, f.Run, f.Err)
}

// Unwrap returns the cause.
func (f Failure) Unwrap() error { return f.Err }

const (
	// maxAttempts limits the attempts of a request, whatever the retry budget.
	maxAttempts = 4
	// maxRetryDelay is the longest delay before a retry. If the node requests a
	// longer one, the client returns the failure and the caller decides.
	maxRetryDelay = 2 * time.Second
	// initialRetryDelay is the shortest delay before the first retry; it doubles
	// with each further retry.
	initialRetryDelay = 50 * time.Millisecond
)

// retryDelay returns the delay before a retry of a failed request, and whether
// it may be retried. A request that may have run is retried only if it is
// idempotent. No request is retried once part of its response was emitted.
func retryDelay(failure Failure, idempotent bool, attempts int) (time.Duration, bool) {
	safe := failure.Run == NotRun || idempotent
	if !safe || failure.Emitted || !failure.Temporary || attempts >= maxAttempts {
		return 0, false
	}
	delay := max(failure.RetryAfter, initialRetryDelay<<(attempts-1))
	return delay, delay <= maxRetryDelay
}
