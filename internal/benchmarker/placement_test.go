package benchmarker

import (
	"flag"
	"reflect"
	"testing"
	"time"
)

var (
	placementTable = flag.Bool("placement.table", false, "print the table of keep-alive policies")
	placementSeed  = flag.Uint64("placement.seed", 1, "seed of the table")
)

// Guards against results that differ between runs with the same seed, and
// against a run without requests, loads or cold starts.
func TestPlacementIsReproducible(t *testing.T) {
	first := placement(3, time.Hour, 10*time.Minute)
	second := placement(3, time.Hour, 10*time.Minute)
	if !reflect.DeepEqual(first, second) {
		t.Errorf("two runs differ:\n%s\n%s", PlacementTable(first), PlacementTable(second))
	}
	for _, row := range first {
		if row.Requests == 0 || row.Loads == 0 || row.ColdStarts == 0 {
			t.Errorf("%s, %s: %+v; want requests, loads and cold starts", row.User, row.Policy, row)
		}
	}
}

// TestPlacementTable prints the table of docs/placement.md if -placement.table
// is set.
func TestPlacementTable(t *testing.T) {
	if !*placementTable {
		t.Skip("the table takes about a minute; set -placement.table to print it")
	}
	t.Logf("seed %d\n%s", *placementSeed, PlacementTable(Placement(*placementSeed)))
}
