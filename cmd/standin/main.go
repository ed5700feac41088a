// Command standin runs an emulated stand-in of an outside system: a model
// engine or a plain service. Its faults are set while it runs by PUT /faults.
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
	Engine  *engineArguments  `arg:"subcommand:engine" help:"run a model engine"`
	Service *serviceArguments `arg:"subcommand:service" help:"run a plain service"`
}

func main() {
	var arguments arguments
	parser := arg.MustParse(&arguments)
	logrus.SetFormatter(&logrus.JSONFormatter{})
	var serve func(context.Context) error
	switch {
	case arguments.Engine != nil:
		serve = arguments.Engine.run
	case arguments.Service != nil:
		serve = arguments.Service.run
	default:
		parser.Fail("name a subcommand: engine or service")
	}
	if err := runUntilSignal(serve); err != nil {
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
