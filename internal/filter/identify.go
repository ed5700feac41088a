package filter

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
)

// Default timeouts of the classes, from the arrival of a request, and the
// largest that a caller may request.
const (
	InteractiveTimeout = 10 * time.Second
	AssuredTimeout     = time.Minute
	DeferredTimeout    = 10 * time.Minute
	maxTimeout         = time.Hour
)

const maxIdentityBytes = 128

// Identify sets the identity, class and deadline of a request.
type Identify struct {
	Clock clockwork.Clock
}

// Filter implements the Filter interface.
func (f Identify) Filter(_ context.Context, request *Request) Verdict {
	if request.Class == "" {
		request.Class = Interactive
	}
	timeout, ok := defaultTimeout(request.Class)
	if !ok {
		return refuse(MalformedRequest, "class %q is not allowed; want interactive, assured or deferred", request.Class)
	}
	if request.Timeout < 0 || request.Timeout > maxTimeout {
		return refuse(MalformedRequest, "deadline %s is not allowed; want more than 0s and at most %s", request.Timeout, maxTimeout)
	}
	if request.Timeout > 0 {
		timeout = request.Timeout
	}
	request.Deadline = request.Arrived.Add(timeout)
	if !request.IdentityGiven {
		request.Identity = uuid.NewString()
	}
	if !validIdentity(request.Identity) {
		return refuse(MalformedRequest, "Idempotency-Key must be 1 to %d printable ASCII characters", maxIdentityBytes)
	}
	if !request.Deadline.After(f.Clock.Now()) {
		return refuse(DeadlinePassed, "the deadline passed before the request was read")
	}
	return Pass{}
}

func defaultTimeout(class Class) (time.Duration, bool) {
	switch class {
	case Interactive:
		return InteractiveTimeout, true
	case Assured:
		return AssuredTimeout, true
	case Deferred:
		return DeferredTimeout, true
	default:
		return 0, false
	}
}

func validIdentity(identity string) bool {
	if len(identity) == 0 || len(identity) > maxIdentityBytes {
		return false
	}
	for _, character := range []byte(identity) {
		if character < 0x20 || character > 0x7e {
			return false
		}
	}
	return true
}

// refuse returns the refusal of a request that certainly did not run.
func refuse(reason Reason, format string, arguments ...any) Refuse {
	return Refuse{Refusal: Refusal{Reason: reason, Detail: fmt.Sprintf(format, arguments...), Run: NotRun}}
}
