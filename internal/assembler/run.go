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
	// registerRetryDelay is the time between two tries to register.
	registerRetryDelay = 300 * time.Millisecond
	// addressLifetime is how long callers may use an address answer. Some keep
	// it three times as long, which fits in the time of a shutdown.
	addressLifetime = 2 * time.Second
	// callerIdleTimeout closes a caller's idle connection. Callers reuse connections
	// within the idle time of the configuration, which is shorter.
	callerIdleTimeout = 2 * time.Minute
	// headerTimeout bounds the time that a caller takes for a header.
	headerTimeout = 10 * time.Second
	// shutdownMargin is the part of the time for a shutdown that is left for its
	// end, and unregisterMargin that for the last calls of the store.
	shutdownMargin = 500 * time.Millisecond
	// acceptShare is the part of that time in which new requests are taken:
	// callers may use their last address answer for so long.
	acceptShare = 0.75
	// queueShare is the part of that time in which requests may wait for a
	// replica; after it they are refused as not run while callers can still
	// come back elsewhere.
	queueShare = 0.6
)

// Run serves until ctx ends, then lets the node leave: it disappears from the
// address answers, goes on serving while callers may still use it, finishes
// what it took and returns.
func (n *Node) Run(ctx context.Context) error {
	taskCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group := &run.Group{}
	for _, task := range []runner.Runnable{
		n.surveyor, n.planner, n.balancer, n.rationer, n.syncer, n.leaser,
	} {
		runner.Add(taskCtx, group, task)
	}
	n.serve(taskCtx, group, n.listeners.peers, n.peerHandler())
	n.serve(taskCtx, group, n.listeners.readiness, platform.Readiness(n.ready))
	n.serve(taskCtx, group, n.listeners.directory, platform.Directory(n.addresses))
	runner.Add(taskCtx, group, runFunc(n.register))
	runner.Add(taskCtx, group, runFunc(n.watchSettings))
	runner.Add(ctx, group, runFunc(n.serveCallers))
	n.logger.WithField("Run", n.self.Run).Info("started")
	err := group.Run()
	n.logger.Info("stopped")
	return err
}

// runFunc is a function that runs until its context ends.
type runFunc func(ctx context.Context) error

// Run implements runner.Runnable.
func (r runFunc) Run(ctx context.Context) error { return r(ctx) }

// serve adds a server of a listener to the group.
func (n *Node) serve(ctx context.Context, group *run.Group, listener net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout}
	runner.Add(ctx, group, runFunc(func(ctx context.Context) error {
		stopped := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stopped()
		return server.Serve(listener)
	}))
}

// serveCallers serves until ctx ends and then drains. Its return ends the
// group.
func (n *Node) serveCallers(ctx context.Context) error {
	server := &http.Server{
		Handler: &platform.Front{
			Chain:     n.chain(),
			Clock:     n.clock,
			BodyLimit: n.bodyLimit,
			Draining:  n.draining.Load,
			Ended:     n.logRequestEnd,
		},
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       callerIdleTimeout,
	}
	serveDone := make(chan error, 1)
	go func() { serveDone <- server.Serve(n.listeners.callers) }()
	select {
	case err := <-serveDone:
		return err
	case <-ctx.Done():
	}
	return n.drain(server)
}

// drain ends the node's part in the fleet and then its requests.
func (n *Node) drain(server *http.Server) error {
	startedAt := n.clock.Now()
	grace := n.bounds.Load().DrainGrace
	cutOff := startedAt.Add(grace - shutdownMargin)
	n.cutOff.Store(&cutOff)
	n.draining.Store(true)
	n.logger.Info("leaving: taken out of the address answers")
	n.logPostError("syncer", n.syncer.Post(syncer.Urgent{}))
	n.logPostError("balancer", n.balancer.Post(balancer.Leave{Until: startedAt.Add(time.Duration(queueShare * float64(grace)))}))
	ctx, cancel := context.WithTimeout(context.Background(), grace-shutdownMargin)
	defer cancel()
	n.logPostError("planner", n.planner.Post(planner.LeaseLost{}))
	if _, err := n.leaser.Release(ctx, placementLease, []byte(n.self.Name)); err != nil {
		n.logger.WithError(err).Warn("placement lease was not handed over; it will expire")
	}
	if err := n.store.Unregister(ctx, n.self.Name, 0); err != nil {
		n.logger.WithError(err).Warn("entry was not removed")
	}
	acceptTime := time.Duration(acceptShare*float64(grace)) - n.clock.Since(startedAt)
	select {
	case <-n.clock.After(acceptTime):
	case <-ctx.Done():
	}
	n.logger.Info("leaving: finishing running requests")
	if err := server.Shutdown(ctx); err != nil {
		n.logger.WithError(err).Warn("requests were cut off")
		_ = server.Close()
	}
	return nil
}

// cutOffTime returns when this node cuts off its requests, the zero time while it
// does not leave.
func (n *Node) cutOffTime() time.Time {
	if cutOff := n.cutOff.Load(); cutOff != nil {
		return *cutOff
	}
	return time.Time{}
}

// requestRegistration asks for the node's entry to be written.
func (n *Node) requestRegistration() {
	select {
	case n.registration <- struct{}{}:
	default:
	}
}

// register writes the node's entry whenever it is asked to.
func (n *Node) register(ctx context.Context) error {
	n.requestRegistration()
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
		case <-n.clock.After(registerRetryDelay):
			n.requestRegistration()
		}
	}
}

// ready says whether callers may use this node.
func (n *Node) ready() bool {
	configuration, _ := n.view.Configuration()
	return configuration != nil && !n.draining.Load()
}

// addresses answers callers that ask where to connect.
func (n *Node) addresses(platform.Query) ([]string, time.Duration) {
	lifetime := min(addressLifetime, n.bounds.Load().AddressLifetime)
	return n.view.addresses(n.clock.Now(), n.self.Callers, !n.ready()), lifetime
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
