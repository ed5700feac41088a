package benchmarker

import (
	"context"
	"fmt"
	"net/http"
	"runtime"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/emulator"
	"toucanhitch.example/toucanhitch/pkg/releaser"
)

// RelaySettings configures the relay measurement.
type RelaySettings struct {
	Clock clockwork.Clock
	Seed  uint64
	// BasePort is the first of the loopback ports that the measurement uses.
	BasePort int
	// Rate is the request rate of the open loop per second. Callers is the
	// number of requests in progress in the closed loop.
	Rate    float64
	Callers int
	// Tokens is the number of tokens in every answer.
	Tokens int
	// PhaseTime is the duration of each of the six phases.
	PhaseTime time.Duration
	// TokenInterval is the time between two tokens of the engine.
	TokenInterval time.Duration
}

// relayBenchmark holds the settings and the targets of the measurement.
type relayBenchmark struct {
	settings RelaySettings
	targets  []target
}

const readyTimeout = 20 * time.Second

// Relay compares a node with direct calls of the engine and with a bare relay.
func Relay(ctx context.Context, settings RelaySettings) ([]Table, error) {
	fleet, cleanUp, err := NewFleet(ctx, FleetSettings{
		Clock: settings.Clock, Nodes: 1, BasePort: settings.BasePort, ListLag: 10 * time.Millisecond,
		Engines: []emulator.EngineSettings{{
			Slots: maxCallers, Queue: maxCallers, Interval: settings.TokenInterval,
		}},
	})
	if err != nil {
		return nil, err
	}
	defer cleanUp()
	bench := relayBenchmark{settings: settings}
	if err := bench.prepare(ctx, fleet); err != nil {
		return nil, err
	}
	return bench.run(ctx)
}

func (b *relayBenchmark) prepare(ctx context.Context, fleet *Fleet) error {
	transport := &http.Transport{MaxIdleConnsPerHost: maxCallers, DisableCompression: true}
	fleet.cleanups = append(fleet.cleanups, transport.CloseIdleConnections)
	relayAddress := fleet.nextAddress()
	if err := fleet.serve(relayAddress, &Traffic{}, bareRelay{engine: fleet.Engines[0], transport: transport}); err != nil {
		return err
	}
	key, err := fleet.ConfigureModel(ctx, 1)
	if err != nil {
		return err
	}
	node := nodeTarget{node: fleet.Nodes[0].CallerAddress, model: benchModel, key: key}
	b.targets = []target{directTarget{fleet.Engines[0]}, relayTarget{relayAddress}, node}
	// The first request through the node makes it load the model.
	_, err = sendRequest(ctx, b.settings.Clock, http.DefaultClient, node, 1)
	return err
}

// ConfigureModel waits until the nodes are ready, applies a note with one model
// and one workspace whose limits have no effect, and returns a key for the
// workspace.
func (f *Fleet) ConfigureModel(ctx context.Context, replicas int) (string, error) {
	if err := f.AwaitReady(ctx, readyTimeout); err != nil {
		return "", err
	}
	const unlimitedRate = 1e9 // the largest rate that a note may set
	note := releaser.Note{
		Name: "bench",
		Models: []releaser.ModelEntry{{
			Action: releaser.Add,
			Model:  releaser.Model{Name: benchModel, Version: benchVersion, MemoryMB: 1000, Replicas: replicas},
		}},
		Workspaces: []releaser.WorkspaceEntry{{
			Action:    releaser.Add,
			Workspace: releaser.Workspace{Name: "bench", Rate: unlimitedRate, Burst: unlimitedRate, Weight: 1},
		}},
	}
	if _, err := f.Submit(ctx, releaser.ApplyNote{Note: note}); err != nil {
		return "", err
	}
	key := releaser.NewKey()
	version, err := f.Submit(ctx, releaser.GrantKey{Grant: releaser.Grant{ID: "bench", Workspace: "bench", Digest: releaser.Digest(key)}})
	if err != nil {
		return "", err
	}
	_, err = f.AwaitVersion(version, len(f.Nodes), readyTimeout)
	return key, err
}

func (b *relayBenchmark) run(ctx context.Context) ([]Table, error) {
	open, err := b.runPhases(ctx, openLoop{b.settings.Rate})
	if err != nil {
		return nil, err
	}
	closed, err := b.runPhases(ctx, closedLoop{b.settings.Callers})
	if err != nil {
		return nil, err
	}
	return []Table{
		b.latencyTable(open),
		costTable(fmt.Sprintf("costs at %g requests a second", b.settings.Rate), open),
		costTable(fmt.Sprintf("costs with %d callers in a closed loop", b.settings.Callers), closed),
	}, nil
}

