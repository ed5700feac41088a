package assembler

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"toucanhitch.example/toucanhitch/internal/acceptor"
	"toucanhitch.example/toucanhitch/internal/archiver"
	"toucanhitch.example/toucanhitch/internal/balancer"
	"toucanhitch.example/toucanhitch/internal/dispatcher"
	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/forwarder"
	"toucanhitch.example/toucanhitch/internal/leaser"
	"toucanhitch.example/toucanhitch/internal/messenger"
	"toucanhitch.example/toucanhitch/internal/meter"
	"toucanhitch.example/toucanhitch/internal/permitter"
	"toucanhitch.example/toucanhitch/internal/planner"
	"toucanhitch.example/toucanhitch/internal/rationer"
	"toucanhitch.example/toucanhitch/internal/relayer"
	"toucanhitch.example/toucanhitch/internal/resumer"
	"toucanhitch.example/toucanhitch/internal/screener"
	"toucanhitch.example/toucanhitch/internal/surveyor"
	"toucanhitch.example/toucanhitch/internal/syncer"
	"toucanhitch.example/toucanhitch/platform"
)

const (
	// placementLease is the lease whose holder plans placements and sends
	// orders to replicas.
	placementLease = "Placement"
	// transitMargin is the part of the revocation time limit that is
	// reserved for a request in transit to a replica. Beyond 0.6 of that
	// limit, requests with a key are not expected to be served.
	transitMargin = 1500 * time.Millisecond
	// orderMargin is added to the minimum spacing between the orders of two
	// lease holders, for the time that an order is in transit.
	orderMargin = 300 * time.Millisecond
	// retryBudgetShare is the part of the allowed retry ratio and slack that
	// all nodes use together. The rest is a reserve, since the platform's
	// windows slide and a restarted node begins with a new initial balance.
	retryBudgetShare = 0.6
	// budgetNodes is the number of nodes among which the retry slack is
	// divided.
	budgetNodes = 8
)

// leaseTiming is short to limit the time without orders: after the holder
// crashes, its successor must also wait for the order spacing to pass. The
// platform's store answers in 4 ms, and in 240 ms when it is slow.
var leaseTiming = leaser.Timing{
	Duration:      1800 * time.Millisecond,
	RenewInterval: 600 * time.Millisecond,
	PollInterval:  600 * time.Millisecond,
}

// Settings configures a node.
type Settings struct {
	platform.Settings
	// SettingsPath is the file from which the embedded Settings were read.
	SettingsPath string
	Clock        clockwork.Clock
	Logger       logrus.FieldLogger
	// Dropped returns the number of dropped log lines.
	Dropped func() int64
}

// Node is a node on the users' platform.
type Node struct {
	settings Settings
	clock    clockwork.Clock
	logger   logrus.FieldLogger
	self     surveyor.Node
	view     view
	// startedAt is when the node was created.
	startedAt time.Time
	draining  atomic.Bool
	// failure is the error of the first task or server that has failed, nil if none has.
	failure atomic.Pointer[error]
	// acceptor bounds the connections of callers and other nodes.
	acceptor *acceptor.Acceptor
	// shutdown is nil before the node shuts down.
	shutdown atomic.Pointer[forwarder.Shutdown]
	// holder is the last known holder of the placement lease.
	holder atomic.Pointer[holderHint]
	// bounds are the bounds in the settings file that was applied last.
	bounds atomic.Pointer[platform.Bounds]
	meter  *meter.Meter
	cold   coldCounts

	store     *platform.Store
	surveyor  *surveyor.Task
	planner   *planner.Task
	balancer  *balancer.Task
	permitter *permitter.Task
	// granters holds the peer addresses of the nodes that grant permits, by caller address.
	granters   atomic.Pointer[map[string]string]
	ownPermits ownPermits
	cacher     cacheReader
	relays     relayLists
	rationer   *rationer.Task
	screener   *screener.Task
	archiver   *archiver.Task
	resumer    *resumer.Task
	syncer     *syncer.Task
	leaser     *leaser.Task
	peers      *messenger.Client
	relayer    *relayer.Task
	carrier    *relayer.Carrier
	pool       *forwarder.Pool
	budgets    *forwarder.Budgets
	// durations are those of the answers to callers.
	durations *forwarder.Durations

	// storeRestoredAt is when the store was last found restored from an older copy, nil
	// if never.
	storeRestoredAt atomic.Pointer[time.Time]
	// dataInLease is what this node has last stored in the placement lease, nil if nothing.
	dataInLease atomic.Pointer[leaseData]
	// leaseUnreadable is set once a lease could not be decoded.
	leaseUnreadable atomic.Bool
	// registration signals that the node's entry must be written.
	registration chan struct{}
	listeners    listeners
	cleanUps     []func()
}

