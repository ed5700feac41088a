package assembler

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/oklog/run"

	"toucanhitch.example/toucanhitch/internal/balancer"
	"toucanhitch.example/toucanhitch/internal/planner"
	"toucanhitch.example/toucanhitch/internal/runner"
	"toucanhitch.example/toucanhitch/internal/syncer"
	"toucanhitch.example/toucanhitch/platform"
)

const (
	// registerPause is the time between two tries to register.
	registerPause = 300 * time.Millisecond
	// addressLifetime is how long callers may use an address answer. Some keep
	// it three times as long, which fits in the time of a shutdown.
	addressLifetime = 2 * time.Second
	// callerIdle closes a caller's idle connection. Callers reuse connections
	// within the idle time of the configuration, which is shorter.
	callerIdle = 2 * time.Minute
	// headerTimeout bounds the time that a caller takes for a header.
	headerTimeout = 10 * time.Second
	// finishMargin is the part of the time for a shutdown that is left for its
	// end, and unregisterMargin that for the last calls of the store.
	finishMargin = 500 * time.Millisecond
	// leaveShare is the part of that time in which new requests are taken:
	// callers may use their last address answer for so long.
	leaveShare = 0.75
	// holdShare is the part of that time in which requests may wait for a
	// replica; after it they are refused as not run while callers can still
	// come back elsewhere.
	holdShare = 0.6
)

// Run serves until ctx ends, then lets the node leave: it disappears from the
// address answers, goes on serving while callers may still use it, finishes
// what it took and returns.
func (n *Node) Run(ctx context.Context) error {
	working, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group := &run.Group{}
	for _, task := range []runner.Runnable{
		n.surveyor, n.planner, n.balancer, n.rationer, n.syncer, n.leaser,
	} {
		runner.Add(working, group, task)
	}
	n.serve(working, group, n.listeners.peers, n.peerHandler())
	n.serve(working, group, n.listeners.readiness, platform.ReadinessHandler(n.ready))
	n.serve(working, group, n.listeners.directory, platform.DirectoryHandler(n.addresses))
	runner.Add(working, group, runnable(n.register))
	runner.Add(working, group, runnable(n.reload))
	runner.Add(ctx, group, runnable(n.serveCallers))
	n.logger.WithField("Run", n.self.RunID).Info("started")
	err := group.Run()
	n.logger.Info("stopped")
	return err
}

// runnable is a function that runs until its context ends.
type runnable func(ctx context.Context) error

// Run implements runner.Runnable.
func (r runnable) Run(ctx context.Context) error { return r(ctx) }

// serve adds a server of a listener to the group.
func (n *Node) serve(ctx context.Context, group *run.Group, listener net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdle}
	runner.Add(ctx, group, runnable(func(ctx context.Context) error {
		stopped := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stopped()
		return server.Serve(listener)
	}))
}

// serveCallers serves until ctx ends and then drains. Its return ends the
// group.
func (n *Node) serveCallers(ctx context.Context) error {
	server := &http.Server{
		Handler: &platform.CallerHandler{
			Chain:        n.chain(),
			Clock:        n.clock,
			BodyLimit:    n.bodyLimit,
			Draining:     n.draining.Load,
			OnRequestEnd: n.logEnd,
		},
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       callerIdle,
	}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(n.listeners.callers) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	return n.leave(server)
}

// leave ends the node's part in the fleet and then its requests.
func (n *Node) leave(server *http.Server) error {
	startedAt := n.clock.Now()
	grace := n.bounds.Load().DrainGrace
	cutOff := startedAt.Add(grace - finishMargin)
	n.cutOff.Store(&cutOff)
	n.draining.Store(true)
	n.logger.Info("leaving: taken out of the address answers")
	n.post("syncer", n.syncer.Post(syncer.ExchangeNow{}))
	n.post("balancer", n.balancer.Post(balancer.Leave{Until: startedAt.Add(time.Duration(holdShare * float64(grace)))}))
	ctx, cancel := context.WithTimeout(context.Background(), grace-finishMargin)
	defer cancel()
	n.post("planner", n.planner.Post(planner.LeaseLost{}))
	if _, err := n.leaser.Release(ctx, placementLease, []byte(n.self.Name)); err != nil {
		n.logger.WithError(err).Warn("placement lease was not handed over; it will expire")
	}
	if err := n.store.Unregister(ctx, n.self.Name, 0); err != nil {
		n.logger.WithError(err).Warn("entry was not removed")
	}
	open := time.Duration(leaveShare*float64(grace)) - n.clock.Since(startedAt)
	select {
	case <-n.clock.After(open):
	case <-ctx.Done():
	}
	n.logger.Info("leaving: finishing running requests")
	if err := server.Shutdown(ctx); err != nil {
		n.logger.WithError(err).Warn("requests were cut off")
		_ = server.Close()
	}
	return nil
}

// leavesAt returns when this node cuts off its requests, the zero time while it
// does not leave.
func (n *Node) leavesAt() time.Time {
	if cutOff := n.cutOff.Load(); cutOff != nil {
		return *cutOff
	}
	return time.Time{}
}

// wantRegistration asks for the node's entry to be written.
func (n *Node) wantRegistration() {
	select {
	case n.registration <- struct{}{}:
	default:
	}
}

// register writes the node's entry whenever it is asked to.
func (n *Node) register(ctx context.Context) error {
	n.wantRegistration()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.registration:
		}
		if n.draining.Load() {
			continue
		}
		err := n.store.Register(ctx, n.self)
		if err == nil {
			n.logger.Info("registered")
			continue
		}
		n.logger.WithError(err).Warn("not registered")
		select {
		case <-ctx.Done():
			return nil
		case <-n.clock.After(registerPause):
			n.wantRegistration()
		}
	}
}

// ready says whether callers may use this node.
func (n *Node) ready() bool {
	configuration, _ := n.view.Configuration()
	return configuration != nil && !n.draining.Load()
}

// addresses answers callers that ask where to connect.
func (n *Node) addresses(platform.AddressQuery) ([]string, time.Duration) {
	lifetime := min(addressLifetime, n.bounds.Load().AddressLifetime)
	return n.view.addresses(n.clock.Now(), n.self.CallerAddress, !n.ready()), lifetime
}

// defaultBodyLimit bounds a body before the configuration is known.
const defaultBodyLimit = 4 << 20

func (n *Node) bodyLimit() int64 {
	configuration, _ := n.view.Configuration()
	if configuration == nil || configuration.Limits.BodyBytes <= 0 {
		return defaultBodyLimit
	}
	return configuration.Limits.BodyBytes
}
