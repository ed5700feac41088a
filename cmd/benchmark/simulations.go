package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/jonboulle/clockwork"

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
		wires[i] = schedulingWire{Policy: benchmarker.SchedulingPolicyName(row.Policy), SchedulingRow: row}
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

type rareArguments struct{ output }

func (a *rareArguments) run() error {
	table := benchmarker.Rare(a.Seed)
	if a.JSON {
		return printJSON(table)
	}
	return benchmarker.PrintTables(os.Stdout, []benchmarker.Table{table})
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

type journalArguments struct {
	output
	Period time.Duration `arg:"--period" default:"1s" help:"time of each row, by the real clock"`
}

// journalWire names the way, which is an interface in the row.
type journalWire struct {
	Way string
	benchmarker.JournalRow
}

// run uses the real clock, as only tests have a virtual one for goroutines.
// With many callers the figures depend on the machine.
func (a *journalArguments) run() error {
	var rows []benchmarker.JournalRow
	var wires []journalWire
	for _, way := range []benchmarker.JournalMethod{benchmarker.GroupCommit{}, benchmarker.WriteEach{}, benchmarker.ObjectEach{}} {
		for _, callers := range []int{1, 10, 100, 1000} {
			row := benchmarker.Journal(clockwork.NewRealClock(), a.Seed, way, callers, a.Period)
			rows = append(rows, row)
			wires = append(wires, journalWire{Way: benchmarker.JournalMethodName(way), JournalRow: row})
		}
	}
	if a.JSON {
		return printJSON(wires)
	}
	return benchmarker.PrintJournal(os.Stdout, rows)
}
