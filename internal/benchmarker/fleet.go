package benchmarker

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"toucanhitch.example/toucanhitch/internal/emulator"
	"toucanhitch.example/toucanhitch/internal/encoder"
	"toucanhitch.example/toucanhitch/internal/publisher"
	"toucanhitch.example/toucanhitch/internal/server"
	"toucanhitch.example/toucanhitch/internal/storer"
	"toucanhitch.example/toucanhitch/internal/supervisor"
	"toucanhitch.example/toucanhitch/internal/tracker"
	"toucanhitch.example/toucanhitch/pkg/releaser"
)

// FleetSettings configures a Fleet.
type FleetSettings struct {
	Clock clockwork.Clock
	// Nodes is the number of nodes, which are assigned to the data centres in
	// turn.
	Nodes       int
	DataCentres int
	Engines     []emulator.EngineSettings
	// BasePort is the first of the loopback ports that the fleet uses: one for
	// the platform, one for each engine and two for each node.
	BasePort int
	// ListLag is the delay of the platform's instance list.
	ListLag time.Duration
}

// Fleet is a platform with engines and nodes in this process, connected over
// loopback. It is not safe for concurrent use.
type Fleet struct {
	Settings  FleetSettings
	Platform  string
	Engines   []string
	Nodes     []*FleetNode
	Publisher publisher.Publisher
	// Events receives the configuration and lease events that the nodes log.
	Events chan FleetEvent

	PlatformTraffic *Traffic
	EngineTraffic   *Traffic
	PeerTraffic     *Traffic

	nextPort int
	cleanups []func()
}

// FleetNode is a node of a Fleet.
type FleetNode struct {
	Name          string
	CallerAddress string
	PeerAddress   string
	// ShutDown starts a graceful shutdown, in which the node hands over its
	// leases. Crash stops the node's tasks at once.
	ShutDown func()
	Crash    func()
	// Ended is closed when the node's Run has returned.
	Ended chan struct{}
}

const (
	fleetRegion    = "region-1"
	engineMemoryMB = 64 << 10
	// eventBufferSize is far above the number of events in one trial.
	eventBufferSize = 1 << 16
	platformDelay   = 2 * time.Millisecond
	shutdownGrace   = 100 * time.Millisecond
)

// NewFleet starts a fleet and returns it with a function that stops it. The
// nodes are not ready at once; see AwaitReady.
func NewFleet(ctx context.Context, settings FleetSettings) (*Fleet, func(), error) {
	fleet := &Fleet{
		Settings:        settings,
		Events:          make(chan FleetEvent, eventBufferSize),
		PlatformTraffic: &Traffic{},
		EngineTraffic:   &Traffic{},
		PeerTraffic:     &Traffic{},
		nextPort:        settings.BasePort,
	}
	if err := fleet.start(ctx); err != nil {
		fleet.close()
		return nil, nil, err
	}
	return fleet, fleet.close, nil
}

func (f *Fleet) close() {
	for i := len(f.cleanups) - 1; i >= 0; i-- {
		f.cleanups[i]()
	}
}

