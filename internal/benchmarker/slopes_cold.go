package benchmarker

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"toucanhitch.example/toucanhitch/pkg/releaser"
)

const (
	coldNodes  = 7
	coldTokens = 4
	// coldSettleTime is the pause between trials, in which the placement
	// settles.
	coldSettleTime = time.Second
)

// coldCase is a number of concurrent callers and a number of trials.
type coldCase struct{ callers, trials int }

var coldCases = []coldCase{{1, 5}, {10, 4}, {100, 4}}

// measureColdStarts sends requests for models that are not loaded, with several
// concurrent callers per model, distributed over all nodes.
func (s slopesRun) measureColdStarts(ctx context.Context) ([]Table, error) {
	fleet, cleanUp, err := s.newFleet(ctx, coldNodes)
	if err != nil {
		return nil, err
	}
	defer cleanUp()
	key, err := fleet.ConfigureModel(ctx, 1)
	if err != nil {
		return nil, err
	}
	if err := s.addColdModels(ctx, fleet); err != nil {
		return nil, err
	}
	s.sleep(settleTime)
	table := Table{
		Title:   fmt.Sprintf("cold start beyond the engine's load time of %s, %d nodes, %d engines", engineLoadTime, coldNodes, slopesEngines),
		Columns: []string{"requests", "failed", "first token p50 ms", "p95 ms", "max ms"},
		Notes: []string{
			"from the callers' common start to the first token, minus the load time",
			fmt.Sprintf("engines have 8 slots and 10 ms between %d tokens; each model may have 2 replicas", coldTokens),
		},
	}
	model := 0
	for _, test := range coldCases {
		result := phaseResult{FirstToken: newLatencyHistogram(), Total: newLatencyHistogram()}
		for range test.trials {
			s.runColdTrial(ctx, fleet, coldModelName(model), key, test.callers, &result)
			model++
			s.sleep(coldSettleTime)
		}
		excess := func(percent float64) float64 {
			return inMilliseconds(time.Duration(result.FirstToken.ValueAtQuantile(percent)) - engineLoadTime)
		}
		table.addRow(fmt.Sprintf("%d callers at once", test.callers),
			float64(test.callers*test.trials), float64(result.Failures), excess(50), excess(95), excess(100))
		if result.FirstError != nil {
			table.Notes = append(table.Notes, fmt.Sprintf("first failure with %d callers: %v", test.callers, result.FirstError))
		}
	}
	return []Table{table}, nil
}

func coldModelName(number int) string { return fmt.Sprintf("cold-%d", number) }

func (s slopesRun) addColdModels(ctx context.Context, fleet *Fleet) error {
	note := releaser.Note{Name: "cold", Base: 1}
	for _, test := range coldCases {
		for range test.trials {
			note.Models = append(note.Models, releaser.ModelEntry{
				Action: releaser.Add,
				Model:  releaser.Model{Name: coldModelName(len(note.Models)), Version: "1", MemoryMB: 1000, Replicas: 2},
			})
		}
	}
	version, err := fleet.Submit(ctx, releaser.ApplyNote{Note: note})
	if err != nil {
		return err
	}
	_, err = fleet.AwaitVersion(version, coldNodes, readyTimeout)
	return err
}

func (s slopesRun) runColdTrial(ctx context.Context, fleet *Fleet, model, key string, callers int, result *phaseResult) {
	transport := &http.Transport{MaxIdleConnsPerHost: callers}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	samples := make(chan sample, callers)
	start := s.Clock.Now()
	for range callers {
		node := nodeTarget{node: fleet.Nodes[s.random.IntN(len(fleet.Nodes))].CallerAddress, model: model, key: key}
		go func() {
			answer, err := sendRequest(ctx, s.Clock, client, node, coldTokens)
			samples <- sample{dueAt: start, answer: answer, err: err}
		}()
	}
	for range callers {
		result.addSample(<-samples)
	}
}
