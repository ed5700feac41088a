package main

import (
	"encoding/json"
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
