package assembler

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/oklog/run"
	"github.com/sirupsen/logrus"

	"toucanhitch.example/toucanhitch/internal/balancer"
	"toucanhitch.example/toucanhitch/internal/forwarder"
	"toucanhitch.example/toucanhitch/internal/planner"
	"toucanhitch.example/toucanhitch/internal/runner"
	"toucanhitch.example/toucanhitch/internal/surveyor"
	"toucanhitch.example/toucanhitch/internal/syncer"
	"toucanhitch.example/toucanhitch/platform"
)

const (
	// registerRetryDelay is the time between two attempts to register.
	registerRetryDelay = 300 * time.Millisecond
	// reregisterInterval is the minimum time between two successful
	// registrations. Lists of nodes may be older than the last one.
	reregisterInterval = 8 * time.Second
	// addressLifetime is how long callers may use an address answer. Some
	// callers use it for three times as long; the shutdown time allows for
	// that.
	addressLifetime = 2 * time.Second
	// shutdownMargin is the part of the shutdown time that is reserved for the
	// steps after the requests have ended.
	shutdownMargin = 500 * time.Millisecond
	// answerMargin is the time in which the requests that remain at the end of the shutdown
	// time get their answers.
	answerMargin = 150 * time.Millisecond
	// acceptShare is the fraction of the shutdown time during which the node
	// accepts new requests, since callers may use their last address answer
	// for that long.
	acceptShare = 0.75
	// carriedCheckInterval is the time between two looks for connections of other nodes that
	// have become idle.
	carriedCheckInterval = 200 * time.Millisecond
	// queueShare is the fraction of the shutdown time during which requests
	// may wait for a replica. After it they are refused as not run, while
	// callers still have time to retry at another node.
	queueShare = 0.6
)

// Run runs the node until ctx ends and then shuts it down: the node is removed
// from the address answers, keeps serving while callers may still use its
// address, finishes the requests that it has accepted, and Run returns. A node of which a
// task or a server fails ends in the same way, but takes no more connections, and Run
// returns the error.
func (n *Node) Run(ctx context.Context) error {
	ctx, end := context.WithCancel(ctx)
	defer end()
	taskCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	onFailure := func(err error) {
		runner.LogFailure(n.logger, err)
		n.meter.RecordChange("node", "failed")
		n.failure.CompareAndSwap(nil, &err)
		end()
	}
	group := &run.Group{}
	for _, task := range []runner.Runnable{
		n.surveyor, n.planner, n.balancer, n.cacher, n.rationer, n.screener, n.archiver, n.resumer, n.permitter, n.syncer, n.leaser, n.acceptor, n.relayer,
	} {
		runner.AddGuarded(taskCtx, group, task, onFailure)
	}
	for _, runnable := range []runFunc{
		n.serve(n.listeners.peers, n.peerHandler()),
		n.serve(n.listeners.readiness, platform.ReadinessHandler(n.ready)),
		n.serve(n.listeners.directory, platform.DirectoryHandler(n.addresses)),
		n.register,
		n.watchSettings,
	} {
		runner.AddGuarded(taskCtx, group, runnable, onFailure)
	}
	runner.Add(ctx, group, runFunc(func(ctx context.Context) error { return n.serveCallers(ctx, onFailure) }))
	n.logger.WithFields(logrus.Fields{"Run": n.self.RunID, "FirstStart": n.settings.FirstStart}).Info("node started")
	err := group.Run()
	n.logger.Info("node stopped")
	if failure := n.failure.Load(); failure != nil {
		return *failure
	}
	return err
}

// runFunc is a function that runs until its context ends.
type runFunc func(ctx context.Context) error

// Run implements runner.Runnable.
func (r runFunc) Run(ctx context.Context) error { return r(ctx) }

// serve returns an HTTP server for a listener.
func (n *Node) serve(listener net.Listener, handler http.Handler) runFunc {
	server := &http.Server{Handler: handler}
	n.acceptor.Attach(server)
	return func(ctx context.Context) error {
		stopped := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stopped()
		return server.Serve(listener)
	}
}

// serveCallers serves callers until ctx ends or connections cannot be accepted any more, and
// then drains the node. Its return ends the group.
func (n *Node) serveCallers(ctx context.Context, onFailure func(error)) error {
	requests, endRequests := context.WithCancelCause(context.Background())
	defer endRequests(nil)
	server := &http.Server{
		BaseContext: func(net.Listener) context.Context { return requests },
		Handler: &platform.CallerHandler{
			Chain:        n.chain(),
			Clock:        n.clock,
			BodyLimit:    n.bodyLimit,
			Bodies:       n.newBodyBudget(),
			Draining:     n.draining.Load,
			OnRequestEnd: n.logRequestEnd,
		},
	}
	n.acceptor.Attach(server)
	serveDone := make(chan error, 1)
	go func() { serveDone <- server.Serve(n.listeners.callers) }()
	select {
	case err := <-serveDone:
		onFailure(err)
	case <-ctx.Done():
	}
	return n.drain(server, endRequests)
}

