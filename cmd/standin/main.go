// Command standin runs a stand-in that emulates an external system: a caller, or
// the platform, a model engine or a plain service, into which faults can be
// injected while they run.
package main

import (
	"context"
	"errors"
	"os"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/oklog/run"
	"github.com/sirupsen/logrus"
)

type arguments struct {
	Platform *platformArguments `arg:"subcommand:platform" help:"run the platform: object API, instance list, weight store"`
	Engine   *engineArguments   `arg:"subcommand:engine" help:"run a model engine"`
	Service  *serviceArguments  `arg:"subcommand:service" help:"run a plain service"`
	Register *registerArguments `arg:"subcommand:register" help:"add an entry instance to the platform's list"`
	Faults   *faultsArguments   `arg:"subcommand:faults" help:"set the faults of a running stand-in"`
	Copy     *copyArguments     `arg:"subcommand:copy" help:"keep a copy of what a running platform stores"`
	Restore  *restoreArguments  `arg:"subcommand:restore" help:"replace what a running platform stores by its copy"`
	Caller   *callerArguments   `arg:"subcommand:caller" help:"send requests as a caller and print the responses"`
}

func main() {
	var arguments arguments
	parser := arg.MustParse(&arguments)
	logrus.SetFormatter(&logrus.JSONFormatter{})
	subcommand, ok := parser.Subcommand().(interface{ run(context.Context) error })
	if !ok {
		parser.Fail("a subcommand is required")
	}
	if err := runUntilSignal(subcommand.run); err != nil {
		logrus.WithError(err).Error("stand-in failed")
		os.Exit(1)
	}
}

// runUntilSignal runs serve and cancels its context on SIGTERM or SIGINT.
func runUntilSignal(serve func(context.Context) error) error {
	var group run.Group
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error { return serve(ctx) }, func(error) { cancel() })
	group.Add(run.SignalHandler(context.Background(), syscall.SIGTERM, syscall.SIGINT))
	err := group.Run()
	if errors.Is(err, run.ErrSignal) {
		return nil
	}
	return err
}