// holderHint names the holder of the placement lease to other nodes. Address is
// empty if it is not known.
type holderHint struct{ name, address string }

// New creates a node and opens its listeners. The returned function releases all its resources.
func New(ctx context.Context, settings Settings) (*Node, func(), error) {
	n := &Node{
		settings:     settings,
		clock:        settings.Clock,
		logger:       settings.Logger,
		startedAt:    settings.Clock.Now(),
		registration: make(chan struct{}, 1),
		self: surveyor.Node{
			Name:          settings.Node,
			RunID:         uuid.NewString(),
			DataCentre:    settings.DataCentre,
			CallerAddress: settings.CallerAddress,
			PeerAddress:   settings.PeerAddress,
			Capacity:      capacity(settings.Settings),
		},
	}
	n.bounds.Store(&settings.Bounds)
	if err := n.initialize(ctx); err != nil {
		n.cleanUp()
		return nil, nil, err
	}
	return n, n.cleanUp, nil
}

func (n *Node) initialize(ctx context.Context) error {
	metrics, endMeter, err := meter.New()
	if err != nil {
		return err
	}
	n.meter = metrics
	n.cleanUps = append(n.cleanUps, endMeter)
	n.acceptor = n.newAcceptor()
	if err := n.createGauges(); err != nil {
		return err
	}
	dialer := newDialer()
	store, closeStore := platform.NewStore(n.settings.Store.Address, n.clock, dialer)
	store.Unreadable.Report = func(kind, name string, err error) {
		n.logger.WithFields(logrus.Fields{"Kind": kind, "Name": name}).WithError(err).Warn("unreadable store entry skipped")
	}
	n.store = store
	engines, closeEngines := platform.NewEngineClient(n.settings.Node, dialer)
	peers, closePeers := messenger.NewClientWithDialer(n.clock, dialer)
	peers.Observe = n.logFormUse
	n.peers = peers
	closeCarrier := n.createRelayer(dialer)
	pool, closePool := forwarder.NewPool(n.relayer, n.clock, bufferBytes(n.settings.MemoryMB))
	n.pool = pool
	n.cleanUps = append(n.cleanUps, closeStore, closeEngines, closePeers, closePool, closeCarrier)
	n.createTasks(engines)
	return n.openListeners(ctx)
}

// keyReadMargin is the time by which the view of the configuration may be due later
// than keys expire without it, since nodes read before the bound.
const keyReadMargin = 500 * time.Millisecond

func (n *Node) createTasks(engines *platform.EngineClient) {
	bounds := n.settings.Bounds
	n.surveyor = surveyor.New(surveyor.Settings{
		Store:      n.store,
		Clock:      n.clock,
		Bounds:     viewBounds(n.settings.Settings),
		FirstStart: n.settings.FirstStart,
		Publish:    n.applySurveyorEffect,
	})
	n.planner = planner.New(planner.TaskSettings{
		Settings: planner.Settings{
			Node:             n.settings.Node,
			OrderSpacing:     bounds.OrderSpacing + orderMargin,
			MinTakeoverDelay: leaseTiming.MinTakeoverDelay(),
		},
		Clock:          n.clock,
		Replicas:       engines,
		RemoveNode:     n.removeNode,
		StoreLeaseData: n.storeLeaseData,
		StoreRecords:   n.storeRecords,
		Log:            n.logPlannerNote,

		HandOver:        n.handLeaseOver,
		RegainCandidacy: n.regainCandidacy,
	})
	n.balancer = balancer.New(balancer.Settings{
		Clock:       n.clock,
		Seed:        seed(n.self.RunID),
		OnNewDemand: func() { n.logPostError("syncer", n.syncer.Post(syncer.ExchangeNow{})) },
		Log:         n.logBalancerNote,
	})
	n.createCacher(engines)
	n.rationer = rationer.New(n.clock, bounds.QuotaSlack, seed(n.self.RunID))
	n.screener = screener.New(screener.Settings{
		Node:     n.settings.Node,
		Clock:    n.clock,
		Log:      n.logScreenerNote,
		LogError: func(err error) { n.logPostError("screener", err) },
	})
	n.createArchiver()
	n.resumer = resumer.New(resumer.Settings{
		Clock:        n.clock,
		Peers:        n.peers,
		SetBeginning: n.setBeginning,
		LogUndelivered: func(address string, err error) {
			n.logger.WithField("Peer", address).WithError(err).Info("origins of streams not sent to another node")
		},
		LogError: func(err error) { n.logPostError("resumer", err) },
	})
	n.permitter = permitter.New(permitter.Settings{
		Clock: n.clock,
		Seed:  seed(n.self.RunID),
		Send:  n.peers.ReleasePermit,
		Log:   n.logPermitterNote,
	})
	n.syncer = syncer.New(syncer.Settings{
		Node:          n.settings.Node,
		Lease:         placementLease,
		Clock:         n.clock,
		Collect:       n.collectReport,
		AnswerLocally: n.planner.Report,
		Send:          n.peers.Report,
		Publish:       n.applySyncerEffect,
	})
	n.leaser = leaser.New(leaser.Settings{
		Node:       n.settings.Node,
		Names:      []string{placementLease},
		Store:      n.store,
		Clock:      n.clock,
		FirstStart: n.settings.FirstStart,
		Timing:     leaseTiming,
		Publish:    n.applyLeaseEvent,

		LogUnreadable: n.logUnreadableLease,
	})
	n.durations = &forwarder.Durations{Clock: n.clock}
	n.budgets = &forwarder.Budgets{Clock: n.clock, Settings: dispatcher.BudgetSettings{
		Ratio:          bounds.RetryRatio * retryBudgetShare,
		MaxBalance:     bounds.RetrySlack * retryBudgetShare / budgetNodes,
		InitialBalance: bounds.RetrySlack * retryBudgetShare / budgetNodes,
	}}
}

