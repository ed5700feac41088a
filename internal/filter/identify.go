package filter

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
)

// Default deadlines of the classes, from a request's arrival.
const (
	InteractivePatience = 10 * time.Second
	AssuredPatience     = time.Minute
	DeferredPatience    = 10 * time.Minute
	maxPatience         = time.Hour
)

const maxIdentityBytes = 128

// Identify gives a request its identity, class and deadline.
type Identify struct {
	Clock clockwork.Clock
}

// Filter implements the Filter interface.
func (f Identify) Filter(_ context.Context, request *Request) Verdict {
	if request.Class == "" {
		request.Class = Interactive
	}
	patience, ok := defaultPatience(request.Class)
	if !ok {
		return refuse(MalformedRequest, "class %q is not allowed; want interactive, assured or deferred", request.Class)
	}
	if request.Patience < 0 || request.Patience > maxPatience {
		return refuse(MalformedRequest, "deadline %s is not allowed; want more than 0s and at most %s", request.Patience, maxPatience)
	}
	if request.Patience > 0 {
		patience = request.Patience
	}
	request.Deadline = request.Arrived.Add(patience)
	if !request.IdentityGiven {
		request.Identity = uuid.NewString()
	}
	if !printable(request.Identity) {
		return refuse(MalformedRequest, "Idempotency-Key must be 1 to %d printable ASCII characters", maxIdentityBytes)
	}
	if !request.Deadline.After(f.Clock.Now()) {
		return refuse(DeadlinePassed, "the deadline passed before the request was read")
	}
	return Pass{}
}

func defaultPatience(class Class) (time.Duration, bool) {
	switch class {
	case Interactive:
		return InteractivePatience, true
	case Assured:
		return AssuredPatience, true
	case Deferred:
		return DeferredPatience, true
	default:
		return 0, false
	}
}

func printable(identity string) bool {
	if len(identity) == 0 || len(identity) > maxIdentityBytes {
		return false
	}
	for _, char := range []byte(identity) {
		if char < 0x20 || char > 0x7e {
			return false
		}
	}
	return true
}

// refuse returns a refusal that certainly did not run.
func refuse(reason Reason, format string, arguments ...any) Refuse {
	return Refuse{Refusal: Refusal{Reason: reason, Detail: fmt.Sprintf(format, arguments...), Run: NotRun}}
}
