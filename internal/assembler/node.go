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

	"toucanhitch.example/toucanhitch/internal/balancer"
	"toucanhitch.example/toucanhitch/internal/dispatcher"
	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/forwarder"
	"toucanhitch.example/toucanhitch/internal/leaser"
	"toucanhitch.example/toucanhitch/internal/messenger"
	"toucanhitch.example/toucanhitch/internal/meter"
	"toucanhitch.example/toucanhitch/internal/planner"
	"toucanhitch.example/toucanhitch/internal/rationer"
	"toucanhitch.example/toucanhitch/internal/surveyor"
	"toucanhitch.example/toucanhitch/internal/syncer"
	"toucanhitch.example/toucanhitch/platform"
)

const (
	// placementLease is the lease whose holder plans and orders.
	placementLease = "Placement"
	// currencyMargin is the part of the time for withdrawals that is left for
	// a request on its way to a replica. Beyond 0.6 of the time, keyed
	// requests are not expected to be served.
	currencyMargin = 1500 * time.Millisecond
	// orderMargin is added to the spacing of two holders' orders for the time
	// that an order takes on its way.
	orderMargin = 300 * time.Millisecond
	// retryShare is the part of the allowed retry ratio and slack that the
	// nodes use together: windows slide, and nodes restart with an opening.
	retryShare = 0.6
	// budgetNodes is the number of nodes among which the slack is divided.
	budgetNodes = 8
)

// leaseTiming keeps the time without orders short: after a crash of the holder
// its successor must also wait out the spacing of orders. The platform's store
// answers in 4 ms, and in 240 ms when it is slow.
var leaseTiming = leaser.Timing{
	Duration: 1800 * time.Millisecond,
	Renew:    600 * time.Millisecond,
	Poll:     600 * time.Millisecond,
}

// Settings describes a node.
type Settings struct {
	platform.Settings
	// SettingsPath is the file that Settings was read from.
	SettingsPath string
	Clock        clockwork.Clock
	Logger       logrus.FieldLogger
	// Dropped returns the number of log lines that were dropped.
	Dropped func() int64
}

// Node is a node on the users' platform.
type Node struct {
	settings Settings
	clock    clockwork.Clock
	logger   logrus.FieldLogger
	self     surveyor.Node
	view     view
	draining atomic.Bool
	// cutOff is when a leaving node ends its requests.
	cutOff atomic.Pointer[time.Time]
	// holder is the node that held the placement lease when this node last
	// learnt of it.
	holder atomic.Pointer[string]
	// bounds are those of the settings file in force.
	bounds atomic.Pointer[platform.Bounds]
	meter  *meter.Meter

	store    *platform.Store
	surveyor *surveyor.Task
	planner  *planner.Task
	balancer *balancer.Task
	rationer *rationer.Task
	syncer   *syncer.Task
	leaser   *leaser.Task
	peers    *messenger.Client
	pool     *forwarder.Pool
	budgets  *forwarder.Budgets

	// registration asks for the node's entry to be written.
	registration chan struct{}
	listeners    listeners
	cleanUps     []func()
}

