package messenger

import (
	"context"
	"net/http"
	"time"

	"toucanhitch.example/toucanhitch/internal/permitter"
)

const (
	acquirePath = "/peer/v1/permit"
	releasePath = "/peer/v1/permit/release"
)

type permitRecord struct {
	ID, Replica string
	StartedMS   int64
}

type acquireRequest struct {
	Permit           permitRecord
	Node             string
	Capacity, Active int
	TTLMS            int64
}

type acquireAnswer struct {
	Granted      bool  `json:",omitempty"`
	RetryAfterMS int64 `json:",omitempty"`
}

type releaseRequest struct {
	Permit   permitRecord
	LingerMS int64 `json:",omitempty"`
	Refused  bool  `json:",omitempty"`
}

type releaseAnswer struct{}

// AcquirePermit asks a node for a permit.
func (c *Client) AcquirePermit(ctx context.Context, address string, request permitter.Request) (permitter.Decision, error) {
	answer, err := Exchange[acquireRequest, acquireAnswer](ctx, c, address, acquirePath, acquireRequest{
		Permit: permitRecord(request.Permit), Node: request.Node,
		Capacity: request.Capacity, Active: request.Active, TTLMS: request.TTL.Milliseconds(),
	})
	return permitter.Decision{Granted: answer.Granted, RetryAfter: time.Duration(answer.RetryAfterMS) * time.Millisecond}, err
}

// ReleasePermit returns a permit to the node that has granted it.
func (c *Client) ReleasePermit(ctx context.Context, address string, release permitter.Release) error {
	_, err := Exchange[releaseRequest, releaseAnswer](ctx, c, address, releasePath, releaseRequest{
		Permit: permitRecord(release.Permit), LingerMS: release.Linger.Milliseconds(), Refused: release.Refused,
	})
	return err
}

// HandlePermits registers the handlers of requests for permits and of releases.
func HandlePermits(mux *http.ServeMux, acquire func(context.Context, permitter.Request) (permitter.Decision, error), release func(permitter.Release) error) {
	mux.Handle("POST "+acquirePath, Handle(func(ctx context.Context, request acquireRequest) (acquireAnswer, error) {
		decision, err := acquire(ctx, permitter.Request{
			Permit: permitter.Permit(request.Permit), Node: request.Node,
			Capacity: request.Capacity, Active: request.Active, TTL: time.Duration(request.TTLMS) * time.Millisecond,
		})
		return acquireAnswer{decision.Granted, decision.RetryAfter.Milliseconds()}, err
	}))
	mux.Handle("POST "+releasePath, Handle(func(_ context.Context, request releaseRequest) (releaseAnswer, error) {
		return releaseAnswer{}, release(permitter.Release{
			Permit: permitter.Permit(request.Permit), Linger: time.Duration(request.LingerMS) * time.Millisecond, Refused: request.Refused,
		})
	}))
}
