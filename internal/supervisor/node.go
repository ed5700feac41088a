package supervisor

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"toucanhitch.example/toucanhitch/internal/acceptor"
	"toucanhitch.example/toucanhitch/internal/configurer"
	"toucanhitch.example/toucanhitch/internal/dispatcher"
	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/leaser"
	"toucanhitch.example/toucanhitch/internal/messenger"
	"toucanhitch.example/toucanhitch/internal/meter"
	"toucanhitch.example/toucanhitch/internal/orderer"
	"toucanhitch.example/toucanhitch/internal/placer"
	"toucanhitch.example/toucanhitch/internal/poller"
	"toucanhitch.example/toucanhitch/internal/recorder"
	"toucanhitch.example/toucanhitch/internal/router"
	"toucanhitch.example/toucanhitch/internal/runner"
	"toucanhitch.example/toucanhitch/internal/scheduler"
	"toucanhitch.example/toucanhitch/internal/server"
	"toucanhitch.example/toucanhitch/internal/spreader"
	"toucanhitch.example/toucanhitch/internal/storer"
	"toucanhitch.example/toucanhitch/internal/tracker"
	"toucanhitch.example/toucanhitch/pkg/releaser"
)

// ErrSettings reports that a node cannot start with its settings.
var ErrSettings = merry.Sentinel("node cannot start")

// Node is a toucanhitch process: it implements everything between callers and
// endpoints on one entry instance.
type Node struct {
	settings Settings
	clock    clockwork.Clock
	logger   logrus.FieldLogger
	// failure is the error of the first task or server that has failed, nil if none has.
	failure atomic.Pointer[error]

	// acceptor bounds the connections of callers and other nodes.
	acceptor       *acceptor.Acceptor
	callerListener net.Listener
	peerListener   net.Listener

	store     *storer.Client
	messenger *messenger.Client
	poller    *poller.Poller
	meter     *meter.Meter
	budget    *dispatcher.Budget
	sender    *orderer.Sender

	view       *configurer.View
	configurer *configurer.Task
	spreader   *spreader.Task
	tracker    *tracker.Task
	leaser     *leaser.Task
	scheduler  *scheduler.Scheduler
	recorder   *recorder.Task
	placer     *placer.Task
	dispatcher *dispatcher.Dispatcher
	limits     *limits
	demands    *runner.Task[demandMessage, demandEffect]

	fleet atomic.Pointer[tracker.Fleet]
	peers atomic.Pointer[tracker.Peers]
	// schedulerLoad is the load that the scheduler published last.
	schedulerLoad atomic.Pointer[scheduler.PublishLoad]
	placement     atomic.Pointer[placer.View]
	// draining is set when the node begins to shut down.
	draining atomic.Bool
	// heldLeases holds the leases of this node by name; only the leaser's task
	// writes it.
	heldLeases atomic.Pointer[map[string]leaser.Held]
}

// New returns a node that listens on its addresses, and a function that
// releases its resources. All errors are ErrSettings.
func New(settings Settings) (*Node, func(), error) {
	n := &Node{settings: settings, clock: settings.Clock, logger: settings.Logger}
	n.fleet.Store(&tracker.Fleet{})
	n.peers.Store(&tracker.Peers{Self: n.self()})
	n.schedulerLoad.Store(&scheduler.PublishLoad{})
	n.placement.Store(&placer.View{})
	n.heldLeases.Store(&map[string]leaser.Held{})
	n.acceptor = n.newAcceptor()
	var cleanUps cleanUps
	if err := n.listen(&cleanUps); err != nil {
		cleanUps.run()
		return nil, nil, err
	}
	if err := n.connect(&cleanUps); err != nil {
		cleanUps.run()
		return nil, nil, err
	}
	n.createTasks()
	return n, cleanUps.run, nil
}

// cleanUps collects clean-up functions and runs them in reverse order.
type cleanUps []func()

func (c *cleanUps) add(cleanUp func()) { *c = append(*c, cleanUp) }

func (c *cleanUps) run() {
	for i := len(*c) - 1; i >= 0; i-- {
		(*c)[i]()
	}
}

