package benchmarker

import (
	"context"
	"net/http"
	"runtime"
	"time"

	"toucanhitch.example/toucanhitch/internal/emulator"
)

const (
	// streamCount is the number of streams added in each of two steps, all on
	// one node.
	streamCount = 200
	// streamTokens and streamTokenInterval make answers last longer than the
	// measurement.
	streamTokens        = 1000
	streamTokenInterval = time.Second
	streamSettleTime    = 1500 * time.Millisecond
	maxStreams          = 1024
)

// measureStreams measures the memory of streams in progress through a node, and
// subtracts that of the same streams sent directly to the engine.
func (s slopesRun) measureStreams(ctx context.Context) (Table, error) {
	table := Table{
		Title:   "live heap and stacks of a stream in progress",
		Columns: []string{"n", "B each, 0 to n", "B each, n to 2n", "goroutines each"},
		Notes:   []string{"the first two rows contain caller and engine; their difference is the node's part"},
	}
	fleet, cleanUp, err := NewFleet(ctx, FleetSettings{
		Clock: s.Clock, Nodes: 1, BasePort: s.BasePort + streamFleetPortOffset, ListLag: slopesListLag,
		Engines: []emulator.EngineSettings{{Slots: maxStreams, Queue: maxStreams, Interval: streamTokenInterval}},
	})
	if err != nil {
		return table, err
	}
	defer cleanUp()
	key, err := fleet.ConfigureModel(ctx, 1)
	if err != nil {
		return table, err
	}
	node := nodeTarget{node: fleet.Nodes[0].CallerAddress, model: benchModel, key: key}
	if _, err := sendRequest(ctx, s.Clock, http.DefaultClient, node, 1); err != nil {
		return table, err
	}
	var values [][]float64
	for _, target := range []target{directTarget{fleet.Engines[0]}, node} {
		row := s.measureTarget(ctx, target)
		values = append(values, row)
		table.addRow(targetName(target), row...)
	}
	table.addRow("node less direct", streamCount, values[1][1]-values[0][1], values[1][2]-values[0][2], values[1][3]-values[0][3])
	return table, nil
}

// streamFleetPortOffset separates the ports of the second fleet from those of
// the first.
const streamFleetPortOffset = 60

// measureTarget measures a target with streamCount streams in progress and then
// with twice as many.
func (s slopesRun) measureTarget(ctx context.Context, target target) []float64 {
	ctx, cancel := context.WithCancel(ctx)
	transport := &http.Transport{MaxIdleConnsPerHost: maxStreams}
	client := &http.Client{Transport: transport}
	done := make(chan struct{}, 2*streamCount)
	memory := []float64{float64(memoryInUse())}
	goroutines := []int{runtime.NumGoroutine()}
	for range 2 {
		for range streamCount {
			go func() {
				_, _ = sendRequest(ctx, s.Clock, client, target, streamTokens) // ended by cancel
				done <- struct{}{}
			}()
		}
		s.sleep(streamSettleTime)
		memory = append(memory, float64(memoryInUse()))
		goroutines = append(goroutines, runtime.NumGoroutine())
	}
	cancel()
	for range 2 * streamCount {
		<-done
	}
	transport.CloseIdleConnections()
	s.sleep(streamSettleTime)
	return []float64{
		streamCount, (memory[1] - memory[0]) / streamCount, (memory[2] - memory[1]) / streamCount,
		float64(goroutines[2]-goroutines[0]) / (2 * streamCount),
	}
}
