package filter

import (
	"context"
	"errors"
	"fmt"
)

// failureOf returns the Failure in the chain of err. For any other error it is
// unknown whether the attempt ran.
func failureOf(err error) Failure {
	var failure Failure
	if !errors.As(err, &failure) {
		return Failure{Run: Unknown, Err: err}
	}
	return failure
}

// combineRuns combines the results of two attempts: a request ran if any of its
// attempts ran, and did not run only if none of them ran.
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

// failedVerdict returns the verdict of a request that could not be completed. It
// counts as used the tokens that were delivered to the caller, and those of the
// prompt unless it certainly did not run. err is the error of the last attempt;
// run reports whether any attempt ran.
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

// withCause returns a copy of r with the cause, which appears only in logs.
func (r Refuse) withCause(err error) Refuse {
	r.Cause = err
	return r
}
