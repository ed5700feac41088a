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

// Events reads the prefix-cache events with sequence numbers above after from
// the engine at an address. Its errors wrap ErrNoReport.
func (p *Poller) Events(ctx context.Context, endpoint, address string, after uint64) (tracker.CacheEvents, error) {
	path := "/v1/events?After=" + strconv.FormatUint(after, 10)
	wire, err := get[events](ctx, p, endpoint, address, path)
	if err != nil {
		return tracker.CacheEvents{}, err
	}
	decoded := tracker.CacheEvents{Endpoint: endpoint, Last: wire.Last}
	for _, event := range wire.Events {
		decoded.Events = append(decoded.Events, router.CacheEvent{
			Sequence: event.Sequence,
			Model:    releaser.Key(event.Model, event.Version),
			Prefix:   event.Prefix,
			Stored:   event.Stored,
		})
	}
	slices.SortFunc(decoded.Events, func(a, b router.CacheEvent) int { return cmp.Compare(a.Sequence, b.Sequence) })
	return decoded, nil
}
