package benchmarker

import (
	"context"
	"fmt"
	"time"

	"toucanhitch.example/toucanhitch/internal/emulator"
)

const (
	// settleTime is how long a fleet may settle before it is at rest.
	settleTime = 4 * time.Second
	// restTime is how long a fleet at rest is watched.
	restTime = 8 * time.Second
)

// controlSizes are the numbers of nodes.
var controlSizes = []int{3, 6, 12, 24}

// reading is what a fleet has used so far.
type reading struct {
	at                     time.Time
	usage                  Usage
	peers, engines, object int64
	calls                  emulator.PlatformCalls
}

func (s slopes) read(ctx context.Context, fleet *Fleet) (reading, error) {
	calls, err := fleet.Calls(ctx)
	return reading{
		at: s.Clock.Now(), usage: readUsage(), calls: calls,
		peers: fleet.PeerTraffic.Bytes(), engines: fleet.EngineTraffic.Bytes(), object: fleet.PlatformTraffic.Bytes(),
	}, err
}

// control watches fleets at rest: a model is in force and nobody asks.
func (s slopes) control(ctx context.Context) ([]Table, error) {
	traffic := Table{
		Title: fmt.Sprintf("control traffic and processor time at rest, %d data centres, %d engines, %s", slopesDataCentres, slopesEngines, restTime),
		Columns: []string{
			"peer KB/s/node", "platform KB/s/node", "engine KB/s/node", "sum KB/s/node", "CPU % of a core/node", "KB allocated/s/node",
		},
		Notes: []string{
			"TCP payload in both directions; a peer's byte counts at the node that sends it and at the one that receives it",
			"CPU is the whole process's with platform and engines, divided by the nodes",
		},
	}
	calls := Table{
		Title:   "calls of the platform a second, whole fleet, at rest",
		Columns: []string{"get", "put", "delete", "list", "watch", "instances", "sum", "sum per node"},
		Notes:   []string{"a waiting watch counts once, when it begins; the wait is 1 s for the change log and 2 s for the instance list"},
	}
	for _, nodes := range controlSizes {
		before, after, err := s.rest(ctx, nodes)
		if err != nil {
			return nil, err
		}
		name := fmt.Sprintf("%d nodes", nodes)
		traffic.add(name, restTraffic(before, after, nodes)...)
		calls.add(name, restCalls(before, after, nodes)...)
	}
	return []Table{traffic, calls}, nil
}

func (s slopes) rest(ctx context.Context, nodes int) (before, after reading, err error) {
	fleet, cleanUp, err := s.fleet(ctx, nodes)
	if err != nil {
		return before, after, err
	}
	defer cleanUp()
	if _, err := fleet.PutModelInForce(ctx, 1); err != nil {
		return before, after, err
	}
	s.sleep(settleTime)
	if before, err = s.read(ctx, fleet); err != nil {
		return before, after, err
	}
	s.sleep(restTime)
	after, err = s.read(ctx, fleet)
	return before, after, err
}

func restTraffic(before, after reading, nodes int) []float64 {
	per := after.at.Sub(before.at).Seconds() * float64(nodes)
	kilobytes := func(bytes int64) float64 { return float64(bytes) / 1000 / per }
	peers := kilobytes(2 * (after.peers - before.peers))
	object := kilobytes(after.object - before.object)
	engines := kilobytes(after.engines - before.engines)
	used := after.usage.since(before.usage)
	return []float64{
		peers, object, engines, peers + object + engines,
		100 * used.CPU.Seconds() / per, kilobytes(int64(used.Bytes)),
	}
}

func restCalls(before, after reading, nodes int) []float64 {
	seconds := after.at.Sub(before.at).Seconds()
	var values []float64
	sum := 0.0
	for _, count := range []int{
		after.calls.Get - before.calls.Get, after.calls.Put - before.calls.Put,
		after.calls.Delete - before.calls.Delete, after.calls.List - before.calls.List,
		after.calls.Watch - before.calls.Watch, after.calls.Instances - before.calls.Instances,
	} {
		values = append(values, float64(count)/seconds)
		sum += float64(count) / seconds
	}
	return append(values, sum, sum/float64(nodes))
}
