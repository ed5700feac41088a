package main

import (
	"context"
	"os"
	"runtime/pprof"
	"time"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/benchmarker"
)

// loopbackArguments are the arguments of measurements that run nodes on loopback
// addresses.
type loopbackArguments struct {
	commonArguments
	Port       int    `arg:"--port" default:"23000" help:"first of the consecutive loopback ports to use"`
	CPUProfile string `arg:"--cpu-profile" help:"write a CPU profile to this file" placeholder:"FILE"`
}

// printTables runs a measurement, under the CPU profiler if it is requested, and
// prints the tables.
func (l loopbackArguments) printTables(measure func(context.Context) ([]benchmarker.Table, error)) error {
	if l.CPUProfile != "" {
		file, err := os.Create(l.CPUProfile)
		if err != nil {
			return err
		}
		defer file.Close()
		if err := pprof.StartCPUProfile(file); err != nil {
			return err
		}
		defer pprof.StopCPUProfile()
	}
	tables, err := measure(context.Background())
	if err != nil {
		return err
	}
	if l.JSON {
		return printJSON(tables)
	}
	return benchmarker.PrintTables(os.Stdout, tables)
}

type relayArguments struct {
	loopbackArguments
	Rate      float64       `arg:"--rate" default:"200" help:"requests per second in the open loop"`
	Callers   int           `arg:"--callers" default:"256" help:"concurrent requests in the closed loop"`
	Tokens    int           `arg:"--tokens" default:"64" help:"number of tokens in each response"`
	PhaseTime time.Duration `arg:"--phase-time" default:"5s" help:"duration of each of the six phases"`
	Interval  time.Duration `arg:"--interval" default:"2ms" help:"the engine's time between tokens"`
}

func (a *relayArguments) run() error {
	return a.printTables(func(ctx context.Context) ([]benchmarker.Table, error) {
		return benchmarker.Relay(ctx, benchmarker.RelaySettings{
			Clock: clockwork.NewRealClock(), Seed: a.Seed, BasePort: a.Port, Rate: a.Rate, Callers: a.Callers,
			Tokens: a.Tokens, PhaseTime: a.PhaseTime, TokenInterval: a.Interval,
		})
	})
}