func (n *Node) self() spreader.Peer {
	return spreader.Peer{
		Name:       n.settings.Name,
		Address:    n.settings.PeerAddress,
		DataCentre: n.settings.DataCentre,
		Region:     n.settings.Region,
	}
}

func (n *Node) listen(cleanUps *cleanUps) error {
	var err error
	if n.callerListener, err = n.settings.listen(n.settings.CallerAddress); err != nil {
		return merry.Wrap(ErrSettings, merry.AppendMessagef("listen on caller address: %v", err))
	}
	n.callerListener = n.acceptor.Listen(n.callerListener, acceptor.Callers)
	cleanUps.add(func() { _ = n.callerListener.Close() })
	if n.peerListener, err = n.settings.listen(n.settings.PeerAddress); err != nil {
		return merry.Wrap(ErrSettings, merry.AppendMessagef("listen on peer address: %v", err))
	}
	n.peerListener = n.acceptor.Listen(n.peerListener, acceptor.Peers)
	cleanUps.add(func() { _ = n.peerListener.Close() })
	return nil
}

// connect creates the clients that own the node's outgoing connections, and
// the meter.
func (n *Node) connect(cleanUps *cleanUps) error {
	var cleanUp func()
	n.store, cleanUp = storer.New(n.settings.PlatformAddress, n.clock)
	n.store.Unreadable.Report = func(kind, name string, err error) {
		n.logger.WithFields(logrus.Fields{"Kind": kind, "Name": name}).WithError(err).Warn("unreadable store entry skipped")
	}
	cleanUps.add(cleanUp)
	n.messenger, cleanUp = messenger.NewClient(n.clock)
	cleanUps.add(cleanUp)
	n.poller, cleanUp = poller.New(n.clock)
	cleanUps.add(cleanUp)
	n.budget = dispatcher.NewBudget(n.clock)
	n.dispatcher, cleanUp = dispatcher.New(dispatcher.Settings{Clock: n.clock, Budget: n.budget})
	cleanUps.add(cleanUp)
	n.sender, cleanUp = orderer.New(n.clock, n.settings.OrderToken, n.placerSettings().OrderTimeout)
	cleanUps.add(cleanUp)
	var err error
	n.meter, cleanUp, err = meter.New()
	if err != nil {
		return merry.Wrap(ErrSettings, merry.AppendMessage(err.Error()))
	}
	cleanUps.add(cleanUp)
	return n.createGauges()
}

// createTasks creates the tasks. Their callbacks post to other tasks, so no
// task may run before all of them exist.
func (n *Node) createTasks() {
	seed := xxhash.Sum64String(n.settings.Name)
	n.view = configurer.NewView(n.clock)
	n.configurer = configurer.NewTask(configurer.TaskSettings{
		Clock:       n.clock,
		Controller:  configurer.New(n.settings.DataCentre, seed),
		Store:       n.store,
		View:        n.view,
		Pull:        n.pullConfiguration,
		PushChanges: n.pushChanges,
		OnPublish:   n.configurationApplied,
		Log:         n.logConfigurerNote,
	})
	n.spreader = spreader.NewTask(spreader.TaskSettings{
		Clock:      n.clock,
		Controller: spreader.New(n.self()),
		Push:       n.messenger.Push,
		Deliver:    n.deliver,
		PushResult: n.peerAnswered,
	})
	n.tracker = tracker.NewTask(tracker.TaskSettings{
		Clock:        n.clock,
		Controller:   tracker.New(n.self()),
		Lister:       n.store,
		PollReport:   n.poller.PollReport,
		PushList:     n.pushList,
		PollEvents:   n.poller.PollEvents,
		PushReport:   n.pushReport,
		PushEvents:   n.pushEvents,
		PublishFleet: n.fleetChanged,
		PublishPeers: n.peersChanged,
	})
	n.leaser = leaser.New(leaser.Settings{
		Node:    n.settings.Name,
		Names:   []string{limitsLease, n.placementLease()},
		Store:   n.store,
		Clock:   n.clock,
		Publish: n.leaseChanged,
		LogUnreadable: func(lease string, err error) {
			n.logger.WithField("Lease", lease).WithError(err).Error("lease of an unknown form is left alone")
		},
	})
	n.scheduler = scheduler.NewAtLocation(
		router.Location{Region: n.settings.Region, DataCentre: n.settings.DataCentre}, seed,
		scheduler.Settings{
			Clock:        n.clock,
			ReportDemand: n.reportDemand,
			PublishLoad:  func(load scheduler.PublishLoad) { n.schedulerLoad.Store(&load) },
		})
	n.recorder = recorder.NewTask(n.clock, n.store, recorder.NewWriter(n.settings.Name))
	n.placer = placer.NewTask(placer.TaskSettings{
		Clock:     n.clock,
		Placer:    n.placerSettings(),
		Store:     n.store,
		Sender:    n.sender,
		OnPublish: n.placementChanged,
	})
	n.demands = n.newDemandTask()
	n.limits = n.newLimits()
}

