package benchmarker

import (
	"context"
	"fmt"
	"time"

	"toucanhitch.example/toucanhitch/pkg/releaser"
)

const (
	rolloutNodes   = 7
	rolloutTrials  = 20
	rolloutTimeout = 20 * time.Second
	// rolloutMaxPause is the longest pause between trials. Pauses are random,
	// so that trials fall on different points of the nodes' periods.
	rolloutMaxPause = time.Second
)

// measureRollout measures notes and key withdrawals, from the operator's call
// until they are in force on the last node.
func (s slopesRun) measureRollout(ctx context.Context) ([]Table, error) {
	fleet, cleanUp, err := s.newFleet(ctx, rolloutNodes)
	if err != nil {
		return nil, err
	}
	defer cleanUp()
	if _, err := fleet.ConfigureModel(ctx, 1); err != nil {
		return nil, err
	}
	var notes, withdrawals []time.Duration
	base := uint64(1)
	for trial := range rolloutTrials {
		note, version, err := s.submitAndAwait(ctx, fleet, releaser.ApplyNote{Note: releaser.Note{
			Name: fmt.Sprintf("trial-%d", trial), Base: base,
			Models: []releaser.ModelEntry{{
				Action: releaser.Add,
				Model:  releaser.Model{Name: fmt.Sprintf("model-%d", trial), Version: "1", MemoryMB: 1000, Replicas: 1},
			}},
		}})
		if err != nil {
			return nil, err
		}
		base = version
		id := fmt.Sprintf("trial-%d", trial)
		grant := releaser.Grant{ID: id, Workspace: "bench", Digest: releaser.Digest(releaser.NewKey())}
		if _, _, err := s.submitAndAwait(ctx, fleet, releaser.GrantKey{Grant: grant}); err != nil {
			return nil, err
		}
		withdrawal, _, err := s.submitAndAwait(ctx, fleet, releaser.WithdrawKey{GrantID: id})
		if err != nil {
			return nil, err
		}
		notes, withdrawals = append(notes, note), append(withdrawals, withdrawal)
	}
	table := Table{
		Title:   fmt.Sprintf("time from the operator's call to force at the last of %d nodes in %d data centres", rolloutNodes, slopesDataCentres),
		Columns: []string{"trials", "p50 ms", "max ms"},
		Notes: []string{
			"counts from the start of the call, which reads and writes the log (2 ms each), so it is longer than the time from acceptance",
			"loopback without added delay between data centres",
		},
	}
	for _, row := range []struct {
		name  string
		times []time.Duration
	}{{"note", notes}, {"withdrawn key", withdrawals}} {
		median, maximum := medianAndMax(row.times)
		table.addRow(row.name, float64(len(row.times)), median, maximum)
	}
	return []Table{table}, nil
}

// submitAndAwait submits a change after a random pause and returns the time
// until it was in force on all nodes, and its version.
func (s slopesRun) submitAndAwait(ctx context.Context, fleet *Fleet, body releaser.Body) (time.Duration, uint64, error) {
	s.sleep(s.randomDuration(rolloutMaxPause))
	start := s.Clock.Now()
	version, err := fleet.Submit(ctx, body)
	if err != nil {
		return 0, 0, err
	}
	activeAt, err := fleet.AwaitVersion(version, rolloutNodes, rolloutTimeout)
	return activeAt.Sub(start), version, err
}
