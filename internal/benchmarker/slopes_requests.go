package benchmarker

import (
	"context"
	"net/http"
	"runtime"
	"time"

	"toucanhitch.example/toucanhitch/internal/emulator"
)

const (
	// heldRequests is n; all of them are in progress at one node.
	heldRequests = 200
	// heldTokens and heldInterval make answers last longer than the
	// measurement.
	heldTokens   = 1000
	heldInterval = time.Second
	heldSettle   = 1500 * time.Millisecond
	heldCallers  = 1024
)

// requestGrowth measures the memory of streams in progress: through a node,
// less what the same streams take that go to the engine itself.
func (s slopes) requestGrowth(ctx context.Context) (Table, error) {
	table := Table{
		Title:   "live heap and stacks of a stream in progress",
		Columns: []string{"n", "B each, 0 to n", "B each, n to 2n", "goroutines each"},
		Notes:   []string{"the first two rows contain caller and engine; their difference is the node's part"},
	}
	fleet, cleanUp, err := NewFleet(ctx, FleetSettings{
		Clock: s.Clock, Nodes: 1, BasePort: s.BasePort + requestPorts, ListLag: slopesListLag,
		Engines: []emulator.EngineSettings{{Slots: heldCallers, Queue: heldCallers, Interval: heldInterval}},
	})
	if err != nil {
		return table, err
	}
	defer cleanUp()
	key, err := fleet.PutModelInForce(ctx, 1)
	if err != nil {
		return table, err
	}
	node := throughNode{node: fleet.Nodes[0].Caller, model: benchModel, key: key}
	if _, err := ask(ctx, s.Clock, http.DefaultClient, node, 1); err != nil {
		return table, err
	}
	var values [][]float64
	for _, target := range []target{direct{fleet.Engines[0]}, node} {
		row := s.held(ctx, target)
		values = append(values, row)
		table.add(targetName(target), row...)
	}
	table.add("node less direct", heldRequests, values[1][1]-values[0][1], values[1][2]-values[0][2], values[1][3]-values[0][3])
	return table, nil
}

// requestPorts keeps the second fleet's ports apart from the first one's.
const requestPorts = 60

// held keeps n and then 2n streams in progress.
func (s slopes) held(ctx context.Context, target target) []float64 {
	ctx, cancel := context.WithCancel(ctx)
	transport := &http.Transport{MaxIdleConnsPerHost: heldCallers}
	client := &http.Client{Transport: transport}
	ended := make(chan struct{}, 2*heldRequests)
	memory := []float64{float64(memoryInUse())}
	goroutines := []int{runtime.NumGoroutine()}
	for range 2 {
		for range heldRequests {
			go func() {
				_, _ = ask(ctx, s.Clock, client, target, heldTokens) // ends by cancel
				ended <- struct{}{}
			}()
		}
		s.sleep(heldSettle)
		memory = append(memory, float64(memoryInUse()))
		goroutines = append(goroutines, runtime.NumGoroutine())
	}
	cancel()
	for range 2 * heldRequests {
		<-ended
	}
	transport.CloseIdleConnections()
	s.sleep(heldSettle)
	return []float64{
		heldRequests, (memory[1] - memory[0]) / heldRequests, (memory[2] - memory[1]) / heldRequests,
		float64(goroutines[2]-goroutines[0]) / (2 * heldRequests),
	}
}
