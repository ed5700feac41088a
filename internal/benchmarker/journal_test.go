package benchmarker

import (
	"flag"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/recorder"
)

var (
	journalSeed   = flag.Uint64("journal.seed", 1, "seed of the journal measurement")
	journalPeriod = flag.Duration("journal.period", 300*time.Millisecond, "virtual time of each row of the journal measurement")
)

// Guards against a group commit that writes a bucket more often than once per
// CommitInterval under load. With -v it prints the table.
func TestJournal(t *testing.T) {
	var rows []JournalRow
	for _, method := range []JournalMethod{GroupCommit{}, WriteEach{}, ObjectEach{}} {
		for _, callers := range []int{1, 10, 100, 1000} {
			synctest.Test(t, func(*testing.T) {
				rows = append(rows, Journal(clockwork.NewRealClock(), *journalSeed, method, callers, *journalPeriod))
			})
		}
	}
	for _, row := range rows {
		// Three additional calls are allowed: the first read, the write at the
		// start of the period, and a segment written at its end, whose pause
		// falls after the period.
		maxCalls := 1/recorder.CommitInterval.Seconds() + 3/journalPeriod.Seconds()
		if _, ok := row.Method.(GroupCommit); ok && row.Calls > maxCalls {
			t.Errorf("%d callers: %.1f API calls a second; want at most %.1f", row.Callers, row.Calls, maxCalls)
		}
	}
	var table strings.Builder
	if err := PrintJournal(&table, rows); err != nil {
		t.Fatal(err)
	}
	t.Log("\n" + table.String())
}