// targetResult is the result of a phase with the name of its target.
type targetResult struct {
	name string
	phaseResult
}

func (b *relayBenchmark) runPhases(ctx context.Context, load loadPattern) ([]targetResult, error) {
	var results []targetResult
	for _, target := range b.targets {
		result := runPhase(ctx, b.settings.Clock, phase{
			Target: target, Load: load, Time: b.settings.PhaseTime, Tokens: b.settings.Tokens, Seed: b.settings.Seed,
		})
		if result.Tokens == 0 {
			return nil, result.FirstError
		}
		results = append(results, targetResult{targetName(target), result})
	}
	return results, nil
}

func (b *relayBenchmark) latencyTable(results []targetResult) Table {
	table := Table{
		Title: fmt.Sprintf("latency at %g requests a second of %d tokens, %s between tokens",
			b.settings.Rate, b.settings.Tokens, b.settings.TokenInterval),
		Columns: []string{
			"requests", "failed", "first token p50 ms", "p95 ms", "p99 ms", "total p50 ms", "p95 ms", "p99 ms",
		},
		Notes: []string{
			"open loop, the same Poisson arrivals for each target; times count from the drawn arrival",
			"\"added\" is the difference of the percentiles to the direct call",
		},
	}
	base := latencyPercentiles(results[0].phaseResult)
	for _, result := range results {
		table.addRow(result.name, append([]float64{float64(result.Requests), float64(result.Failures)}, latencyPercentiles(result.phaseResult)...)...)
	}
	for _, result := range results[1:] {
		added := latencyPercentiles(result.phaseResult)
		for i := range added {
			added[i] -= base[i]
		}
		table.addRow("added by "+result.name, append([]float64{float64(result.Requests), float64(result.Failures)}, added...)...)
	}
	return table
}

func latencyPercentiles(result phaseResult) []float64 {
	var values []float64
	for _, histogram := range []*hdrhistogram.Histogram{result.FirstToken, result.Total} {
		for _, percent := range []float64{50, 95, 99} {
			values = append(values, inMilliseconds(time.Duration(histogram.ValueAtQuantile(percent))))
		}
	}
	return values
}

func inMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func inMicroseconds(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// costTable compares the resource usage of the process. Callers and engine use
// the same resources in each phase, so the difference to the direct phase is
// the cost of the relay or node.
func costTable(title string, results []targetResult) Table {
	table := Table{
		Title: title,
		Columns: []string{
			"requests/s", "tokens/s", "failed", "cores busy", "CPU us/token", "allocations/request", "allocations/token",
			"added CPU us/token", "added allocations/request", "requests/s/core", "tokens/s/core",
		},
		Notes: []string{
			failuresNote(results),
			fmt.Sprintf("GOMAXPROCS %d; one process holds callers, relay or node, and engine", runtime.GOMAXPROCS(0)),
			"added: difference to the direct phase; requests and tokens a second a core are its inverse, and count the added work only",
			"allocations/token: all allocations divided by tokens",
		},
	}
	base := results[0]
	for _, result := range results {
		perToken := inMicroseconds(result.Usage.CPU) / float64(result.Tokens)
		addedCPU := perToken - inMicroseconds(base.Usage.CPU)/float64(base.Tokens)
		perRequest := float64(result.Usage.Mallocs) / float64(result.Requests)
		values := []float64{
			float64(result.Requests) / result.Elapsed.Seconds(), float64(result.Tokens) / result.Elapsed.Seconds(),
			float64(result.Failures), result.Usage.CPU.Seconds() / result.Elapsed.Seconds(),
			perToken, perRequest, float64(result.Usage.Mallocs) / float64(result.Tokens),
			addedCPU, perRequest - float64(base.Usage.Mallocs)/float64(base.Requests),
		}
		table.addRow(result.name, append(values, ratesPerCore(addedCPU, result.phaseResult)...)...)
	}
	return table
}

// ratesPerCore returns the requests and tokens per second for which one core
// covers the added CPU time.
func ratesPerCore(addedCPU float64, result phaseResult) []float64 {
	if addedCPU <= 0 {
		return []float64{0, 0}
	}
	tokens := 1e6 / addedCPU
	return []float64{tokens * float64(result.Requests) / float64(result.Tokens), tokens}
}

// failuresNote returns a text with the first failure of each target.
func failuresNote(results []targetResult) string {
	text := "failures:"
	for _, result := range results {
		if result.FirstError != nil {
			text += fmt.Sprintf(" %s: %v;", result.name, result.FirstError)
		}
	}
	if text == "failures:" {
		text += " none"
	}
	return text
}
