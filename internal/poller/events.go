package poller

import (
	"cmp"
	"context"
	"slices"
	"strconv"

	"toucanhitch.example/toucanhitch/internal/router"
	"toucanhitch.example/toucanhitch/internal/tracker"
	"toucanhitch.example/toucanhitch/pkg/releaser"
)

// events is the wire format of prefix-cache events, see docs/protocols.md.
type events struct {
	Last   uint64
	Events []event
}

type event struct {
	Sequence uint64
	Model    string
	Version  string
	Prefix   uint64
	Stored   bool
}

// PollEvents reads the prefix-cache events with sequence numbers above after
// from the engine at an address. Its errors wrap ErrNoReport.
func (p *Poller) PollEvents(ctx context.Context, endpoint, address string, after uint64) (tracker.CacheEvents, error) {
	path := "/v1/events?After=" + strconv.FormatUint(after, 10)
	wireEvents, err := get[events](ctx, p, endpoint, address, path)
	if err != nil {
		return tracker.CacheEvents{}, err
	}
	result := tracker.CacheEvents{Endpoint: endpoint, Last: wireEvents.Last}
	for _, event := range wireEvents.Events {
		result.Events = append(result.Events, router.CacheEvent{
			Sequence: event.Sequence,
			Model:    releaser.Key(event.Model, event.Version),
			Prefix:   event.Prefix,
			Stored:   event.Stored,
		})
	}
	slices.SortFunc(result.Events, func(a, b router.CacheEvent) int { return cmp.Compare(a.Sequence, b.Sequence) })
	return result, nil
}