func (f *Fleet) start(ctx context.Context) error {
	if err := f.startPlatform(); err != nil {
		return err
	}
	for i, engine := range f.Settings.Engines {
		if err := f.startEngine(ctx, i, engine); err != nil {
			return err
		}
	}
	for range f.Settings.Nodes {
		if _, err := f.StartNode(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) nextAddress() string {
	f.nextPort++
	return fmt.Sprintf("127.0.0.1:%d", f.nextPort-1)
}

func (f *Fleet) dataCentreName(index int) string {
	return fmt.Sprintf("dc-%d", index%max(1, f.Settings.DataCentres)+1)
}

// serve serves a handler at an address until the fleet is stopped.
func (f *Fleet) serve(address string, traffic *Traffic, handler http.Handler) error {
	listener, err := traffic.Listen(address)
	if err != nil {
		return merry.Wrap(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = server.Serve(ctx, f.Settings.Clock, listener, handler, shutdownGrace)
	}()
	f.cleanups = append(f.cleanups, func() { cancel(); <-ended })
	return nil
}

func (f *Fleet) startPlatform() error {
	settings := emulator.DefaultPlatformSettings()
	settings.Latency = platformDelay
	settings.ListLag = f.Settings.ListLag
	platform, stop, err := emulator.NewPlatform(settings, f.Settings.Clock)
	if err != nil {
		return err
	}
	f.cleanups = append(f.cleanups, stop)
	f.Platform = f.nextAddress()
	if err := f.serve(f.Platform, f.PlatformTraffic, platform); err != nil {
		return err
	}
	store, closeStore := storer.New(f.Platform, f.Settings.Clock)
	f.cleanups = append(f.cleanups, closeStore)
	f.Publisher = publisher.Publisher{Store: store, Clock: f.Settings.Clock, Actor: "benchmark"}
	return nil
}

func (f *Fleet) startEngine(ctx context.Context, index int, settings emulator.EngineSettings) error {
	settings.Name = fmt.Sprintf("engine-%d", index+1)
	settings.HonoursFence = true
	settings.MemoryMB = engineMemoryMB
	engine, stop, err := emulator.NewEngine(settings, f.Settings.Clock)
	if err != nil {
		return err
	}
	f.cleanups = append(f.cleanups, stop)
	address := f.nextAddress()
	if err := f.serve(address, f.EngineTraffic, engine); err != nil {
		return err
	}
	f.Engines = append(f.Engines, address)
	return f.register(ctx, tracker.Instance{
		Name: settings.Name, Kind: tracker.Engine, Address: address, DataCentre: f.dataCentreName(index),
		MemoryMB: settings.MemoryMB, HonoursFence: true,
	})
}

func (f *Fleet) register(ctx context.Context, instance tracker.Instance) error {
	instance.Region = fleetRegion
	instance.Phase = tracker.Live
	url := "http://" + f.Platform + "/instances/" + instance.Name
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(encoder.Encode(instance)))
	if err != nil {
		return merry.Wrap(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return merry.Wrap(err)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		return merry.Errorf("register instance: PUT %s: %s", url, response.Status)
	}
	return nil
}

// StartNode registers and runs one more node.
func (f *Fleet) StartNode(ctx context.Context) (*FleetNode, error) {
	index := len(f.Nodes)
	node := &FleetNode{
		Name:          fmt.Sprintf("node-%d", index+1),
		CallerAddress: f.nextAddress(),
		PeerAddress:   f.nextAddress(),
		Ended:         make(chan struct{}),
	}
	err := f.register(ctx, tracker.Instance{
		Name: node.Name, Kind: tracker.Entry, Address: node.CallerAddress, PeerAddress: node.PeerAddress, DataCentre: f.dataCentreName(index),
	})
	if err != nil {
		return nil, err
	}
	run, cleanUp, err := supervisor.New(f.nodeSettings(node, f.dataCentreName(index)))
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	node.ShutDown, node.Crash = cancel, cleanUp
	go func() {
		defer close(node.Ended)
		_ = run.Run(ctx)
	}()
	f.Nodes = append(f.Nodes, node)
	f.cleanups = append(f.cleanups, func() { cleanUp(); cancel() })
	return node, nil
}

func (f *Fleet) nodeSettings(node *FleetNode, dataCentre string) supervisor.Settings {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	logger.AddHook(eventHook{node: node.Name, clock: f.Settings.Clock, events: f.Events})
	return supervisor.Settings{
		Name:            node.Name,
		DataCentre:      dataCentre,
		Region:          fleetRegion,
		CallerAddress:   node.CallerAddress,
		PeerAddress:     node.PeerAddress,
		PlatformAddress: f.Platform,
		Regions:         []string{fleetRegion},
		StoreRate:       100,
		MaxStoreLoads:   4,
		LimitSlots:      max(8, f.Settings.Nodes),
		DrainGrace:      shutdownGrace,
		Listen: func(address string) (net.Listener, error) {
			if address == node.PeerAddress {
				return f.PeerTraffic.Listen(address)
			}
			return net.Listen("tcp", address)
		},
		Clock:  f.Settings.Clock,
		Logger: logger,
	}
}

// Submit submits a configuration change and returns its version.
func (f *Fleet) Submit(ctx context.Context, body releaser.Body) (uint64, error) {
	change, err := f.Publisher.Submit(ctx, body)
	return change.Version, err
}
