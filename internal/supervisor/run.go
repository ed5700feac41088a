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
	// loadEvery is how often a node tells the others of its load, and
	// loadCheck how soon it tells them that it became current, has a new
	// version or leaves.
	loadEvery = 2 * time.Second
	loadCheck = 200 * time.Millisecond
	// drainMargin is added to the lifetime of address answers before a
	// leaving node stops taking connections: answers travel for a while.
	drainMargin = time.Second
	// peerGrace bounds the end of the peer server.
	peerGrace = time.Second
)

// Run runs the node until ctx ends, then lets it leave: it disappears from the
// address answers, finishes the requests that it took, hands its leases over,
// and returns nil.
func (n *Node) Run(ctx context.Context) error {
	// The tasks run until the node has left, not only until ctx ends.
	working, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group := &run.Group{}
	for _, task := range n.tasks() {
		runner.Add(working, group, task)
	}
	runner.Add(working, group, runnable(func(ctx context.Context) error {
		return server.Serve(ctx, n.clock, n.peerListener, n.peerHandler(), peerGrace)
	}))
	runner.Add(working, group, runnable(n.publishLoads))
	runner.Add(ctx, group, runnable(n.serveCallers))
	return group.Run()
}

// runnable is a function that runs until its context ends.
type runnable func(ctx context.Context) error

// Run implements runner.Runnable.
func (r runnable) Run(ctx context.Context) error { return r(ctx) }

func (n *Node) tasks() []runner.Runnable {
	tasks := []runner.Runnable{
		n.configurer, n.spreader, n.tracker, n.leaser, n.scheduler, n.recorder, n.placer, n.demands,
	}
	return append(tasks, n.limits.tasks()...)
}

// serveCallers serves until ctx ends and then drains. Its return ends the
// group.
func (n *Node) serveCallers(ctx context.Context) error {
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	ended := make(chan error, 1)
	go func() {
		ended <- server.Serve(serving, n.clock, n.callerListener, n.callers(), n.settings.DrainGrace)
	}()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	n.logger.Info("leaving: taken out of the address answers")
	n.draining.Store(true)
	n.publishLoad(n.nodeLoad())
	<-n.clock.After(tracker.AddressLifetime + drainMargin)
	n.logger.Info("leaving: finishing running requests")
	n.postSurely("scheduler", func() error { return n.scheduler.Post(scheduler.Drain{}) })
	stop()
	err := <-ended
	n.handOver()
	n.logger.Info("left")
	return err
}

func (n *Node) publishLoads(ctx context.Context) error {
	ticker := n.clock.NewTicker(loadCheck)
	defer ticker.Stop()
	var said tracker.NodeLoad
	var saidAt time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		}
		load := n.nodeLoad()
		changed := load.Current != said.Current || load.Version != said.Version || load.Draining != said.Draining
		if changed || n.clock.Since(saidAt) >= loadEvery {
			n.publishLoad(load)
			said, saidAt = load, n.clock.Now()
		}
	}
}

func (n *Node) publishLoad(load tracker.NodeLoad) {
	n.post("tracker", n.tracker.Post(tracker.LoadPushed{Load: load}))
	n.spread(spreader.Load, n.settings.Name, 0, spreader.Region, encoder.Encode(load))
}

func (n *Node) nodeLoad() tracker.NodeLoad {
	published := n.load.Load()
	configuration := n.view.Configuration()
	load := tracker.NodeLoad{
		Node:        n.settings.Name,
		Free:        1,
		Draining:    n.draining.Load(),
		Current:     n.view.Current(),
		Version:     configuration.Version,
		NoteVersion: configuration.NoteVersion,
	}
	if published.MaxWaiting > 0 {
		load.Free = 1 - float64(published.Waiting)/float64(published.MaxWaiting)
	}
	return load
}

// handOverTimeout bounds the release of one lease.
const handOverTimeout = 2 * time.Second

func (n *Node) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	n.limits.handOver(ctx)
	if _, err := n.leaser.Release(ctx, n.placementLease(), nil); err != nil {
		n.logger.WithError(err).Warn("placement lease was not handed over; it will expire")
	}
}

// peerHandler serves other nodes, operators and monitoring.
func (n *Node) peerHandler() http.Handler {
	mux := http.NewServeMux()
	n.handlePeers(mux)
	mux.Handle("GET /metrics", n.meter.Handler())
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	mux.HandleFunc("GET /readyz", n.ready)
	mux.HandleFunc("GET /state", n.state)
	return mux
}
