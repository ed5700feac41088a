package forwarder

import (
	"errors"
	"fmt"
	"time"

	"toucanhitch.example/toucanhitch/internal/balancer"
	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/screener"
)

// recordFailure records a failed attempt and returns the result to report for
// the replica.
func (j *job) recordFailure(placement balancer.Placement, err error) balancer.Result {
	j.lastErr = err
	j.excluded = append(j.excluded, placement.Replica)
	if errors.Is(err, ErrCallerGone) {
		return balancer.Abandoned
	}
	if errors.Is(err, ErrShutdown) || errors.Is(err, ErrPartitioned) {
		j.possibleRuns++
		j.log("attempt failed", placement, 0, 0, err)
		return balancer.Abandoned
	}
	if errors.Is(err, ErrRanDespiteStatus) {
		j.possibleRuns++
		j.log("attempt failed", placement, 0, 0, err)
		return balancer.ServerError
	}
	if !errors.Is(err, ErrNotSent) {
		j.possibleRuns++
		if !isInvalidAnswer(err) {
			j.Pool.closeIdleTo(placement.Address)
		}
	}
	j.log("attempt failed", placement, 0, 0, err)
	if errors.Is(err, ErrReadTimeout) {
		return balancer.TimedOut
	}
	return balancer.Failed
}

// isInvalidAnswer reports whether an attempt failed because of what the replica sent, which does
// not make its other connections doubtful.
func isInvalidAnswer(err error) bool {
	return errors.Is(err, ErrInvalidResponse) || errors.Is(err, ErrEventOrder)
}

// reportNotice reports what the replica has announced, that it names no limit any
// more, or that it takes requests again.
func (j *job) reportNotice(placement balancer.Placement, refused bool) {
	if j.notice.RateLimit == 0 && !j.notice.Brittle && !placement.Limited && !placement.Returning && !j.notice.Leaving && j.notice.RetryAfter == 0 {
		return
	}
	err := j.Placer.Post(balancer.NoticeReceived{
		PlacementID: placement.ID, Accepted: !refused && j.notice.RetryAfter == 0,
		Replica: placement.Replica, StartedMS: placement.StartedMS,
		Brittleness: balancer.Brittleness{Brittle: j.notice.Brittle, MaxRefusals: j.notice.MaxRefusals},
		RateLimit:   j.notice.RateLimit, Leaving: j.notice.Leaving, RetryAfter: j.notice.RetryAfter,
	})
	if err != nil {
		j.log("notice of the replica not recorded", balancer.Placement{}, 0, 0, fmt.Errorf("replica %s: %w", placement.Replica, err))
	}
}

// reportBreak reports an attempt that broke off before the first event of its answer.
// A time-out is no such break: overloaded replicas cause them as well.
func (j *job) reportBreak(placement balancer.Placement, err error, sentAt time.Time, headReceived bool) {
	if !errors.Is(err, ErrTruncated) {
		return
	}
	j.Screen.RecordBreak(screener.AttemptBroke{
		Request:      j.forward.Attempt,
		Fingerprint:  fingerprint(j.forward),
		Service:      j.forward.Service,
		Replica:      process(placement),
		Parts:        j.forward.SharedParts,
		HeadReceived: headReceived,
		SentAt:       sentAt,
	})
}

func process(placement balancer.Placement) screener.Process {
	return screener.Process{ID: placement.Replica, StartedMS: placement.StartedMS}
}

// verdictAfterFailure returns nil if another attempt may follow a failed one, and
// the final verdict otherwise.
func (j *job) verdictAfterFailure(err error) filter.Verdict {
	switch {
	case errors.Is(err, ErrCallerGone):
		return j.end(filter.CallerGone, "the caller is gone")
	case errors.Is(err, ErrShutdown):
		return j.end(filter.EndpointFailed, "this node shuts down")
	case j.attemptsSent >= maxAttemptsSent:
		return j.end(filter.EndpointFailed, "too many attempts")
	case errors.Is(err, ErrNotSent):
		return nil
	case !j.forward.Route.Repeatable(), j.possibleRuns >= j.forward.Route.MaxAttempts:
		return j.end(filter.EndpointFailed, "the replica did not answer or failed")
	case !j.responseStarted && j.Screen.IsSuspect(subject(j.forward)):
		return j.end(filter.EndpointFailed, "replicas may have crashed on this request")
	}
	return nil
}

// placementRefused ends a request for which the balancer has no replica.
func (j *job) placementRefused(refusal balancer.Refusal) filter.Verdict {
	reason := filter.NoEndpoint
	if refusal.Evacuated {
		reason = filter.Evacuated
	}
	return j.endAndRetryAfter(reason, refusal.Reason, refusal.RetryAfter)
}

// endAndRetryAfter ends a request like end. If the request has not run, the caller may
// retry it after the given time.
func (j *job) endAndRetryAfter(reason filter.Reason, detail string, retryAfter time.Duration) filter.Verdict {
	verdict := j.end(reason, detail)
	if refuse, ok := verdict.(filter.Refuse); ok && refuse.Refusal.Run == filter.NotRun {
		refuse.Refusal.RetryAfter = retryAfter
		return refuse
	}
	return verdict
}

// end ends a request without another attempt. The verdict is NotRun only if it is
// certain that no attempt ran.
func (j *job) end(reason filter.Reason, detail string) filter.Verdict {
	j.log("ended: "+detail, balancer.Placement{}, 0, 0, j.lastErr)
	switch {
	case reason == filter.CallerGone:
		return newRefusal(filter.CallerGone, filter.Unknown, 0, detail)
	case j.responseStarted:
		return newRefusal(filter.StreamBroken, filter.Unknown, 0, detail)
	case j.fallback != nil:
		return *j.fallback
	case j.possibleRuns > 0 && reason == filter.DeadlinePassed:
		return newRefusal(filter.DeadlinePassed, filter.Unknown, 0, detail)
	case j.possibleRuns > 0 && errors.Is(j.lastErr, ErrReadTimeout):
		return newRefusal(filter.DeadlinePassed, filter.Unknown, 0, detail)
	case j.possibleRuns > 0:
		return newRefusal(filter.EndpointFailed, filter.Unknown, 0, detail)
	case reason == filter.EndpointFailed:
		reason = filter.Overloaded
	}
	return newRefusal(reason, filter.NotRun, otherNodeRetryDelay, detail)
}

func (j *job) log(text string, placement balancer.Placement, firstByte time.Duration, status int, err error) {
	_, currentAsOf := j.View.Configuration()
	now := j.Clock.Now()
	identity := ""
	if err != nil {
		identity = fingerprint(j.forward)
	}
	j.Log(Event{
		Text:             text,
		Forward:          j.forward,
		Workspace:        j.request.Workspace,
		Replica:          placement.Replica,
		Version:          placement.Version,
		AttemptsSent:     j.attemptsSent,
		Candidates:       j.candidates,
		Waited:           j.waited,
		FirstByte:        firstByte,
		Duration:         now.Sub(j.request.Arrived),
		Status:           status,
		Measurement:      j.observed.measurement(text == answeredText, now),
		Notice:           j.notice,
		EventsPassed:     j.events.Passed,
		Silence:          j.observed.silence(now),
		Fingerprint:      identity,
		Err:              err,
		ConfigurationAge: now.Sub(currentAsOf),
	})
}
