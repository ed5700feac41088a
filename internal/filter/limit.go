package filter

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"
)

// CallTokens is the number of tokens that a service call takes from the limit of
// its workspace.
const CallTokens = 1

// Reservation is a number of tokens reserved for one request.
type Reservation struct {
	// ID identifies the reservation at its node; 0 means no reservation.
	ID        uint64
	Workspace string
	Tokens    int
}

// Limits enforces the rate and burst of each workspace.
type Limits interface {
	// Reserve waits for tokens until the deadline. The error is a Refusal or
	// the error of the context.
	Reserve(ctx context.Context, workspace string, tokens int, deadline time.Time) (Reservation, error)
	// Confirm must be called before the tokens are used. It waits for new
	// tokens if the reservation has expired. The error is a Refusal or the
	// error of the context; after an error the reservation holds no tokens.
	Confirm(ctx context.Context, reservation Reservation, deadline time.Time) (Reservation, error)
	// Settle ends a reservation; used is the number of tokens consumed.
	Settle(reservation Reservation, used int)
}

// Limit reserves the largest number of tokens that a request may use.
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

// Confirm ensures that the tokens of a request are still reserved when it gets
// its slot: a request can wait for a slot for longer than its reservation lasts.
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

// maxInteractiveTokenWait is the maximum time that an interactive request waits
// for tokens. It is long enough for the takeover of the limits owner's lease
// after a crash.
const maxInteractiveTokenWait = 5 * time.Second

// tokenDeadline returns the time until which a request waits for tokens. An
// interactive request keeps half of its remaining time for the answer; the
// others wait until their deadline.
func tokenDeadline(now time.Time, request *Request) time.Time {
	if request.Class != Interactive {
		return request.Deadline
	}
	return now.Add(min(request.Deadline.Sub(now)/2, maxInteractiveTokenWait))
}

// maxTokenCost returns the largest number of tokens that work can use.
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

// refuseForError converts an error of the limiter, the scheduler or the recorder
// to a verdict for a request that certainly did not run. The cause of the
// context, if it has ended, explains an error that is not a Refusal.
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