// New creates a node and opens its listeners. The returned function closes
// what New opened.
func New(ctx context.Context, settings Settings) (*Node, func(), error) {
	n := &Node{
		settings:     settings,
		clock:        settings.Clock,
		logger:       settings.Logger,
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
	if err := n.create(ctx); err != nil {
		n.cleanUp()
		return nil, nil, err
	}
	return n, n.cleanUp, nil
}

// fullLink is the bandwidth from which on a link does not limit a node.
const fullLink = 100 // Mbit/s

// capacity returns what a node can do, by its processor and its link.
func capacity(settings platform.Settings) float64 {
	share := settings.Cores
	if settings.LinkMbps > 0 && settings.LinkMbps < fullLink {
		share *= settings.LinkMbps / fullLink
	}
	return share
}

func (n *Node) create(ctx context.Context) error {
	metrics, endMeter, err := meter.New()
	if err != nil {
		return err
	}
	n.meter = metrics
	n.cleanUps = append(n.cleanUps, endMeter)
	if err := n.createGauges(); err != nil {
		return err
	}
	dialer := newDialer()
	store, closeStore := platform.NewStore(n.settings.Store.Address, n.clock, dialer)
	store.OnUnreadable = func(kind, name string, err error) {
		n.logger.WithFields(logrus.Fields{"Kind": kind, "Name": name}).WithError(err).Warn("entry of the store skipped")
	}
	n.store = store
	engines, closeEngines := platform.NewEngineClient(n.settings.Node, dialer)
	peers, closePeers := messenger.NewClientWith(n.clock, dialer)
	n.peers = peers
	pool, closePool := forwarder.NewPool(dialer, n.clock)
	n.pool = pool
	n.cleanUps = append(n.cleanUps, closeStore, closeEngines, closePeers, closePool)
	n.createTasks(engines)
	return n.openListeners(ctx)
}

func (n *Node) createTasks(engines *platform.EngineClient) {
	bounds := n.settings.Bounds
	n.surveyor = surveyor.New(surveyor.Settings{Store: n.store, Clock: n.clock, Publish: n.believe})
	n.planner = planner.New(planner.TaskSettings{
		Settings: planner.Settings{
			Node:             n.settings.Node,
			OrderSpacing:     bounds.OrderSpacing + orderMargin,
			MinTakeoverDelay: leaseTiming.Overlap(),
		},
		Clock:      n.clock,
		Replicas:   engines,
		RemoveNode: n.removeNode,
		Log:        n.logPlan,
	})
	n.balancer = balancer.New(balancer.Settings{
		Clock:       n.clock,
		Seed:        seed(n.self.RunID),
		OnNewDemand: func() { n.post("syncer", n.syncer.Post(syncer.ExchangeNow{})) },
		Log:         n.logReplica,
	})
	n.rationer = rationer.New(n.clock, bounds.QuotaSlack, seed(n.self.RunID))
	n.syncer = syncer.New(syncer.Settings{
		Node:          n.settings.Node,
		Lease:         placementLease,
		Clock:         n.clock,
		Collect:       n.collect,
		AnswerLocally: n.planner.Report,
		Send:          n.peers.Report,
		Publish:       n.synced,
	})
	n.leaser = leaser.New(leaser.Settings{
		Node:    n.settings.Node,
		Names:   []string{placementLease},
		Store:   n.store,
		Clock:   n.clock,
		Timing:  leaseTiming,
		Publish: n.leased,
	})
	n.budgets = &forwarder.Budgets{Clock: n.clock, Settings: dispatcher.BudgetSettings{
		Share:   bounds.RetryRatio * retryShare,
		Savings: bounds.RetrySlack * retryShare / budgetNodes,
		Opening: bounds.RetrySlack * retryShare / budgetNodes,
	}}
}

// chain returns the filters of a forwarded request.
func (n *Node) chain() filter.Chain {
	return filter.Chain{
		forwarder.Locate{View: &n.view, Clock: n.clock},
		forwarder.Leave{Clock: n.clock, Until: n.leavesAt},
		forwarder.Authorize{View: &n.view, Clock: n.clock, Currency: n.currency},
		forwarder.Ration{Limits: n.rationer},
		&forwarder.Dispatch{
			Pool:     n.pool,
			Codec:    platform.Codec{},
			Places:   n.balancer,
			View:     &n.view,
			Clock:    n.clock,
			Currency: n.currency,
			Budgets:  n.budgets,
			Log:      n.logAttempt,
		},
	}
}

// listeners are the node's open addresses.
type listeners struct{ callers, readiness, directory, peers net.Listener }

func (n *Node) openListeners(ctx context.Context) error {
	for _, open := range []struct {
		address string
		target  *net.Listener
	}{
		{n.settings.CallerAddress, &n.listeners.callers},
		{n.settings.ReadinessAddress, &n.listeners.readiness},
		{n.settings.DirectoryAddress, &n.listeners.directory},
		{n.settings.PeerAddress, &n.listeners.peers},
	} {
		listener, err := listen(ctx, open.address)
		if err != nil {
			return merry.Wrap(err, merry.PrependMessagef("listen on %s", open.address))
		}
		*open.target = listener
		n.cleanUps = append(n.cleanUps, func() { _ = listener.Close() })
	}
	return nil
}

func (n *Node) cleanUp() {
	for i := len(n.cleanUps) - 1; i >= 0; i-- {
		n.cleanUps[i]()
	}
}

// peerHandler serves other nodes and monitoring.
func (n *Node) peerHandler() http.Handler {
	mux := http.NewServeMux()
	messenger.HandleReport(mux, n.report)
	mux.Handle("GET /metrics", n.meter.Handler())
	return mux
}
