package forwarder

import (
	"context"
	"fmt"
	"time"

	"toucanhitch.example/toucanhitch/internal/balancer"
	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/permitter"
)

const (
	// abortedRunTime is how long a replica may go on with a request after its connection
	// was closed.
	abortedRunTime = 1500 * time.Millisecond
	// permitRetryDelay is the time after which a permit is requested again from a node that
	// did not answer.
	permitRetryDelay = 250 * time.Millisecond
)

// Permits grants the permits of brittle replicas. The granter is a node by its address for
// callers.
type Permits interface {
	Acquire(ctx context.Context, granter string, request permitter.Request) (permitter.Decision, error)
	Release(granter string, release permitter.Release)
}

// attemptWithPermit makes an attempt, for which a brittle replica needs a permit. Without one the
// request returns to the queue, where it is given up at giveUpAt, or after the usual time if that
// is zero.
func (j *job) attemptWithPermit(ctx context.Context, placement balancer.Placement, giveUpAt time.Time) filter.Verdict {
	if placement.Permit == nil {
		return j.attempt(ctx, placement)
	}
	permit := j.newPermit(placement)
	if retryAfter, granted := j.acquire(ctx, permit, placement); !granted {
		j.giveUpAt = giveUpAt
		_ = j.Placer.Post(balancer.AttemptEnded{PlacementID: placement.ID, Result: balancer.NotPermitted, RetryAfter: retryAfter})
		return nil
	}
	j.giveUpAt, j.result = time.Time{}, balancer.Abandoned
	sentBefore := j.attemptsSent
	defer func() { j.release(permit, placement, j.attemptsSent > sentBefore) }()
	return j.attempt(ctx, placement)
}

func (j *job) newPermit(placement balancer.Placement) permitter.Permit {
	return permitter.Permit{
		ID:      fmt.Sprintf("%s/%d", j.forward.Attempt, placement.ID),
		Replica: placement.Replica, StartedMS: placement.StartedMS,
	}
}

// acquire requests a permit for an attempt. If it is not granted, it returns the time after
// which it may be requested again.
func (j *job) acquire(ctx context.Context, permit permitter.Permit, placement balancer.Placement) (time.Duration, bool) {
	left := j.request.Deadline.Sub(j.Clock.Now())
	decision, err := j.Permits.Acquire(ctx, placement.Permit.Granter, permitter.Request{
		Permit: permit, Capacity: placement.Permit.Capacity, Active: placement.Permit.Active,
		MaxRefusals: placement.Permit.MaxRefusals, TTL: left + abortedRunTime,
	})
	if err != nil {
		// The permit may have been granted.
		j.Permits.Release(placement.Permit.Granter, permitter.Release{Permit: permit})
		j.log("no permit", placement, 0, 0, err)
		return permitRetryDelay, false
	}
	return decision.RetryAfter, decision.Granted
}

// release returns the permit of an attempt that has ended. Sent is set unless nothing was sent.
func (j *job) release(permit permitter.Permit, placement balancer.Placement, sent bool) {
	release := permitter.Release{Permit: permit}
	switch j.result {
	case balancer.Answered, balancer.ServerError, balancer.ModelMissing:
	case balancer.Refused:
		release.Refused = true
	default:
		if sent {
			release.Linger = abortedRunTime
		}
	}
	j.Permits.Release(placement.Permit.Granter, release)
}
