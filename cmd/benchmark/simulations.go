package main

import (
	"encoding/json"
	"fmt"
	"os"

	"toucanhitch.example/toucanhitch/internal/benchmarker"
)

func printJSON(value any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

type schedulingArguments struct{ output }

// schedulingWire names the policy, which is an interface in the row.
type schedulingWire struct {
	Policy string
	benchmarker.SchedulingRow
}

func (a *schedulingArguments) run() error {
	rows := benchmarker.Scheduling(a.Seed)
	if !a.JSON {
		return benchmarker.PrintScheduling(os.Stdout, rows)
	}
	wires := make([]schedulingWire, len(rows))
	for i, row := range rows {
		wires[i] = schedulingWire{Policy: benchmarker.PolicyName(row.Policy), SchedulingRow: row}
	}
	return printJSON(wires)
}

type placementArguments struct{ output }

func (a *placementArguments) run() error {
	rows := benchmarker.Placement(a.Seed)
	if a.JSON {
		return printJSON(rows)
	}
	_, err := fmt.Print(benchmarker.PlacementTable(rows))
	return err
}

type limitsArguments struct{ output }

// limitsWire names the system, which is an interface in the row.
type limitsWire struct {
	System string
	benchmarker.LimitsRow
}

func (a *limitsArguments) run() error {
	rows := benchmarker.Limits(a.Seed)
	if !a.JSON {
		return benchmarker.PrintLimits(os.Stdout, rows)
	}
	wires := make([]limitsWire, len(rows))
	for i, row := range rows {
		wires[i] = limitsWire{System: benchmarker.LimitsSystemName(row.System), LimitsRow: row}
	}
	return printJSON(wires)
}
