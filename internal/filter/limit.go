package filter

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"
)

// CallTokens is what a service call takes from its workspace's limit.
const CallTokens = 1

// Reservation is a number of tokens set aside for one request.
type Reservation struct {
	// ID identifies the reservation at its node; 0 means none.
	ID        uint64
	Workspace string
	Tokens    int
}

// Limits keeps workspaces within their rate and burst.
type Limits interface {
	// Reserve waits for tokens until the deadline. The error is a Refusal or the context's.
	Reserve(ctx context.Context, workspace string, tokens int, deadline time.Time) (Reservation, error)
	// Confirm says that the tokens are about to be used. It waits for new
	// tokens if the reservation has expired. The error is a Refusal or the
	// context's, and then the reservation holds nothing.
	Confirm(ctx context.Context, reservation Reservation, deadline time.Time) (Reservation, error)
	// Settle ends a reservation of which used tokens were taken.
	Settle(reservation Reservation, used int)
}

// Limit reserves the tokens that a request may take at most.
type Limit struct {
	Clock  clockwork.Clock
	Limits Limits
}

// Filter implements the Filter interface.
func (f Limit) Filter(ctx context.Context, request *Request) Verdict {
	if request.Workspace == "" {
		return Pass{}
	}
	reservation, err := f.Limits.Reserve(ctx, request.Workspace, maxTokenCost(request.Work), tokenDeadline(f.Clock.Now(), request))
	if err != nil {
		return refuseForError(ctx, err)
	}
	request.Reservation = reservation
	return Pass{CleanUp: func(outcome Outcome) {
		f.Limits.Settle(request.Reservation, outcome.Used)
	}}
}

// Confirm makes sure that a request's tokens are still reserved when it gets
// its slot: a reservation expires, and a request can wait longer than that.
type Confirm struct {
	Clock  clockwork.Clock
	Limits Limits
}

// Filter implements the Filter interface.
func (f Confirm) Filter(ctx context.Context, request *Request) Verdict {
	if request.Workspace == "" {
		return Pass{}
	}
	reservation, err := f.Limits.Confirm(ctx, request.Reservation, tokenDeadline(f.Clock.Now(), request))
	if err != nil {
		request.Reservation = Reservation{Workspace: request.Workspace}
		return refuseForError(ctx, err)
	}
	request.Reservation = reservation
	return Pass{}
}

// maxInteractiveTokenWait is how long an interactive request waits for tokens at
// most. It covers the takeover of the owner's lease after a crash.
const maxInteractiveTokenWait = 5 * time.Second

// tokenDeadline is until when a request waits for tokens. An interactive one
// keeps half of its time for the answer; the others wait to their deadline.
func tokenDeadline(now time.Time, request *Request) time.Time {
	if request.Class != Interactive {
		return request.Deadline
	}
	return now.Add(min(request.Deadline.Sub(now)/2, maxInteractiveTokenWait))
}

// maxTokenCost is the largest number of tokens that work can take.
func maxTokenCost(work Work) int {
	switch work := work.(type) {
	case Generation:
		return work.PromptTokens + work.MaxTokens
	case Call:
		return CallTokens
	default:
		panic(fmt.Sprintf("unknown work %T", work))
	}
}

// refuseForError turns the error of a controller's front into a verdict for a request
// that certainly did not run.
func refuseForError(ctx context.Context, err error) Verdict {
	var refusal Refusal
	switch cause := context.Cause(ctx); {
	case errors.As(err, &refusal):
		return Refuse{Refusal: refusal}
	case errors.Is(cause, ErrKeyWithdrawn):
		return refuse(KeyWithdrawn, "the key was withdrawn while the request waited")
	case errors.Is(cause, ErrTargetWithdrawn):
		return refuse(UnknownModel, "the model or adapter was withdrawn while the request waited")
	case errors.Is(cause, ErrRouteWithdrawn):
		return refuse(UnknownRoute, "the route was withdrawn while the request waited")
	case errors.Is(cause, ErrDraining):
		return refuse(Draining, "the node left before the request could start")
	case cause != nil:
		return refuse(DeadlinePassed, "the request ended while it waited")
	default:
		return refuse(Overloaded, "%v", err)
	}
}
