package main

import (
	"context"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/benchmarker"
)

type slopesArguments struct {
	loopbackArguments
	Part string `arg:"positional,required" help:"memory, control, rollout, lease, cold, holder, takeover or notices"`
}

func (a *slopesArguments) run() error {
	part, err := benchmarker.ParsePart(a.Part)
	if err != nil {
		return err
	}
	return a.printTables(func(ctx context.Context) ([]benchmarker.Table, error) {
		settings := benchmarker.SlopesSettings{Clock: clockwork.NewRealClock(), Seed: a.Seed, BasePort: a.Port}
		return benchmarker.Slopes(ctx, settings, part)
	})
}
