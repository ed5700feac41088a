package forwarder

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/logger"
	"toucanhitch.example/toucanhitch/internal/rationer"
	"toucanhitch.example/toucanhitch/internal/resolver"
	"toucanhitch.example/toucanhitch/internal/screener"
)

const (
	// maxAuthoritativeAge is the maximum age of the configuration at which a
	// node reports that a route or key does not exist. At a greater age a newer
	// version may have added it.
	maxAuthoritativeAge = 1600 * time.Millisecond
	// otherNodeRetryDelay is the delay for a retry of a request that another
	// node may be able to serve.
	otherNodeRetryDelay = 250 * time.Millisecond
	// minTimeLeft is the time left below which no attempt is started.
	minTimeLeft = 20 * time.Millisecond
	// maxQuotaWaitObjectives is the share of its objective that a request may wait for its
	// workspace's limit, and maxQuotaWaitShare that of its time. The rest is left for the
	// replica: a request that is served late takes units that another would have used in
	// time.
	maxQuotaWaitObjectives = 0.6
	maxQuotaWaitShare      = 0.3
	// proofTime is how long a read of the configuration and its publication take once
	// reads can prove something again.
	proofTime = 100 * time.Millisecond
	// proofRetrySpread is the time over which callers then return.
	proofRetrySpread = 300 * time.Millisecond
)

// ConfigurationView provides the current configuration of this node.
type ConfigurationView interface {
	// Configuration returns the configuration, nil before the first one is
	// known, and the time at which it was last known to be the newest.
	Configuration() (*resolver.Configuration, time.Time)
	// ProofDelayedUntil returns the time before which no node may have a proof that a
	// configuration is the newest, zero if there is none.
	ProofDelayedUntil() time.Time
}

// ResolveRoute finds the route of a request and sets its deadline.
type ResolveRoute struct {
	View  ConfigurationView
	Clock clockwork.Clock
}

// Filter implements filter.Filter.
func (f ResolveRoute) Filter(_ context.Context, request *filter.Request) filter.Verdict {
	forward, ok := request.Work.(*filter.Forward)
	if !ok {
		return newRefusal(filter.MalformedRequest, filter.NotRun, 0, "not a request to forward")
	}
	configuration, currentAsOf := f.View.Configuration()
	if configuration == nil {
		return refuseNotCurrent(f.View, f.Clock.Now(), "this node does not know the configuration yet")
	}
	route, ok := configuration.FindRoute(forward.Host, forward.Path)
	if !ok {
		if f.Clock.Since(currentAsOf) > maxAuthoritativeAge {
			return refuseNotCurrent(f.View, f.Clock.Now(), "this node's configuration may be old")
		}
		return newRefusal(filter.UnknownRoute, filter.NotRun, 0, "no route for this host and path")
	}
	if limit := configuration.Limits.BodyBytes; limit > 0 && int64(len(forward.Body)) > limit {
		return newRefusal(filter.TooLarge, filter.NotRun, 0, fmt.Sprintf("at most %d bytes are allowed", limit))
	}
	forward.Route = route
	forward.Service = route.PickService(rand.Float64())
	if route.Timeout > 0 {
		if deadline := request.Arrived.Add(route.Timeout); request.Deadline.IsZero() || deadline.Before(request.Deadline) {
			request.Deadline = deadline
		}
	}
	return filter.Pass{}
}

// Authorize finds the workspace of a request's key. A node whose keys are not
// known to be current refuses the request, because the key may have been
// withdrawn.
type Authorize struct {
	View  ConfigurationView
	Clock clockwork.Clock
	// MaxKeyAge returns the maximum time since the configuration was last known
	// to be the newest.
	MaxKeyAge func() time.Duration
}

// Filter implements filter.Filter.
func (f Authorize) Filter(_ context.Context, request *filter.Request) filter.Verdict {
	forward := request.Work.(*filter.Forward)
	if forward.Route.Public {
		return filter.Pass{}
	}
	configuration, currentAsOf := f.View.Configuration()
	now := f.Clock.Now()
	age := now.Sub(currentAsOf)
	if age > f.MaxKeyAge() {
		return refuseNotCurrent(f.View, now, fmt.Sprintf("keys were last current %v ago", age))
	}
	workspace, ok := configuration.Authorize(request.KeyDigest)
	switch {
	case ok:
		request.Workspace, forward.Workspace = workspace.Name, workspace
		return filter.Pass{}
	case age > maxAuthoritativeAge:
		return refuseNotCurrent(f.View, now, "this node's keys may be old")
	case request.KeyDigest == "":
		return newRefusal(filter.MissingKey, filter.NotRun, 0, "a key is needed")
	}
	return newRefusal(filter.UnknownKey, filter.NotRun, 0, "the key is not granted or has been withdrawn")
}

