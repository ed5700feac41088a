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
)

const (
	// staleConfiguration is the age of the configuration from which on a node
	// does not say that a route or key does not exist: a newer version may
	// have it.
	staleConfiguration = 1600 * time.Millisecond
	// elsewhereRetry is when a request may come back that another node may be
	// able to serve.
	elsewhereRetry = 250 * time.Millisecond
	// leastTime is the time left below which a request is not begun.
	leastTime = 20 * time.Millisecond
)

// View is the configuration in force at this node.
type View interface {
	// Configuration returns nil before the first one is known, and the time up
	// to which it is known to be the newest.
	Configuration() (*resolver.Configuration, time.Time)
}

// Locate finds the route of a request.
type Locate struct {
	View  View
	Clock clockwork.Clock
}

// Filter implements filter.Filter.
func (f Locate) Filter(_ context.Context, request *filter.Request) filter.Verdict {
	forward, ok := request.Work.(*filter.Forward)
	if !ok {
		return refuse(filter.MalformedRequest, filter.NotRun, 0, "not a request to forward")
	}
	configuration, provenAt := f.View.Configuration()
	if configuration == nil {
		return refuse(filter.NotCurrent, filter.NotRun, elsewhereRetry, "this node does not know the configuration yet")
	}
	route, ok := configuration.FindRoute(forward.Host, forward.Path)
	if !ok {
		if f.Clock.Since(provenAt) > staleConfiguration {
			return refuse(filter.NotCurrent, filter.NotRun, elsewhereRetry, "this node's configuration may be old")
		}
		return refuse(filter.UnknownRoute, filter.NotRun, 0, "no route for this host and path")
	}
	if limit := configuration.Limits.BodyBytes; limit > 0 && int64(len(forward.Body)) > limit {
		return refuse(filter.TooLarge, filter.NotRun, 0, fmt.Sprintf("at most %d bytes are allowed", limit))
	}
	forward.Route = route
	forward.Service = route.PickService(rand.Float64())
	if route.Timeout > 0 {
		if end := request.Arrived.Add(route.Timeout); request.Deadline.IsZero() || end.Before(request.Deadline) {
			request.Deadline = end
		}
	}
	return filter.Pass{}
}

// Authorize finds the workspace of a request's key. A node that cannot show
// that its keys are current refuses, because a key may have been withdrawn.
type Authorize struct {
	View  View
	Clock clockwork.Clock
	// Currency returns the longest time since the configuration was known to be
	// the newest.
	Currency func() time.Duration
}

// Filter implements filter.Filter.
func (f Authorize) Filter(_ context.Context, request *filter.Request) filter.Verdict {
	forward := request.Work.(*filter.Forward)
	if forward.Route.Public {
		return filter.Pass{}
	}
	configuration, provenAt := f.View.Configuration()
	age := f.Clock.Since(provenAt)
	if age > f.Currency() {
		return refuse(filter.NotCurrent, filter.NotRun, elsewhereRetry, fmt.Sprintf("keys were last current %v ago", age))
	}
	customer, ok := configuration.Authorize(request.KeyDigest)
	switch {
	case ok:
		request.Workspace, forward.Customer = customer.Name, customer
		return filter.Pass{}
	case age > staleConfiguration:
		return refuse(filter.NotCurrent, filter.NotRun, elsewhereRetry, "this node's keys may be old")
	case request.KeyDigest == "":
		return refuse(filter.MissingKey, filter.NotRun, 0, "a key is needed")
	}
	return refuse(filter.UnknownKey, filter.NotRun, 0, "the key is not granted or has been withdrawn")
}

// Ration takes the request's units from its workspace's limit.
type Ration struct{ Limits *rationer.Task }

// Filter implements filter.Filter.
func (f Ration) Filter(ctx context.Context, request *filter.Request) filter.Verdict {
	forward := request.Work.(*filter.Forward)
	if forward.Customer.Rate <= 0 {
		return filter.Pass{}
	}
	units := forward.Customer.Cost(forward.PromptTokens + forward.OutputTokens)
	decision, err := f.Limits.Take(ctx, forward.Customer, units)
	if err != nil {
		return refuse(filter.Overloaded, filter.NotRun, elsewhereRetry, err.Error())
	}
	if !decision.Taken {
		return refuse(filter.RateLimited, filter.NotRun, decision.RetryAfter,
			fmt.Sprintf("the workspace is over its limit by %.0f units, as of %s; the request takes %.0f of %.0f a second",
				-decision.Level, logger.FormatAge(decision.Age.Round(time.Millisecond)), units, forward.Customer.Rate))
	}
	return filter.Pass{}
}

func refuse(reason filter.Reason, run filter.Run, retryAfter time.Duration, detail string) filter.Refuse {
	return filter.Refuse{Refusal: filter.Refusal{Reason: reason, Detail: detail, Run: run, RetryAfter: retryAfter}}
}
