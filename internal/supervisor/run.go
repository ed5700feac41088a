package supervisor

import (
	"context"
	"net/http"
	"time"

	"github.com/oklog/run"

	"toucanhitch.example/toucanhitch/internal/encoder"
	"toucanhitch.example/toucanhitch/internal/runner"
	"toucanhitch.example/toucanhitch/internal/scheduler"
	"toucanhitch.example/toucanhitch/internal/server"
	"toucanhitch.example/toucanhitch/internal/spreader"
	"toucanhitch.example/toucanhitch/internal/tracker"
)

const (
	// loadPublishInterval is the time between two publications of a node's
	// load. Every loadCheckInterval the node checks whether it has become
	// current, has a new version or is draining, and publishes such a change
	// at once.
	loadPublishInterval = 2 * time.Second
	loadCheckInterval   = 200 * time.Millisecond
	// addressAnswerMargin is added to the lifetime of address answers before a
	// draining node stops accepting connections, for the time that an answer
	// is in transit.
	addressAnswerMargin = time.Second
	// peerShutdownTimeout limits the shutdown of the peer server.
	peerShutdownTimeout = time.Second
)

// Run runs the node until ctx ends and then shuts it down: the node is removed
// from the address answers, finishes the requests that it has accepted, hands
// over its leases, and Run returns nil. A node of which a task or a server fails
// ends in the same way, but takes no more connections, and Run returns the error.
func (n *Node) Run(ctx context.Context) error {
	ctx, end := context.WithCancel(ctx)
	defer end()
	// The tasks run until the shutdown is complete, not only until ctx ends.
	taskCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	onFailure := func(err error) {
		runner.LogFailure(n.logger, err)
		n.failure.CompareAndSwap(nil, &err)
		end()
	}
	group := &run.Group{}
	for _, task := range n.tasks() {
		runner.AddGuarded(taskCtx, group, task, onFailure)
	}
	runner.AddGuarded(taskCtx, group, runFunc(func(ctx context.Context) error {
		return server.ServeBounded(ctx, n.clock, n.acceptor, n.peerListener, n.peerHandler(), peerShutdownTimeout)
	}), onFailure)
	runner.AddGuarded(taskCtx, group, runFunc(n.publishLoads), onFailure)
	runner.Add(ctx, group, runFunc(n.serveCallers))
	err := group.Run()
	if failure := n.failure.Load(); failure != nil {
		return *failure
	}
	return err
}

// runFunc is a function that runs until its context ends.
type runFunc func(ctx context.Context) error

// Run implements runner.Runnable.
func (r runFunc) Run(ctx context.Context) error { return r(ctx) }

func (n *Node) tasks() []runner.Runnable {
	tasks := []runner.Runnable{
		n.configurer, n.spreader, n.tracker, n.leaser, n.scheduler, n.recorder, n.placer, n.demands, n.acceptor,
	}
	return append(tasks, n.limits.tasks()...)
}

// serveCallers serves callers until ctx ends and then drains the node. Its
// return ends the group.
func (n *Node) serveCallers(ctx context.Context) error {
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	serveDone := make(chan error, 1)
	go func() {
		serveDone <- server.ServeBounded(serveCtx, n.clock, n.acceptor, n.callerListener, n.callerHandler(), n.settings.DrainGrace)
	}()
	select {
	case err := <-serveDone:
		return err
	case <-ctx.Done():
	}
	n.logger.Info("shutting down: removed from the address answers")
	n.draining.Store(true)
	n.publishLoad(n.nodeLoad())
	if n.failure.Load() == nil {
		<-n.clock.After(tracker.AddressLifetime + addressAnswerMargin)
	}
	n.logger.Info("shutting down: waiting for running requests")
	n.postWithRetry("scheduler", func() error { return n.scheduler.Post(scheduler.Drain{}) })
	stop()
	err := <-serveDone
	n.releaseLeases()
	n.logger.Info("shutdown complete")
	return err
}

func (n *Node) publishLoads(ctx context.Context) error {
	ticker := n.clock.NewTicker(loadCheckInterval)
	defer ticker.Stop()
	var published tracker.NodeLoad
	var publishedAt time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		}
		load := n.nodeLoad()
		changed := load.Current != published.Current || load.Version != published.Version || load.Draining != published.Draining
		if changed || n.clock.Since(publishedAt) >= loadPublishInterval {
			n.publishLoad(load)
			published, publishedAt = load, n.clock.Now()
		}
	}
}

func (n *Node) publishLoad(load tracker.NodeLoad) {
	n.logPostError("tracker", n.tracker.Post(tracker.LoadPushed{Load: load}))
	n.publishItem(spreader.Load, n.settings.Name, 0, spreader.Region, encoder.Encode(load))
}

func (n *Node) nodeLoad() tracker.NodeLoad {
	schedulerLoad := n.schedulerLoad.Load()
	configuration := n.view.Configuration()
	load := tracker.NodeLoad{
		Node:        n.settings.Name,
		Free:        1,
		Draining:    n.draining.Load(),
		Current:     n.view.Current(),
		Version:     configuration.Version,
		NoteVersion: configuration.NoteVersion,
	}
	if schedulerLoad.MaxWaiting > 0 {
		load.Free = 1 - float64(schedulerLoad.Waiting)/float64(schedulerLoad.MaxWaiting)
	}
	return load
}

// releaseTimeout limits the release of all leases together.
const releaseTimeout = 2 * time.Second

func (n *Node) releaseLeases() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	n.limits.releaseLease(ctx)
	if _, err := n.leaser.Release(ctx, n.placementLease(), nil); err != nil {
		n.logger.WithError(err).Warn("placement lease was not handed over; it will expire")
	}
}

// peerHandler handles requests of other nodes, operators and monitoring.
func (n *Node) peerHandler() http.Handler {
	mux := http.NewServeMux()
	n.registerPeerHandlers(mux)
	mux.Handle("GET /metrics", n.meter.Handler())
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	mux.HandleFunc("GET /readyz", n.handleReady)
	mux.HandleFunc("GET /state", n.handleState)
	return mux
}
