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

// stronger joins what is known of two attempts: a request did not run only if
// none of its attempts ran.
func stronger(a, b Run) Run {
	switch {
	case a == Ran || b == Ran:
		return Ran
	case a == NotRun && b == NotRun:
		return NotRun
	default:
		return Unknown
	}
}

// broken is the verdict of a request that could not be finished. Tokens that
// reached the caller were used, and so was the prompt if an endpoint took it.
// The last attempt failed with err; ran says whether any of them ran.
func broken(ctx context.Context, err error, ran Run, delivered, promptTokens int) Verdict {
	failure := failureOf(err)
	failure.Run = ran
	used := 0
	if delivered > 0 || failure.Run != NotRun {
		used = promptTokens + delivered
	}
	switch {
	case errors.Is(context.Cause(ctx), ErrKeyWithdrawn):
		return broke(KeyWithdrawn, runOf(failure, delivered), used, "the key was withdrawn")
	case errors.Is(context.Cause(ctx), ErrDraining):
		return broke(Draining, runOf(failure, delivered), used, "the node left before the request ended")
	case delivered > 0:
		return broke(StreamBroken, Ran, used, "the answer broke off after %d tokens", delivered).causedBy(failure.Err)
	case failure.Run == NotRun:
		return refuse(NoEndpoint, "no endpoint took the request").causedBy(failure.Err)
	default:
		return broke(EndpointFailed, failure.Run, used, "the endpoint failed").causedBy(failure.Err)
	}
}

func runOf(failure Failure, delivered int) Run {
	if delivered > 0 {
		return Ran
	}
	return failure.Run
}

func broke(reason Reason, run Run, used int, format string, arguments ...any) Refuse {
	return Refuse{
		Refusal: Refusal{Reason: reason, Run: run, Detail: fmt.Sprintf(format, arguments...)},
		Used:    used,
	}
}

// causedBy adds what only the logs may say.
func (r Refuse) causedBy(err error) Refuse {
	r.Cause = err
	return r
}
