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

type schedulingArguments struct{ commonArguments }

// schedulingResult adds the policy's name, since the policy of the row is an
// interface.
type schedulingResult struct {
	Policy string
	benchmarker.SchedulingRow
}

func (a *schedulingArguments) run() error {
	rows := benchmarker.Scheduling(a.Seed)
	if !a.JSON {
		return benchmarker.PrintScheduling(os.Stdout, rows)
	}
	results := make([]schedulingResult, len(rows))
	for i, row := range rows {
		results[i] = schedulingResult{Policy: benchmarker.SchedulingPolicyName(row.Policy), SchedulingRow: row}
	}
	return printJSON(results)
}

type placementArguments struct{ commonArguments }

func (a *placementArguments) run() error {
	rows := benchmarker.Placement(a.Seed)
	if a.JSON {
		return printJSON(rows)
	}
	_, err := fmt.Print(benchmarker.PlacementTable(rows))
	return err
}

type rareArguments struct{ commonArguments }

func (a *rareArguments) run() error {
	table := benchmarker.Rare(a.Seed)
	if a.JSON {
		return printJSON(table)
	}
	return benchmarker.PrintTables(os.Stdout, []benchmarker.Table{table})
}

type limitsArguments struct{ commonArguments }

// limitsResult adds the system's name, since the system of the row is an
// interface.
type limitsResult struct {
	System string
	benchmarker.LimitsRow
}

func (a *limitsArguments) run() error {
	rows := benchmarker.Limits(a.Seed)
	if !a.JSON {
		return benchmarker.PrintLimits(os.Stdout, rows)
	}
	results := make([]limitsResult, len(rows))
	for i, row := range rows {
		results[i] = limitsResult{System: benchmarker.LimitsSystemName(row.System), LimitsRow: row}
	}
	return printJSON(results)
}

type journalArguments struct {
	commonArguments
	Period time.Duration `arg:"--period" default:"1s" help:"duration of the measurement of each row, on the real clock"`
}

// journalResult adds the method's name, since the method of the row is an
// interface.
type journalResult struct {
	Method string `json:"Way"`
	benchmarker.JournalRow
}

// run uses the real clock, because a virtual clock for goroutines is available
// only in tests. With many callers the results depend on the machine.
func (a *journalArguments) run() error {
	var rows []benchmarker.JournalRow
	var results []journalResult
	for _, method := range []benchmarker.JournalMethod{benchmarker.GroupCommit{}, benchmarker.WriteEach{}, benchmarker.ObjectEach{}} {
		for _, callers := range []int{1, 10, 100, 1000} {
			row := benchmarker.Journal(clockwork.NewRealClock(), a.Seed, method, callers, a.Period)
			rows = append(rows, row)
			results = append(results, journalResult{Method: benchmarker.JournalMethodName(method), JournalRow: row})
		}
	}
	if a.JSON {
		return printJSON(results)
	}
	return benchmarker.PrintJournal(os.Stdout, rows)
}
