package messenger

import (
	"context"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/placer"
	"toucanhitch.example/toucanhitch/pkg/releaser"
)

// DemandPath is the HTTP path of demand messages at a node's peer address.
const DemandPath = "/peer/v1/demand"

// demandRequest carries the demands of one node. Deadlines are sent as the
// remaining time, because clocks of different nodes are never compared.
type demandRequest struct {
	Node    string
	Demands []demandItem
}

type demandItem struct {
	Model   string
	Version string
	Adapter string `json:",omitempty"`
	// AdapterVersion is set with Adapter.
	AdapterVersion string `json:",omitempty"`
	Class          string
	Waiting        int
	// TimeToDeadline is the time until the earliest deadline, for example "1.5s".
	TimeToDeadline string `json:"Left"`
}

type demandAnswer struct{}

// SendDemand reports to the placer's node at address the models that requests
// at this node are waiting for.
func SendDemand(ctx context.Context, c *Client, address, node string, demands []placer.Demand) error {
	request := demandRequest{Node: node, Demands: []demandItem{}}
	for _, demand := range demands {
		request.Demands = append(request.Demands, encodeDemand(c.clock.Now(), demand))
	}
	_, err := Exchange[demandRequest, demandAnswer](ctx, c, address, DemandPath, request)
	return err
}

// HandleDemand returns a handler that passes each demand to deliver. If deliver
// fails, the handler responds with 503 and the sender repeats its demand after
// one second.
func HandleDemand(clock clockwork.Clock, deliver func(placer.Demand) error) http.Handler {
	return Handle(func(_ context.Context, request demandRequest) (demandAnswer, error) {
		demands, err := decodeDemands(clock.Now(), request)
		if err != nil {
			return demandAnswer{}, err
		}
		for _, demand := range demands {
			if err := deliver(demand); err != nil {
				return demandAnswer{}, err
			}
		}
		return demandAnswer{}, nil
	})
}

func encodeDemand(now time.Time, demand placer.Demand) demandItem {
	item := demandItem{
		Class:          string(demand.Class),
		Waiting:        demand.Waiting,
		TimeToDeadline: demand.EarliestDeadline.Sub(now).String(),
	}
	item.Model, item.Version = releaser.SplitKey(demand.Model)
	item.Adapter, item.AdapterVersion = releaser.SplitKey(demand.Adapter)
	return item
}

// decodeDemands validates all items, so that none is delivered if one is
// malformed.
func decodeDemands(now time.Time, request demandRequest) ([]placer.Demand, error) {
	var demands []placer.Demand
	for index, item := range request.Demands {
		timeToDeadline, err := time.ParseDuration(item.TimeToDeadline)
		if err != nil {
			return nil, merry.Errorf("Demands[%d].Left: %w", index, err)
		}
		class := filter.Class(item.Class)
		switch class {
		case filter.Interactive, filter.Assured, filter.Deferred:
		default:
			return nil, merry.Errorf("Demands[%d].Class: unknown class %q; want interactive, assured or deferred", index, item.Class)
		}
		if item.Model == "" || item.Version == "" || item.Waiting < 0 {
			return nil, merry.Errorf("Demands[%d]: got Model %q, Version %q and Waiting %d; want a Model, a Version and a Waiting of at least 0",
				index, item.Model, item.Version, item.Waiting)
		}
		demand := placer.Demand{
			Node:             request.Node,
			Model:            releaser.Key(item.Model, item.Version),
			Class:            class,
			Waiting:          item.Waiting,
			EarliestDeadline: now.Add(timeToDeadline),
		}
		if item.Adapter != "" {
			demand.Adapter = releaser.Key(item.Adapter, item.AdapterVersion)
		}
		demands = append(demands, demand)
	}
	return demands, nil
}
