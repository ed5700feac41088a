package commander

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/oklog/run"
	"github.com/sirupsen/logrus"

	"toucanhitch.example/toucanhitch/internal/predictor"
	"toucanhitch.example/toucanhitch/internal/runner"
	"toucanhitch.example/toucanhitch/internal/supervisor"
)

// NodeCommand runs a node.
type NodeCommand struct {
	Name        string        `arg:"--name,env:TOUCANHITCH_NAME" help:"name in the platform's instance list" placeholder:"NAME"`
	DataCentre  string        `arg:"--data-centre,env:TOUCANHITCH_DATA_CENTRE" help:"data centre of this instance" placeholder:"NAME"`
	Region      string        `arg:"--region,env:TOUCANHITCH_REGION" help:"region of this instance" placeholder:"NAME"`
	Caller      string        `arg:"--caller-address,env:TOUCANHITCH_CALLER_ADDRESS" help:"address for callers" placeholder:"IP:PORT"`
	Peer        string        `arg:"--peer-address,env:TOUCANHITCH_PEER_ADDRESS" help:"address for other nodes, operators and metrics" placeholder:"IP:PORT"`
	Platform    string        `arg:"--platform,env:TOUCANHITCH_PLATFORM" help:"address of the platform's object API" placeholder:"IP:PORT"`
	Regions     []string      `arg:"--regions,env:TOUCANHITCH_REGIONS" help:"all regions of the deployment; default: only this one" placeholder:"NAME"`
	OrderToken  string        `arg:"--order-token,env:TOUCANHITCH_ORDER_TOKEN" help:"token for endpoints that check who orders" placeholder:"TOKEN"`
	StoreRate   float64       `arg:"--store-rate,env:TOUCANHITCH_STORE_RATE" default:"3" help:"loads a second from the weight store in this region" placeholder:"N"`
	StoreAtOnce int           `arg:"--store-at-once,env:TOUCANHITCH_STORE_AT_ONCE" default:"4" help:"loads in progress at a time in this region" placeholder:"N"`
	LimitSlots  int           `arg:"--limit-slots,env:TOUCANHITCH_LIMIT_SLOTS" default:"8" help:"standing shares of each workspace's limit; at least the number of entry instances, the same on all" placeholder:"N"`
	KeepAlive   string        `arg:"--keep-alive,env:TOUCANHITCH_KEEP_ALIVE" default:"fixed-time" help:"how long idle models stay loaded: fixed-time, least-recently-used or idle-histogram; the same on all nodes" placeholder:"POLICY"`
	DrainGrace  time.Duration `arg:"--drain-grace,env:TOUCANHITCH_DRAIN_GRACE" default:"10m" help:"longest wait for running requests when leaving" placeholder:"DURATION"`
	LogLevel    string        `arg:"--log-level,env:TOUCANHITCH_LOG_LEVEL" default:"info" help:"error, warn, info or debug" placeholder:"LEVEL"`
}

// Bounds of the settings.
const (
	maxStoreRate   = 1000
	maxStoreAtOnce = 1000
	maxLimitSlots  = 100_000
	maxDrainGrace  = 24 * time.Hour
)

func (c *NodeCommand) check() error {
	var wrong mistakes
	wrong.name("--name", c.Name)
	wrong.name("--data-centre", c.DataCentre)
	wrong.name("--region", c.Region)
	wrong.address("--caller-address", c.Caller)
	wrong.address("--peer-address", c.Peer)
	wrong.address("--platform", c.Platform)
	for _, region := range c.Regions {
		wrong.name("--regions", region)
	}
	if len(c.Regions) > 0 && !slices.Contains(c.Regions, c.Region) {
		wrong.add("--regions", strings.Join(c.Regions, " "), "a list that contains --region, "+c.Region)
	}
	wrong.number("--store-rate", c.StoreRate, 0.001, maxStoreRate)
	wrong.number("--store-at-once", float64(c.StoreAtOnce), 1, maxStoreAtOnce)
	wrong.number("--limit-slots", float64(c.LimitSlots), 1, maxLimitSlots)
	wrong.duration("--drain-grace", c.DrainGrace, time.Second, maxDrainGrace)
	if _, err := predictor.ByName(c.KeepAlive); err != nil {
		wrong.add("--keep-alive", c.KeepAlive, "fixed-time, least-recently-used or idle-histogram")
	}
	if _, err := logrus.ParseLevel(c.LogLevel); err != nil {
		wrong.add("--log-level", c.LogLevel, "error, warn, info or debug")
	}
	return wrong.err()
}

func (c *NodeCommand) settings(env environment) supervisor.Settings {
	logger := logrus.New()
	logger.SetOutput(env.errors)
	logger.SetFormatter(&logrus.JSONFormatter{})
	level, _ := logrus.ParseLevel(c.LogLevel) // checked before
	logger.SetLevel(level)
	policy, _ := predictor.ByName(c.KeepAlive) // checked before
	regions := c.Regions
	if len(regions) == 0 {
		regions = []string{c.Region}
	}
	return supervisor.Settings{
		Name:            c.Name,
		DataCentre:      c.DataCentre,
		Region:          c.Region,
		CallerAddress:   c.Caller,
		PeerAddress:     c.Peer,
		PlatformAddress: c.Platform,
		OrderToken:      c.OrderToken,
		Regions:         regions,
		StoreRate:       c.StoreRate,
		MaxStoreLoads:   c.StoreAtOnce,
		LimitSlots:      c.LimitSlots,
		KeepAlive:       policy,
		DrainGrace:      c.DrainGrace,
		Clock:           env.clock,
		Logger:          logger.WithField("Node", c.Name),
	}
}

// run serves until SIGTERM or SIGINT, then lets the node leave. A second
// signal ends the process at once.
func (c *NodeCommand) run(env environment) error {
	if err := c.check(); err != nil {
		return err
	}
	node, cleanUp, err := supervisor.New(c.settings(env))
	if err != nil {
		return err
	}
	defer cleanUp()
	go exitOnSecondSignal(env.ctx)
	return runUntilSignal(env.ctx, node)
}

// runUntilSignal runs a node until SIGTERM or SIGINT and then lets it leave.
func runUntilSignal(ctx context.Context, node runner.Runnable) error {
	group := &run.Group{}
	running, leave := context.WithCancel(ctx)
	var ended error
	group.Add(
		func() error {
			ended = node.Run(running)
			return ended
		},
		func(error) { leave() },
	)
	group.Add(run.SignalHandler(ctx, syscall.SIGTERM, syscall.SIGINT))
	err := group.Run()
	if errors.Is(err, run.ErrSignal) {
		// The signal ends the group; the node's own error says how it left.
		return ended
	}
	return err
}

// exitOnSecondSignal ends the process when a signal comes while it leaves.
func exitOnSecondSignal(ctx context.Context) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	for range 2 {
		select {
		case <-signals:
		case <-ctx.Done():
			return
		}
	}
	os.Exit(ExitFailed)
}
