package caller

import (
	"fmt"
	"time"
)

// Run says whether a request ran.
type Run string

// The values of Run.
const (
	// NotRun is certain.
	NotRun  Run = "not run"
	Ran     Run = "ran"
	Unknown Run = "unknown"
)

// Problem is an error that a node answered, in the form of RFC 9457.
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
	// Run says whether the request ran.
	Run Run
	// Identity is the request's Idempotency-Key, to ask again with.
	IdempotencyKey string
	// Begun says that a part of the answer was passed on.
	Emitted bool
	// RetryAfter is when the node said that asking again may help.
	RetryAfter time.Duration
	// Temporary says that asking again can help.
	Temporary bool
	// Err is a Problem if a node answered with one.
	Err error
}

// Error implements the error interface.
func (f Failure) Error() string {
	return fmt.Sprintf("request %s failed (%s): %v", f.IdempotencyKey, f.Run, f.Err)
}

// Unwrap returns the cause.
func (f Failure) Unwrap() error { return f.Err }

const (
	// maxAttempts bounds the attempts of a request whatever the budget.
	maxAttempts = 4
	// maxRetryWait is the longest wait before a repetition; if the node asks
	// for more, the caller decides.
	maxRetryDelay = 2 * time.Second
	// retryWait is the wait if the node names none; it doubles.
	initialRetryDelay = 50 * time.Millisecond
)

// mayRepeat says whether a request that failed may be sent again, and after
// which wait. Work that may have run is repeated only if it is idempotent and
// none of its answer was passed on.
func retryDelay(failure Failure, idempotent bool, attempts int) (time.Duration, bool) {
	safe := failure.Run == NotRun || idempotent
	if !safe || failure.Emitted || !failure.Temporary || attempts >= maxAttempts {
		return 0, false
	}
	delay := max(failure.RetryAfter, initialRetryDelay<<(attempts-1))
	return delay, delay <= maxRetryDelay
}
