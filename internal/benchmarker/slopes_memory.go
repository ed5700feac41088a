package benchmarker

import (
	"context"
	"fmt"
	"time"

	"toucanhitch.example/toucanhitch/internal/tracker"
	"toucanhitch.example/toucanhitch/pkg/releaser"
)

const (
	// memoryNodes is large enough that the memory of the single platform has
	// little weight.
	memoryNodes = 8
	// memorySettleTime is the pause before a reading, in which items propagate
	// and buffers become idle.
	memorySettleTime = 500 * time.Millisecond
	// memoryIdleTime is the time for which CPU time and traffic are measured.
	memoryIdleTime = 1500 * time.Millisecond
)

// growthKind is a kind of item whose number is increased to count and then to
// twice that.
type growthKind struct {
	name  string
	count int
	// addItems adds the items first to last-1.
	addItems func(ctx context.Context, fleet *Fleet, first, last int) error
}

// memoryReading is the resource usage of an idle fleet.
type memoryReading struct {
	heap uint64
	// cpuPerSecond and peerBytesPerSecond are the CPU time and the bytes
	// between nodes per second.
	cpuPerSecond       time.Duration
	peerBytesPerSecond float64
}

// measureMemory measures the cost on a node of one more item of each kind.
func (s slopesRun) measureMemory(ctx context.Context) ([]Table, error) {
	fleet, cleanUp, err := s.newFleet(ctx, memoryNodes)
	if err != nil {
		return nil, err
	}
	defer cleanUp()
	_, err = fleet.ConfigureModel(ctx, 1)
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
	if err := s.measureChangeCost(ctx, fleet, &changes, "few models", changeCostFirstKey); err != nil {
		return nil, err
	}
	for _, growth := range growthKinds() {
		row, err := s.measureGrowth(ctx, fleet, growth)
		if err != nil {
			return nil, err
		}
		table.addRow(growth.name, row...)
	}
	if err := s.measureChangeCost(ctx, fleet, &changes, "with all of the above", changeCostFirstKey+changeCostChanges); err != nil {
		return nil, err
	}
	requests, err := s.measureStreams(ctx)
	if err != nil {
		return nil, err
	}
	return []Table{table, changes, requests}, nil
}

func (s slopesRun) measureGrowth(ctx context.Context, fleet *Fleet, growth growthKind) ([]float64, error) {
	var readings []memoryReading
	for step := range 3 {
		if step > 0 {
			if err := growth.addItems(ctx, fleet, (step-1)*growth.count, step*growth.count); err != nil {
				return nil, err
			}
		}
		s.sleep(memorySettleTime)
		readings = append(readings, s.takeMemoryReading(fleet))
	}
	addedItems := float64(growth.count * memoryNodes)
	heap := func(step int) float64 {
		return (float64(readings[step].heap) - float64(readings[step-1].heap)) / addedItems
	}
	return []float64{
		float64(growth.count), heap(1), heap(2),
		inMicroseconds(readings[2].cpuPerSecond-readings[0].cpuPerSecond) / (2 * addedItems),
		2 * (readings[2].peerBytesPerSecond - readings[0].peerBytesPerSecond) / (2 * addedItems),
	}, nil
}

func (s slopesRun) takeMemoryReading(fleet *Fleet) memoryReading {
	heap := heapInUse()
	usageBefore, peersBefore := readUsage(), fleet.PeerTraffic.Bytes()
	s.sleep(memoryIdleTime)
	return memoryReading{
		heap:               heap,
		cpuPerSecond:       time.Duration(float64(readUsage().since(usageBefore).CPU) / memoryIdleTime.Seconds()),
		peerBytesPerSecond: float64(fleet.PeerTraffic.Bytes()-peersBefore) / memoryIdleTime.Seconds(),
	}
}

func growthKinds() []growthKind {
	return []growthKind{
		{"key", 100, addKeys},
		{"model", 500, addModels},
		{"adapter", 500, addAdapters},
		{"workspace", 200, addWorkspaces},
		{"endpoint", 50, addEndpoints},
	}
}

// applyNote applies a note and waits until it is in force on all nodes.
func (f *Fleet) applyNote(ctx context.Context, note releaser.Note) error {
	log, err := f.Publisher.Read(ctx)
	if err != nil {
		return err
	}
	note.Name, note.Base = "growth", log.Configuration.NoteVersion
	version, err := f.Submit(ctx, releaser.ApplyNote{Note: note})
	if err != nil {
		return err
	}
	_, err = f.AwaitVersion(version, len(f.Nodes), readyTimeout)
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
	return fleet.applyNote(ctx, note)
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
	return fleet.applyNote(ctx, note)
}

func addWorkspaces(ctx context.Context, fleet *Fleet, first, last int) error {
	var note releaser.Note
	for i := first; i < last; i++ {
		note.Workspaces = append(note.Workspaces, releaser.WorkspaceEntry{
			Action:    releaser.Add,
			Workspace: releaser.Workspace{Name: fmt.Sprintf("workspace-%d", i), Rate: 1000, Burst: 1000, Weight: 1},
		})
	}
	return fleet.applyNote(ctx, note)
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
	_, err := fleet.AwaitVersion(version, len(fleet.Nodes), readyTimeout)
	return err
}

// addEndpoints registers one engine under additional names.
func addEndpoints(ctx context.Context, fleet *Fleet, first, last int) error {
	for i := first; i < last; i++ {
		err := fleet.register(ctx, tracker.Instance{
			Name: fmt.Sprintf("growth-%d", i), Kind: tracker.Engine, Address: fleet.Engines[0],
			DataCentre: fleet.dataCentreName(i), MemoryMB: engineMemoryMB, HonoursFence: true,
		})
		if err != nil {
			return err
		}
	}
	return nil
}

const (
	changeCostChanges  = 20
	changeCostFirstKey = 1000
)

// measureChangeCost measures the cost of consecutive configuration changes.
func (s slopesRun) measureChangeCost(ctx context.Context, fleet *Fleet, table *Table, name string, first int) error {
	idle := s.takeMemoryReading(fleet)
	usageBefore, peersBefore, start := readUsage(), fleet.PeerTraffic.Bytes(), s.Clock.Now()
	if err := addKeys(ctx, fleet, first, first+changeCostChanges); err != nil {
		return err
	}
	seconds := s.Clock.Since(start).Seconds()
	used := readUsage().since(usageBefore)
	cpu := used.CPU - time.Duration(float64(idle.cpuPerSecond)*seconds)
	bytes := float64(fleet.PeerTraffic.Bytes()-peersBefore) - idle.peerBytesPerSecond*seconds
	nodeChanges := float64(changeCostChanges * memoryNodes)
	table.addRow(name, changeCostChanges, changeCostChanges/seconds, inMicroseconds(cpu)/nodeChanges, 2*bytes/nodeChanges, float64(used.Bytes)/nodeChanges)
	return nil
}
