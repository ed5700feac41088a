package main

import (
	"context"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"toucanhitch.example/toucanhitch/internal/emulator"
	"toucanhitch.example/toucanhitch/internal/tracker"
)

// instanceArguments are the arguments that all endpoints share.
type instanceArguments struct {
	Name       string        `arg:"required,--name,env:STANDIN_NAME" help:"name of the instance"`
	Listen     string        `arg:"--listen,env:STANDIN_LISTEN" default:"127.0.0.1:0" help:"IP:port to listen on"`
	Platform   string        `arg:"--platform,env:STANDIN_PLATFORM" help:"IP:port of the platform to register with"`
	DataCentre string        `arg:"--data-centre,env:STANDIN_DATA_CENTRE" default:"dc-1"`
	Region     string        `arg:"--region,env:STANDIN_REGION" default:"region-1"`
	Linger     time.Duration `arg:"--linger,env:STANDIN_LINGER" default:"3s" help:"time for which new requests are refused after SIGTERM"`
	Drain      time.Duration `arg:"--drain,env:STANDIN_DRAIN" default:"1m" help:"maximum wait for requests in progress"`
}

func (a instanceArguments) newProcess(handler emulator.LeavingHandler, clock clockwork.Clock) emulator.EndpointProcess {
	return emulator.EndpointProcess{
		Clock: clock, Handler: handler, Listen: a.Listen, Platform: a.Platform,
		Instance: tracker.Instance{Name: a.Name, DataCentre: a.DataCentre, Region: a.Region},
		Linger:   a.Linger, Drain: a.Drain,
	}
}

type engineArguments struct {
	instanceArguments
	Slots         int           `arg:"--slots,env:STANDIN_SLOTS" default:"8"`
	Queue         int           `arg:"--queue,env:STANDIN_QUEUE" default:"64"`
	MemoryMB      int           `arg:"--memory-mb,env:STANDIN_MEMORY_MB" default:"65536"`
	FirstToken    time.Duration `arg:"--first-token,env:STANDIN_FIRST_TOKEN" default:"50ms"`
	PromptToken   time.Duration `arg:"--prompt-token,env:STANDIN_PROMPT_TOKEN" default:"100us"`
	CachedShare   float64       `arg:"--cached-share,env:STANDIN_CACHED_SHARE" default:"0.8"`
	Interval      time.Duration `arg:"--interval,env:STANDIN_INTERVAL" default:"10ms"`
	BatchGrowth   float64       `arg:"--batch-growth,env:STANDIN_BATCH_GROWTH" default:"0.05"`
	AnswerTokens  int           `arg:"--answer-tokens,env:STANDIN_ANSWER_TOKENS" default:"0"`
	LoadMemory    time.Duration `arg:"--load-memory,env:STANDIN_LOAD_MEMORY" default:"300ms"`
	LoadDisk      time.Duration `arg:"--load-disk,env:STANDIN_LOAD_DISK" default:"2s"`
	LoadRemote    time.Duration `arg:"--load-remote,env:STANDIN_LOAD_REMOTE" default:"8s"`
	LoadAdapter   time.Duration `arg:"--load-adapter,env:STANDIN_LOAD_ADAPTER" default:"7ms"`
	Unload        time.Duration `arg:"--unload,env:STANDIN_UNLOAD" default:"100ms"`
	WeightStore   bool          `arg:"--weight-store,env:STANDIN_WEIGHT_STORE" help:"load remote weights from the platform"`
	CacheMemoryMB int           `arg:"--cache-memory-mb,env:STANDIN_CACHE_MEMORY_MB" default:"65536"`
	CacheDiskMB   int           `arg:"--cache-disk-mb,env:STANDIN_CACHE_DISK_MB" default:"262144"`
	Prefixes      int           `arg:"--prefixes,env:STANDIN_PREFIXES" default:"64"`
	EventDelay    time.Duration `arg:"--event-delay,env:STANDIN_EVENT_DELAY" default:"200ms"`
	EventGap      int           `arg:"--event-gap,env:STANDIN_EVENT_GAP" default:"0"`
	ReportLag     time.Duration `arg:"--report-lag,env:STANDIN_REPORT_LAG" default:"200ms"`
	HonoursFence  bool          `arg:"--honours-fence,env:STANDIN_HONOURS_FENCE"`
	OrderToken    string        `arg:"--order-token,env:STANDIN_ORDER_TOKEN" help:"token that orders must carry"`
	Loaded        []string      `arg:"--loaded,env:STANDIN_LOADED" help:"models that are loaded at startup, as name@version"`
	LoadedMB      int           `arg:"--loaded-mb,env:STANDIN_LOADED_MB" default:"1024" help:"memory in MB of each model in --loaded"`
}

func (a *engineArguments) settings() (emulator.EngineSettings, error) {
	settings := emulator.EngineSettings{
		Name: a.Name, Slots: a.Slots, Queue: a.Queue, MemoryMB: a.MemoryMB,
		FirstToken: a.FirstToken, PromptToken: a.PromptToken, CachedShare: a.CachedShare,
		Interval: a.Interval, BatchGrowth: a.BatchGrowth, AnswerTokens: a.AnswerTokens,
		LoadMemory: a.LoadMemory, LoadDisk: a.LoadDisk, LoadRemote: a.LoadRemote,
		LoadAdapter: a.LoadAdapter, Unload: a.Unload,
		CacheMemoryMB: a.CacheMemoryMB, CacheDiskMB: a.CacheDiskMB, Prefixes: a.Prefixes,
		EventDelay: a.EventDelay, EventGap: a.EventGap, ReportLag: a.ReportLag,
		HonoursFence: a.HonoursFence, OrderToken: a.OrderToken,
	}
	if a.WeightStore {
		settings.WeightStore = a.Platform
	}
	for _, model := range a.Loaded {
		if !strings.Contains(model, "@") {
			return settings, merry.Wrap(emulator.ErrEndpointSettings, merry.AppendMessagef("--loaded %q: want name@version", model))
		}
		settings.Loaded = append(settings.Loaded, emulator.EngineCheckpoint{Model: model, MemoryMB: a.LoadedMB})
	}
	return settings, nil
}

func (a *engineArguments) run(ctx context.Context) error {
	settings, err := a.settings()
	if err != nil {
		return err
	}
	clock := clockwork.NewRealClock()
	engine, stop, err := emulator.NewEngine(settings, clock)
	if err != nil {
		return err
	}
	defer stop()
	process := a.newProcess(engine, clock)
	process.Instance.Kind = tracker.Engine
	process.Instance.MemoryMB = a.MemoryMB
	process.Instance.HonoursFence = a.HonoursFence
	process.Instance.ChecksOrders = a.OrderToken != ""
	logrus.WithField("Name", a.Name).Info("starting engine")
	return process.Run(ctx)
}

type serviceArguments struct {
	instanceArguments
	Service string        `arg:"required,--service,env:STANDIN_SERVICE" help:"name of the service"`
	Delay   time.Duration `arg:"--delay,env:STANDIN_DELAY" default:"5ms"`
}

func (a *serviceArguments) run(ctx context.Context) error {
	clock := clockwork.NewRealClock()
	service, stop, err := emulator.NewService(emulator.ServiceSettings{Name: a.Name, Service: a.Service, Delay: a.Delay}, clock)
	if err != nil {
		return err
	}
	defer stop()
	process := a.newProcess(service, clock)
	process.Instance.Kind = tracker.Service
	process.Instance.Service = a.Service
	logrus.WithField("Name", a.Name).Info("starting service")
	return process.Run(ctx)
}
