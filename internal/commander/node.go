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
	Name          string        `arg:"--name,env:TOUCANHITCH_NAME" help:"name in the platform's instance list" placeholder:"NAME"`
	DataCentre    string        `arg:"--data-centre,env:TOUCANHITCH_DATA_CENTRE" help:"data centre of this instance" placeholder:"NAME"`
	Region        string        `arg:"--region,env:TOUCANHITCH_REGION" help:"region of this instance" placeholder:"NAME"`
	CallerAddress string        `arg:"--caller-address,env:TOUCANHITCH_CALLER_ADDRESS" help:"address for callers" placeholder:"IP:PORT"`
	PeerAddress   string        `arg:"--peer-address,env:TOUCANHITCH_PEER_ADDRESS" help:"address for other nodes, operators and metrics" placeholder:"IP:PORT"`
	Platform      string        `arg:"--platform,env:TOUCANHITCH_PLATFORM" help:"address of the platform's object API" placeholder:"IP:PORT"`
	Regions       []string      `arg:"--regions,env:TOUCANHITCH_REGIONS" help:"all regions of the deployment; default: only --region" placeholder:"NAME"`
	OrderToken    string        `arg:"--order-token,env:TOUCANHITCH_ORDER_TOKEN" help:"token for endpoints that authenticate orders" placeholder:"TOKEN"`
	StoreRate     float64       `arg:"--store-rate,env:TOUCANHITCH_STORE_RATE" default:"3" help:"loads per second from the weight store in this region" placeholder:"N"`
	StoreAtOnce   int           `arg:"--store-at-once,env:TOUCANHITCH_STORE_AT_ONCE" default:"4" help:"maximum number of concurrent loads in this region" placeholder:"N"`
	LimitSlots    int           `arg:"--limit-slots,env:TOUCANHITCH_LIMIT_SLOTS" default:"8" help:"number of standing shares of each workspace's limit; at least the number of entry instances, and equal on all of them" placeholder:"N"`
	KeepAlive     string        `arg:"--keep-alive,env:TOUCANHITCH_KEEP_ALIVE" default:"fixed-time" help:"policy for how long idle models stay loaded: fixed-time, least-recently-used or idle-histogram; must be equal on all nodes" placeholder:"POLICY"`
	DrainGrace    time.Duration `arg:"--drain-grace,env:TOUCANHITCH_DRAIN_GRACE" default:"10m" help:"maximum wait for running requests at shutdown" placeholder:"DURATION"`
	MemoryMB      float64       `arg:"--memory-mb,env:TOUCANHITCH_MEMORY_MB" help:"memory of the process, which bounds connections and requests; default: 256" placeholder:"N"`
	MaxFDs        int           `arg:"--max-fds,env:TOUCANHITCH_MAX_FDS" help:"file descriptors that the process may have open; default: unknown" placeholder:"N"`
	LogLevel      string        `arg:"--log-level,env:TOUCANHITCH_LOG_LEVEL" default:"info" help:"error, warn, info or debug" placeholder:"LEVEL"`
}

// Upper limits of the settings.
const (
	maxStoreRate   = 1000
	maxStoreAtOnce = 1000
	maxLimitSlots  = 100_000
	maxDrainGrace  = 24 * time.Hour
	maxMemoryMB    = 1 << 24
	maxDescriptors = 1 << 24
)

func (c *NodeCommand) check() error {
	var errs settingErrors
	errs.checkName("--name", c.Name)
	errs.checkName("--data-centre", c.DataCentre)
	errs.checkName("--region", c.Region)
	errs.checkAddress("--caller-address", c.CallerAddress)
	errs.checkAddress("--peer-address", c.PeerAddress)
	errs.checkAddress("--platform", c.Platform)
	for _, region := range c.Regions {
		errs.checkName("--regions", region)
	}
	if len(c.Regions) > 0 && !slices.Contains(c.Regions, c.Region) {
		errs.add("--regions", strings.Join(c.Regions, " "), "a list that contains --region, "+c.Region)
	}
	errs.checkNumber("--store-rate", c.StoreRate, 0.001, maxStoreRate)
	errs.checkNumber("--store-at-once", float64(c.StoreAtOnce), 1, maxStoreAtOnce)
	errs.checkNumber("--limit-slots", float64(c.LimitSlots), 1, maxLimitSlots)
	errs.checkNumber("--memory-mb", c.MemoryMB, 0, maxMemoryMB)
	errs.checkNumber("--max-fds", float64(c.MaxFDs), 0, maxDescriptors)
	errs.checkDuration("--drain-grace", c.DrainGrace, time.Second, maxDrainGrace)
	if _, err := predictor.ByName(c.KeepAlive); err != nil {
		errs.add("--keep-alive", c.KeepAlive, "fixed-time, least-recently-used or idle-histogram")
	}
	if _, err := logrus.ParseLevel(c.LogLevel); err != nil {
		errs.add("--log-level", c.LogLevel, "error, warn, info or debug")
	}
	return errs.err()
}

func (c *NodeCommand) settings(env environment) supervisor.Settings {
	logger := logrus.New()
	logger.SetOutput(env.stderr)
	logger.SetFormatter(&logrus.JSONFormatter{})
	level, _ := logrus.ParseLevel(c.LogLevel) // validated by check
	logger.SetLevel(level)
	policy, _ := predictor.ByName(c.KeepAlive) // validated by check
	regions := c.Regions
	if len(regions) == 0 {
		regions = []string{c.Region}
	}
	return supervisor.Settings{
		Name:            c.Name,
		DataCentre:      c.DataCentre,
		Region:          c.Region,
		CallerAddress:   c.CallerAddress,
		PeerAddress:     c.PeerAddress,
		PlatformAddress: c.Platform,
		OrderToken:      c.OrderToken,
		Regions:         regions,
		StoreRate:       c.StoreRate,
		MaxStoreLoads:   c.StoreAtOnce,
		LimitSlots:      c.LimitSlots,
		KeepAlive:       policy,
		DrainGrace:      c.DrainGrace,
		Memory:          int64(c.MemoryMB * (1 << 20)),
		MaxDescriptors:  c.MaxFDs,
		Clock:           env.clock,
		Logger:          logger.WithField("Node", c.Name),
	}
}

// run runs the node until SIGTERM or SIGINT, then shuts it down gracefully. A
// second signal ends the process at once.
func (c *NodeCommand) run(env environment) error {
	if err := c.check(); err != nil {
		return err
	}
	settings := c.settings(env)
	limitMemory(c.MemoryMB)
	redirectStandardLog(settings.Logger)
	node, cleanUp, err := supervisor.New(settings)
	if err != nil {
		return err
	}
	defer cleanUp()
	go exitOnSecondSignal(env.ctx)
	return runUntilSignal(env.ctx, node)
}

// runUntilSignal runs a node until SIGTERM or SIGINT, then shuts it down
// gracefully.
func runUntilSignal(ctx context.Context, node runner.Runnable) error {
	group := &run.Group{}
	nodeCtx, cancel := context.WithCancel(ctx)
	var nodeErr error
	group.Add(
		func() error {
			nodeErr = node.Run(nodeCtx)
			return nodeErr
		},
		func(error) { cancel() },
	)
	group.Add(run.SignalHandler(ctx, syscall.SIGTERM, syscall.SIGINT))
	err := group.Run()
	if errors.Is(err, run.ErrSignal) {
		// The signal ends the group; the node's own error is the result of the
		// shutdown.
		return nodeErr
	}
	return err
}

// exitOnSecondSignal ends the process at the second signal, which arrives during
// the graceful shutdown.
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
