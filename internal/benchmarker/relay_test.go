package benchmarker

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/tester"
)

// Guards against a relay measurement with failed or incomplete answers, and
// against tables whose rows do not match their columns. With -v it prints the
// tables.
func TestRelay(t *testing.T) {
	tables, err := Relay(context.Background(), RelaySettings{
		Clock: clockwork.NewRealClock(), Seed: 1, BasePort: tester.FreePorts(t, portsPerTest), Rate: 20, Callers: 4,
		Tokens: 8, PhaseTime: 300 * time.Millisecond, TokenInterval: time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	checkTables(t, tables)
	for _, row := range tables[0].Rows {
		if failures := row.Values[1]; failures != 0 {
			t.Errorf("%s: %v requests failed; want 0", row.Case, failures)
		}
	}
}

// checkTables checks that all rows have a value for each column, and logs the
// tables.
func checkTables(t *testing.T, tables []Table) {
	t.Helper()
	for _, table := range tables {
		for _, row := range table.Rows {
			if len(row.Values) != len(table.Columns) {
				t.Errorf("%s, %s: %d values for %d columns", table.Title, row.Case, len(row.Values), len(table.Columns))
			}
		}
	}
	var text strings.Builder
	if err := PrintTables(&text, tables); err != nil {
		t.Fatal(err)
	}
	t.Log("\n" + text.String())
}