func (n *Node) placerSettings() placer.Settings {
	settings := placer.DefaultSettings(n.settings.Region, n.settings.StoreRate)
	settings.Regions = n.settings.Regions
	settings.MaxStoreLoads = n.settings.MaxStoreLoads
	if n.settings.KeepAlive != nil {
		settings.Policy = n.settings.KeepAlive
	}
	return settings
}

// chain returns the filters of a request in the order in which they run.
func (n *Node) chain() filter.Chain {
	records := recorder.Recorder{
		Clock: n.clock,
		Self:  n.settings.Name,
		Nodes: n.nodeAddresses,
		Local: func(ctx context.Context, operation recorder.Operation) (recorder.Result, error) {
			return recorder.Execute(ctx, n.recorder, operation)
		},
		Remote: n.messenger.SendOperation,
	}
	observed := observedDispatcher{Dispatcher: n.dispatcher, onResult: n.endpointAnswered}
	return filter.Chain{
		filter.Identify{Clock: n.clock},
		filter.Resolve{View: n.view},
		filter.Authenticate{View: n.view},
		filter.Limit{Clock: n.clock, Limits: n.limits.client},
		filter.Admit{View: n.view, Scheduler: n.scheduler},
		filter.Confirm{Clock: n.clock, Limits: n.limits.client},
		filter.RecordIntent{Recorder: records},
		filter.Dispatch{
			Clock:     n.clock,
			Scheduler: n.scheduler,
			Dispatcher: dispatcher.Hedger{
				Dispatcher: observed,
				Scheduler:  n.scheduler,
				Budget:     n.budget,
				Clock:      n.clock,
			},
			Recorder: records,
			Budget:   n.budget,
		},
	}
}

func (n *Node) callerHandler() http.Handler {
	return server.NewCallers(server.CallersSettings{
		Clock:     n.clock,
		Logger:    n.logger,
		Chain:     n.chain(),
		View:      n.view,
		Observer:  n.meter,
		Addresses: n.addresses,
	})
}

func (n *Node) addresses(caller string) []tracker.Address {
	return tracker.Addresses(n.clock.Now(), n.fleet.Load(), *n.peers.Load(), caller)
}

func (n *Node) pullConfiguration(ctx context.Context, address string, version uint64) (configurer.Answer, error) {
	return n.messenger.Pull(ctx, address, version)
}

func (n *Node) configurationApplied(configuration *releaser.Configuration) {
	n.logger.WithField("Version", configuration.Version).Info("configuration in force: " + configuration.String())
	n.postWithRetry("placer", func() error {
		return n.placer.Post(placer.ConfigurationChanged{Configuration: n.view.Configuration()})
	})
	n.limits.configurationChanged()
}

// logConfigurerNote logs what this node does after a restoration of the object API.
func (n *Node) logConfigurerNote(note configurer.Note) {
	fields := logrus.Fields{"Era": note.Era}
	if note.To > 0 {
		fields["From"], fields["To"] = note.From, note.To
	}
	n.logger.WithFields(fields).Warn(note.Text)
}

// nodeAddresses returns the peer addresses of the live nodes by name.
func (n *Node) nodeAddresses() map[string]string {
	peers := n.peers.Load()
	addresses := map[string]string{peers.Self.Name: peers.Self.Address}
	for _, peer := range peers.Alive {
		addresses[peer.Name] = peer.Address
	}
	return addresses
}
