package filter

import (
	"context"
	"fmt"

	"toucanhitch.example/toucanhitch/internal/runner"
)

// Filter makes one decision about a request.
type Filter interface {
	Filter(ctx context.Context, request *Request) Verdict
}

// Chain is a list of filters in the order in which they run. The last filter
// must not return Pass.
type Chain []Filter

// Run runs the filters on a request until one returns Accept or Refuse, and
// returns that verdict. Before it returns, also if a filter panics, it runs the
// CleanUp functions of the filters that passed the request, in reverse order.
func (c Chain) Run(ctx context.Context, request *Request) (verdict Verdict) {
	// The clean-ups see this verdict only if a filter panics.
	verdict = Refuse{Refusal: Refusal{Reason: OutcomeUnknown, Detail: "the node failed internally", Run: Unknown}}
	for _, filter := range c {
		switch decision := filter.Filter(ctx, request).(type) {
		case Pass:
			if decision.CleanUp != nil {
				defer func() { decision.CleanUp(outcomeOf(verdict)) }()
			}
			if decision.Context != nil {
				ctx = decision.Context
			}
		case Refuse, Accept:
			return decision
		default:
			panic(fmt.Sprintf("filter %T returned %T", filter, decision))
		}
	}
	return refuse(NoEndpoint, "no filter answered the request")
}

// RunGuarded runs the filters like Run and refuses a request for which a filter panics. The
// request may have run. The cause of the refusal is a runner.Panic.
func (c Chain) RunGuarded(ctx context.Context, request *Request) (verdict Verdict) {
	var err error
	defer func() {
		if err != nil {
			refused := refuse(OutcomeUnknown, "the node failed internally")
			refused.Refusal.Run, refused.Cause = Unknown, err
			verdict = refused
		}
	}()
	defer runner.RecoverPanic("request "+request.Identity, &err)
	return c.Run(ctx, request)
}

func outcomeOf(verdict Verdict) Outcome {
	switch verdict := verdict.(type) {
	case Accept:
		return Outcome{Used: verdict.Used}
	case Refuse:
		return Outcome{Refusal: &verdict.Refusal, Used: verdict.Used}
	default:
		return Outcome{}
	}
}
