// Command standin runs an emulated stand-in of an outside system: the
// platform, a model engine or a plain service, whose faults are set while they
// run, or a caller.
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
	Register *registerArguments `arg:"subcommand:register" help:"put an entry instance into the platform's list"`
	Faults   *faultsArguments   `arg:"subcommand:faults" help:"set the faults of a running stand-in"`
	Caller   *callerArguments   `arg:"subcommand:caller" help:"send requests as a caller and print the answers"`
}

func main() {
	var arguments arguments
	parser := arg.MustParse(&arguments)
	logrus.SetFormatter(&logrus.JSONFormatter{})
	subcommand, ok := parser.Subcommand().(interface{ run(context.Context) error })
	if !ok {
		parser.Fail("name a subcommand")
	}
	if err := runUntilSignal(subcommand.run); err != nil {
		logrus.WithError(err).Error("stand-in ended")
		os.Exit(1)
	}
}

// runUntilSignal runs serve and ends its context on SIGTERM or SIGINT.
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
