package benchmarker

import (
	"context"
	"fmt"
	"time"

	"toucanhitch.example/toucanhitch/internal/tracker"
	"toucanhitch.example/toucanhitch/pkg/releaser"
)

const (
	// memoryNodes is large enough that what one platform holds counts little.
	memoryNodes = 8
	// memorySettle lets items travel and buffers go idle before a reading.
	memorySettle = 500 * time.Millisecond
	// memoryRest is how long processor time and traffic are counted.
	memoryRest = 1500 * time.Millisecond
)

// growth is a kind of thing whose number is raised to n and then to 2n.
type growth struct {
	name string
	n    int
	// add adds things first to last-1.
	add func(ctx context.Context, fleet *Fleet, first, last int) error
}

// slopeReading is a state of the fleet.
type slopeReading struct {
	heap uint64
	// cpu and peers are a second's processor time and bytes between nodes.
	cpu   time.Duration
	peers float64
}

// memory measures what one more of each kind costs a node.
func (s slopes) memory(ctx context.Context) ([]Table, error) {
	fleet, cleanUp, err := s.fleet(ctx, memoryNodes)
	if err != nil {
		return nil, err
	}
	defer cleanUp()
	_, err = fleet.PutModelInForce(ctx, 1)
	if err != nil {
		return nil, err
	}
	s.sleep(settleTime)
	table := Table{
		Title: fmt.Sprintf("growth at a node for one more of each kind, mean of %d nodes", memoryNodes),
		Columns: []string{
			"n", "heap B each, 0 to n", "heap B each, n to 2n", "CPU us/s each at rest", "peer B/s each at rest",
		},
		Notes: []string{
			"live heap after a collection, divided by the nodes; it contains an eighth of what the one platform holds",
			"a node keeps the last 256 changes for its peers, so that new configuration counts twice until newer changes replace them",
			"processor time is the whole process's, an eighth each; the endpoints answer 4 reports a second",
		},
	}
	changes := Table{
		Title:   "cost of a configuration change (a granted key) at a node",
		Columns: []string{"changes", "changes/s", "CPU us each", "peer B each", "B allocated each"},
		Notes: []string{
			"above what the same fleet uses at rest; processor time and allocations contain an eighth of the operator's and the platform's work",
		},
	}
	if err := s.changeCost(ctx, fleet, &changes, "few models", costFirst); err != nil {
		return nil, err
	}
	for _, growth := range growths() {
		row, err := s.grow(ctx, fleet, growth)
		if err != nil {
			return nil, err
		}
		table.add(growth.name, row...)
	}
	if err := s.changeCost(ctx, fleet, &changes, "with all of the above", costFirst+costChanges); err != nil {
		return nil, err
	}
	requests, err := s.requestGrowth(ctx)
	if err != nil {
		return nil, err
	}
	return []Table{table, changes, requests}, nil
}

func (s slopes) grow(ctx context.Context, fleet *Fleet, growth growth) ([]float64, error) {
	var readings []slopeReading
	for step := range 3 {
		if step > 0 {
			if err := growth.add(ctx, fleet, (step-1)*growth.n, step*growth.n); err != nil {
				return nil, err
			}
		}
		s.sleep(memorySettle)
		readings = append(readings, s.slopeReading(fleet))
	}
	each := float64(growth.n * memoryNodes)
	heap := func(step int) float64 { return (float64(readings[step].heap) - float64(readings[step-1].heap)) / each }
	return []float64{
		float64(growth.n), heap(1), heap(2),
		inMicroseconds(readings[2].cpu-readings[0].cpu) / (2 * each),
		2 * (readings[2].peers - readings[0].peers) / (2 * each),
	}, nil
}

func (s slopes) slopeReading(fleet *Fleet) slopeReading {
	heap := heapInUse()
	before, peers := readUsage(), fleet.PeerTraffic.Bytes()
	s.sleep(memoryRest)
	return slopeReading{
		heap:  heap,
		cpu:   time.Duration(float64(readUsage().since(before).CPU) / memoryRest.Seconds()),
		peers: float64(fleet.PeerTraffic.Bytes()-peers) / memoryRest.Seconds(),
	}
}

