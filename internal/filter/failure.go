package filter

import (
	"context"
	"errors"
	"fmt"
)

// failureOf returns the failure of an attempt. Of an unexpected error it is
// not known whether the attempt ran.
func failureOf(err error) Failure {
	var failure Failure
	if !errors.As(err, &failure) {
		return Failure{Run: Unknown, Err: err}
	}
	return failure
}

// combineRuns joins what is known of two attempts: a request did not run only if
// none of its attempts ran.
func combineRuns(a, b Run) Run {
	switch {
	case a == Ran || b == Ran:
		return Ran
	case a == NotRun && b == NotRun:
		return NotRun
	default:
		return Unknown
	}
}

// failedVerdict is the verdict of a request that could not be finished. Tokens that
// reached the caller were used, and so was the prompt if an endpoint took it.
// The last attempt failed with err; run says whether any of them ran.
func failedVerdict(ctx context.Context, err error, run Run, delivered, promptTokens int) Verdict {
	failure := failureOf(err)
	failure.Run = run
	used := 0
	if delivered > 0 || failure.Run != NotRun {
		used = promptTokens + delivered
	}
	switch {
	case errors.Is(context.Cause(ctx), ErrKeyWithdrawn):
		return refuseAfterStart(KeyWithdrawn, runAfterDelivery(failure, delivered), used, "the key was withdrawn")
	case errors.Is(context.Cause(ctx), ErrDraining):
		return refuseAfterStart(Draining, runAfterDelivery(failure, delivered), used, "the node left before the request ended")
	case delivered > 0:
		return refuseAfterStart(StreamBroken, Ran, used, "the answer broke off after %d tokens", delivered).withCause(failure.Err)
	case failure.Run == NotRun:
		return refuse(NoEndpoint, "no endpoint took the request").withCause(failure.Err)
	default:
		return refuseAfterStart(EndpointFailed, failure.Run, used, "the endpoint failed").withCause(failure.Err)
	}
}

func runAfterDelivery(failure Failure, delivered int) Run {
	if delivered > 0 {
		return Ran
	}
	return failure.Run
}

func refuseAfterStart(reason Reason, run Run, used int, format string, arguments ...any) Refuse {
	return Refuse{
		Refusal: Refusal{Reason: reason, Run: run, Detail: fmt.Sprintf(format, arguments...)},
		Used:    used,
	}
}

// withCause adds what only the logs may say.
func (r Refuse) withCause(err error) Refuse {
	r.Cause = err
	return r
}
