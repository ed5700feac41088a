package commander

import (
	stdlog "log"
	"runtime/debug"

	"github.com/sirupsen/logrus"

	"toucanhitch.example/toucanhitch/internal/assembler"
	"toucanhitch.example/toucanhitch/internal/logger"
	"toucanhitch.example/toucanhitch/internal/timer"
	"toucanhitch.example/toucanhitch/platform"
)

// ServeCommand runs a node on the users' platform.
type ServeCommand struct {
	Settings string `arg:"--settings,env:TOUCANHITCH_CONFIG,required" help:"settings file of the platform" placeholder:"FILE"`
	LogLevel string `arg:"--log-level,env:TOUCANHITCH_LOG_LEVEL" default:"info" help:"error, warn, info or debug" placeholder:"LEVEL"`
}

// run runs the node until SIGTERM or SIGINT, then shuts it down gracefully.
func (c *ServeCommand) run(env environment) error {
	level, err := logrus.ParseLevel(c.LogLevel)
	if err != nil {
		var errs settingErrors
		errs.add("--log-level", c.LogLevel, "error, warn, info or debug")
		return errs.err()
	}
	log, closeLog := logger.New(env.stdout, level)
	defer closeLog()
	redirectStandardLog(log)
	settings, err := platform.ReadSettings(c.Settings)
	if err != nil {
		log.WithError(err).Error("node not started: cannot read the settings")
		return err
	}
	limitMemory(settings.MemoryMB)
	node, cleanUp, err := assembler.New(env.ctx, assembler.Settings{
		Settings:     settings,
		SettingsPath: c.Settings,
		Clock:        timer.New(),
		Logger:       log.WithField("Node", settings.Node),
		Dropped:      log.Dropped,
	})
	if err != nil {
		log.WithError(err).Error("node not started: cannot create the node")
		return err
	}
	defer cleanUp()
	return runUntilSignal(env.ctx, node)
}

// collectShare is the part of the memory from which on garbage is collected sooner. The
// binary and what the runtime returns late need the rest: with 0.75 a process of 64 MB
// reached 55 MB under callers that read slowly.
const collectShare = 0.65

// limitMemory lets the runtime collect garbage sooner when the memory of the process, in
// MB, runs short. By default it lets the heap double first.
func limitMemory(memoryMB float64) {
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryMB * collectShare * (1 << 20)))
	}
}

// redirectStandardLog makes the messages of package log structured lines of the node.
func redirectStandardLog(target logrus.FieldLogger) {
	stdlog.SetFlags(0)
	stdlog.SetOutput(logger.NewStandardWriter(target))
}