// ScreenRequest refuses requests that crash replicas, as a whole or by a part of their
// prompt.
type ScreenRequest struct{ Screen Screen }

// Filter implements filter.Filter.
func (f ScreenRequest) Filter(ctx context.Context, request *filter.Request) filter.Verdict {
	if err := f.Screen.Await(ctx); err != nil {
		return newRefusal(filter.CallerGone, filter.NotRun, 0, "the caller is gone")
	}
	trait, remaining := f.Screen.Quarantined(subject(request.Work.(*filter.Forward)))
	if trait == "" {
		return filter.Pass{}
	}
	return newRefusal(filter.Quarantined, filter.NotRun, remaining, quarantineDetail(trait))
}

func quarantineDetail(trait screener.Trait) string {
	if fingerprint, ok := screener.RequestFingerprint(trait); ok {
		return "replicas crash on this request, " + fingerprint
	}
	return "replicas crash on part " + trait + " of the prompt"
}

// LimitRate takes the units of a request from the rate limit of its workspace. If the limit has
// room for it soon, the request waits.
type LimitRate struct {
	Limits *rationer.Task
	// Observe receives the wait of each request. It must not block.
	Observe func(Wait)
}

// Filter implements filter.Filter.
func (f LimitRate) Filter(ctx context.Context, request *filter.Request) filter.Verdict {
	forward := request.Work.(*filter.Forward)
	if forward.Workspace.Rate <= 0 {
		return filter.Pass{}
	}
	units := forward.Workspace.Cost(forward.PromptTokens + forward.OutputTokens)
	decision, err := f.Limits.Take(ctx, rationer.Take{
		Workspace: forward.Workspace,
		Units:     units,
		WaitUntil: request.Arrived.Add(maxQuotaWait(forward.Route, request.Deadline.Sub(request.Arrived))),
		Rank:      forward.Rank(),
		Deadline:  request.Deadline,
	})
	if err != nil {
		return newRefusal(filter.Overloaded, filter.NotRun, otherNodeRetryDelay, err.Error())
	}
	f.Observe(Wait{For: waitForQuota, Rank: forward.Rank(), Refused: !decision.Taken, Duration: decision.Waited})
	if !decision.Taken {
		return newRefusal(filter.RateLimited, filter.NotRun, decision.RetryAfter,
			fmt.Sprintf("the workspace is over its limit by %.0f units, as of %s; the request takes %.0f of %.0f a second",
				-decision.Level, logger.FormatAge(decision.Age.Round(time.Millisecond)), units, forward.Workspace.Rate))
	}
	return filter.Pass{}
}

// maxQuotaWait returns how long a request on a route may wait for its workspace's limit if it
// has the given time.
func maxQuotaWait(route resolver.Route, available time.Duration) time.Duration {
	return min(time.Duration(maxQuotaWaitObjectives*float64(route.Objective)), time.Duration(maxQuotaWaitShare*float64(available)))
}

// refuseNotCurrent refuses a request because this node's configuration may not be the
// newest. Another node may serve it, unless proofs are delayed at all of them.
func refuseNotCurrent(view ConfigurationView, now time.Time, detail string) filter.Refuse {
	retryAfter := otherNodeRetryDelay
	if delay := view.ProofDelayedUntil().Sub(now); delay > 0 {
		retryAfter = max(retryAfter, delay+proofTime+time.Duration(rand.Int64N(int64(proofRetrySpread))))
	}
	return newRefusal(filter.NotCurrent, filter.NotRun, retryAfter, detail)
}

func newRefusal(reason filter.Reason, run filter.Run, retryAfter time.Duration, detail string) filter.Refuse {
	return filter.Refuse{Refusal: filter.Refusal{Reason: reason, Detail: detail, Run: run, RetryAfter: retryAfter}}
}