// chain returns the filters of a forwarded request in the order in which they
// run.
func (n *Node) chain() filter.Chain {
	return filter.Chain{
		forwarder.ResolveRoute{View: &n.view, Clock: n.clock},
		forwarder.Drain{Clock: n.clock, Shutdown: n.shutdownTimes, Durations: n.durations},
		forwarder.Authorize{View: &n.view, Clock: n.clock, MaxKeyAge: n.maxKeyAge},
		&forwarder.RestrictRegions{View: &n.view, Regions: n.settings.Regions, Log: n.logNoRegion},
		forwarder.ScreenRequest{Screen: n.screener},
		forwarder.LimitRate{Limits: n.rationer, Observe: n.recordWait},
		&forwarder.Dispatch{
			Pool:      n.pool,
			Codec:     platform.Codec{},
			Placer:    n.balancer,
			Screen:    n.screener,
			Streams:   n.resumer,
			Permits:   permits{n},
			View:      &n.view,
			Clock:     n.clock,
			MaxKeyAge: n.maxKeyAge,
			Budgets:   n.budgets,
			Durations: n.durations,
			Log:       n.logAttempt,
			Observe:   n.recordWait,
		},
	}
}

// listeners are the node's open listeners.
type listeners struct{ callers, readiness, directory, peers net.Listener }

func (n *Node) openListeners(ctx context.Context) error {
	for _, binding := range []struct {
		address string
		share   acceptor.Share
		target  *net.Listener
	}{
		{n.settings.CallerAddress, acceptor.Callers, &n.listeners.callers},
		{n.settings.ReadinessAddress, acceptor.Readiness, &n.listeners.readiness},
		{n.settings.DirectoryAddress, acceptor.Directory, &n.listeners.directory},
		{n.settings.PeerAddress, acceptor.Peers, &n.listeners.peers},
	} {
		listener, err := listen(ctx, binding.address)
		if err != nil {
			return merry.Wrap(err, merry.PrependMessagef("listen on %s", binding.address))
		}
		*binding.target = n.acceptor.Listen(listener, binding.share)
		n.cleanUps = append(n.cleanUps, func() { _ = listener.Close() })
	}
	return nil
}

func (n *Node) cleanUp() {
	for i := len(n.cleanUps) - 1; i >= 0; i-- {
		n.cleanUps[i]()
	}
}

// peerHandler handles requests of other nodes and of monitoring.
func (n *Node) peerHandler() http.Handler {
	mux := http.NewServeMux()
	messenger.HandleReport(mux, messenger.ReportSettings{Answer: n.handleReport, Observe: n.logFormUse})
	messenger.HandleStreams(mux, n.rememberStreams, n.resumer.LookUp)
	messenger.HandleExplain(mux, n.explain)
	messenger.HandleRelay(mux, n.carrier)
	messenger.HandlePermits(mux, n.permitter.Acquire, func(release permitter.Release) error { return n.permitter.Post(release) })
	messenger.HandleUnknown(mux, n.logFormUse)
	mux.Handle("GET /metrics", n.meter.Handler())
	return mux
}