// drain releases the placement lease, removes the node's entry from the store,
// and then finishes the node's requests. It ends those that remain answerMargin before the
// end of the shutdown time, so that they get an answer.
func (n *Node) drain(server *http.Server, endRequests context.CancelCauseFunc) error {
	startedAt := n.clock.Now()
	grace := n.bounds.Load().DrainGrace
	cutoffAt := startedAt.Add(grace - shutdownMargin - answerMargin)
	n.shutdown.Store(&forwarder.Shutdown{StartedAt: startedAt, CutoffAt: cutoffAt, Grace: grace})
	end := n.clock.AfterFunc(cutoffAt.Sub(startedAt), func() {
		n.logger.Info("shutting down: ending the remaining requests")
		endRequests(forwarder.ErrShutdown)
	})
	defer end.Stop()
	n.draining.Store(true)
	n.logger.Info("shutting down: removed from the address answers")
	n.logPostError("syncer", n.syncer.Post(syncer.ExchangeNow{}))
	n.logPostError("balancer", n.balancer.Post(balancer.Leave{Until: startedAt.Add(time.Duration(queueShare * float64(grace)))}))
	ctx, cancel := context.WithTimeout(context.Background(), grace-shutdownMargin)
	defer cancel()
	n.logPostError("planner", n.planner.Post(planner.LeaseLost{}))
	if _, err := n.leaser.Release(ctx, placementLease, n.releaseData()); err != nil {
		n.logger.WithError(err).Warn("placement lease was not handed over; it will expire")
	}
	if err := n.store.Unregister(ctx, n.self.Name, 0); err != nil {
		n.logger.WithError(err).Warn("node entry was not removed from the store")
	}
	acceptTime := time.Duration(acceptShare*float64(grace)) - n.clock.Since(startedAt)
	if n.failure.Load() != nil {
		// The node cannot serve new requests. The sooner it has ended, the sooner it starts again.
		acceptTime = 0
	}
	select {
	case <-n.clock.After(acceptTime):
	case <-ctx.Done():
	}
	n.logger.Info("shutting down: waiting for running requests")
	if err := server.Shutdown(ctx); err != nil {
		n.logger.WithError(err).Warn("running requests were terminated at the end of the shutdown time")
		_ = server.Close()
	}
	n.finishCarried(ctx)
	return nil
}

// finishCarried waits until ctx ends for the requests of other nodes on connections that this
// node carries, and closes those connections that are idle.
func (n *Node) finishCarried(ctx context.Context) {
	for {
		n.carrier.Retire()
		if n.carrier.Open() == 0 {
			return
		}
		select {
		case <-n.clock.After(carriedCheckInterval):
		case <-ctx.Done():
			return
		}
	}
}

// shutdownTimes returns the times of the node's shutdown, or the zero value if it is not
// shutting down.
func (n *Node) shutdownTimes() forwarder.Shutdown {
	if shutdown := n.shutdown.Load(); shutdown != nil {
		return *shutdown
	}
	return forwarder.Shutdown{}
}

// requestRegistration requests that the node's entry be written. It does not
// block.
func (n *Node) requestRegistration() {
	select {
	case n.registration <- struct{}{}:
	default:
	}
}

// register writes the node's entry on each request, and retries after a failure.
// The first request comes with a list of nodes that lacks the entry: the entry of an
// earlier run of the node remains valid.
func (n *Node) register(ctx context.Context) error {
	var registeredAt time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.registration:
		}
		if n.draining.Load() || !n.registrationIsDue(registeredAt) {
			continue
		}
		startedAt := n.clock.Now()
		err := n.store.Register(ctx, n.self)
		if err == nil {
			registeredAt = startedAt
			n.logger.Info("node registered")
			n.requestNodes()
			continue
		}
		n.logger.WithError(err).Warn("node not registered; will retry")
		select {
		case <-ctx.Done():
			return nil
		case <-n.clock.After(registerRetryDelay):
			n.requestRegistration()
		}
	}
}

// requestNodes requests the list of nodes that contains this one, without which the node does not
// look for the holder. When the whole system starts for the first time, the list would lack the
// nodes that have not registered yet.
func (n *Node) requestNodes() {
	if !n.settings.FirstStart {
		n.logPostError("surveyor", n.surveyor.Post(surveyor.NodeRegistered{}))
	}
}

// registrationIsDue reports whether the node's entry may be written again after it was
// last written at the given time, the zero time for never.
func (n *Node) registrationIsDue(registeredAt time.Time) bool {
	if restoredAt := n.storeRestoredAt.Load(); restoredAt != nil && restoredAt.After(registeredAt) {
		return true
	}
	return registeredAt.IsZero() || n.clock.Since(registeredAt) >= reregisterInterval
}

// ready reports whether callers may use this node.
func (n *Node) ready() bool { return n.serving() && !n.acceptor.Full() }

// serving reports whether the node serves callers, apart from a passing lack of room.
func (n *Node) serving() bool {
	configuration, _ := n.view.Configuration()
	return configuration != nil && !n.draining.Load() && n.knowsEvacuations()
}

// addresses returns the addresses to which callers may connect, and the
// lifetime of the answer.
func (n *Node) addresses(query platform.AddressQuery) ([]string, time.Duration) {
	bounds := n.bounds.Load()
	configuration, _ := n.view.Configuration()
	self := planner.Caller{Address: n.self.CallerAddress, Capacity: n.self.Capacity, DataCentre: n.self.DataCentre}
	regions := findRegions(configuration, query, n.settings.Regions)
	return n.view.addresses(n.clock.Now(), maxCallerAge(*bounds), self, !n.serving(), regions), min(addressLifetime, bounds.AddressLifetime)
}

// callers returns the nodes that callers may use, with their ages.
func (n *Node) callers() []planner.Caller {
	return n.view.holderCallers(n.clock.Now(), maxCallerAge(*n.bounds.Load()))
}

// defaultBodyLimit is the limit of a request body in bytes that applies until
// the configuration is known, and when the configuration sets none.
const defaultBodyLimit = 4 << 20

func (n *Node) bodyLimit() int64 {
	configuration, _ := n.view.Configuration()
	if configuration == nil || configuration.Limits.BodyBytes <= 0 {
		return defaultBodyLimit
	}
	return configuration.Limits.BodyBytes
}