func growths() []growth {
	return []growth{
		{"key", 100, addKeys},
		{"model", 500, addModels},
		{"adapter", 500, addAdapters},
		{"workspace", 200, addWorkspaces},
		{"endpoint", 50, addEndpoints},
	}
}

// note applies a note and waits until it is in force everywhere.
func (f *Fleet) note(ctx context.Context, note releaser.Note) error {
	log, err := f.Publisher.Read(ctx)
	if err != nil {
		return err
	}
	note.Name, note.Base = "growth", log.Configuration.NoteVersion
	version, err := f.Submit(ctx, releaser.ApplyNote{Note: note})
	if err != nil {
		return err
	}
	_, err = f.AwaitInForce(version, len(f.Nodes), readyLimit)
	return err
}

func addModels(ctx context.Context, fleet *Fleet, first, last int) error {
	var note releaser.Note
	for i := first; i < last; i++ {
		note.Models = append(note.Models, releaser.ModelEntry{
			Action: releaser.Add,
			Model:  releaser.Model{Name: fmt.Sprintf("growth-%d", i), Version: "1", MemoryMB: 1000, Replicas: 1},
		})
	}
	return fleet.note(ctx, note)
}

func addAdapters(ctx context.Context, fleet *Fleet, first, last int) error {
	var note releaser.Note
	for i := first; i < last; i++ {
		note.Adapters = append(note.Adapters, releaser.AdapterEntry{
			Action: releaser.Add,
			Adapter: releaser.Adapter{
				Name: fmt.Sprintf("adapter-%d", i), Version: "1", Model: benchModel, ModelVersion: benchVersion, MemoryMB: 10,
			},
		})
	}
	return fleet.note(ctx, note)
}

func addWorkspaces(ctx context.Context, fleet *Fleet, first, last int) error {
	var note releaser.Note
	for i := first; i < last; i++ {
		note.Workspaces = append(note.Workspaces, releaser.WorkspaceEntry{
			Action:    releaser.Add,
			Workspace: releaser.Workspace{Name: fmt.Sprintf("workspace-%d", i), Rate: 1000, Burst: 1000, Weight: 1},
		})
	}
	return fleet.note(ctx, note)
}

func addKeys(ctx context.Context, fleet *Fleet, first, last int) error {
	version := uint64(0)
	for i := first; i < last; i++ {
		var err error
		version, err = fleet.Submit(ctx, releaser.GrantKey{Grant: releaser.Grant{
			ID: fmt.Sprintf("growth-%d", i), Workspace: "bench", Digest: releaser.Digest(releaser.NewKey()),
		}})
		if err != nil {
			return err
		}
	}
	_, err := fleet.AwaitInForce(version, len(fleet.Nodes), readyLimit)
	return err
}

// addEndpoints registers one engine under more names.
func addEndpoints(ctx context.Context, fleet *Fleet, first, last int) error {
	for i := first; i < last; i++ {
		err := fleet.register(ctx, tracker.Instance{
			Name: fmt.Sprintf("growth-%d", i), Kind: tracker.Engine, Address: fleet.Engines[0],
			DataCentre: fleet.dataCentre(i), MemoryMB: engineMemoryMB, HonoursFence: true,
		})
		if err != nil {
			return err
		}
	}
	return nil
}

const (
	costChanges = 20
	costFirst   = 1000
)

// changeCost measures configuration changes that follow one another.
func (s slopes) changeCost(ctx context.Context, fleet *Fleet, table *Table, name string, first int) error {
	rest := s.slopeReading(fleet)
	before, peers, started := readUsage(), fleet.PeerTraffic.Bytes(), s.Clock.Now()
	if err := addKeys(ctx, fleet, first, first+costChanges); err != nil {
		return err
	}
	seconds := s.Clock.Since(started).Seconds()
	used := readUsage().since(before)
	cpu := used.CPU - time.Duration(float64(rest.cpu)*seconds)
	bytes := float64(fleet.PeerTraffic.Bytes()-peers) - rest.peers*seconds
	per := float64(costChanges * memoryNodes)
	table.add(name, costChanges, costChanges/seconds, inMicroseconds(cpu)/per, 2*bytes/per, float64(used.Bytes)/per)
	return nil
}
