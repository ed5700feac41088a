package benchmarker

import (
	"context"
	"fmt"
	"time"

	"toucanhitch.example/toucanhitch/internal/emulator"
)

const (
	// settleTime is the time after which a new fleet counts as idle.
	settleTime = 4 * time.Second
	// idleTime is the time for which an idle fleet is measured.
	idleTime = 8 * time.Second
)

// controlSizes holds the numbers of nodes to measure.
var controlSizes = []int{3, 6, 12, 24}

// controlReading is the cumulative resource usage of a fleet at one time.
type controlReading struct {
	at                                    time.Time
	usage                                 Usage
	peerBytes, engineBytes, platformBytes int64
	calls                                 emulator.PlatformCalls
}

func (s slopesRun) takeReading(ctx context.Context, fleet *Fleet) (controlReading, error) {
	calls, err := fleet.PlatformCalls(ctx)
	return controlReading{
		at: s.Clock.Now(), usage: readUsage(), calls: calls,
		peerBytes: fleet.PeerTraffic.Bytes(), engineBytes: fleet.EngineTraffic.Bytes(), platformBytes: fleet.PlatformTraffic.Bytes(),
	}, err
}

// measureControl measures idle fleets: a model is configured and no requests
// arrive.
func (s slopesRun) measureControl(ctx context.Context) ([]Table, error) {
	traffic := Table{
		Title: fmt.Sprintf("control traffic and processor time at rest, %d data centres, %d engines, %s", slopesDataCentres, slopesEngines, idleTime),
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
		before, after, err := s.measureIdle(ctx, nodes)
		if err != nil {
			return nil, err
		}
		name := fmt.Sprintf("%d nodes", nodes)
		traffic.addRow(name, idleTraffic(before, after, nodes)...)
		calls.addRow(name, idleCalls(before, after, nodes)...)
	}
	return []Table{traffic, calls}, nil
}

func (s slopesRun) measureIdle(ctx context.Context, nodes int) (before, after controlReading, err error) {
	fleet, cleanUp, err := s.newFleet(ctx, nodes)
	if err != nil {
		return before, after, err
	}
	defer cleanUp()
	if _, err := fleet.ConfigureModel(ctx, 1); err != nil {
		return before, after, err
	}
	s.sleep(settleTime)
	if before, err = s.takeReading(ctx, fleet); err != nil {
		return before, after, err
	}
	s.sleep(idleTime)
	after, err = s.takeReading(ctx, fleet)
	return before, after, err
}

func idleTraffic(before, after controlReading, nodes int) []float64 {
	nodeSeconds := after.at.Sub(before.at).Seconds() * float64(nodes)
	kilobytes := func(bytes int64) float64 { return float64(bytes) / 1000 / nodeSeconds }
	peers := kilobytes(2 * (after.peerBytes - before.peerBytes))
	platform := kilobytes(after.platformBytes - before.platformBytes)
	engines := kilobytes(after.engineBytes - before.engineBytes)
	used := after.usage.since(before.usage)
	return []float64{
		peers, platform, engines, peers + platform + engines,
		100 * used.CPU.Seconds() / nodeSeconds, kilobytes(int64(used.Bytes)),
	}
}

func idleCalls(before, after controlReading, nodes int) []float64 {
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
