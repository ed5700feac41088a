package benchmarker

import (
	"flag"
	"reflect"
	"strings"
	"testing"
)

var schedulingSeed = flag.Uint64("scheduling.seed", 1, "seed of the scheduling measurement")

// Guards against a measurement that depends on anything but its seed, and
// against requests that are refused although the engines have capacity for
// them. With -v it prints the table.
func TestScheduling(t *testing.T) {
	rows := Scheduling(*schedulingSeed)
	repeated := newSchedulingSimulation(*schedulingSeed, FairScheduling{}, schedulingLoads[0])
	repeated.run()
	if first := rows[:len(repeated.rows())]; !reflect.DeepEqual(first, repeated.rows()) {
		t.Errorf("two runs with the same seed differ:\n%+v\n%+v", first, repeated.rows())
	}
	for _, row := range rows {
		if _, ok := row.Policy.(FairScheduling); ok && !strings.Contains(row.Load, "4 times") && row.MetShare < 1 {
			t.Errorf("load %s, %s: %.2f%% in time; want 100%%", row.Load, row.Group, 100*row.MetShare)
		}
	}
	var table strings.Builder
	if err := PrintScheduling(&table, rows); err != nil {
		t.Fatal(err)
	}
	t.Log("\n" + table.String())
}
