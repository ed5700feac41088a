package benchmarker

import (
	"strings"
	"testing"
)

// Guards against prefix-cache events and attained service that make what they
// are for worse. With -v it prints the table.
func TestTold(t *testing.T) {
	rows := Told(*schedulingSeed)
	var table strings.Builder
	if err := PrintScheduling(&table, rows); err != nil {
		t.Fatal(err)
	}
	for _, pair := range []struct {
		without, with workload
		group         string
	}{
		{toldLoads[0], toldLoads[1], "interactive"},
		{toldLoads[2], toldLoads[3], "interactive, all within rate"},
	} {
		without, with := find(rows, pair.without, pair.group), find(rows, pair.with, pair.group)
		if with.Requests != without.Requests || with.P50 > without.P50 || with.Met < without.Met {
			t.Errorf("%s: %s: %+v; want no worse than %+v", pair.with.name, pair.group, with, without)
		}
	}
	t.Log("\n" + table.String())
}

func find(rows []SchedulingRow, load workload, group string) SchedulingRow {
	for _, row := range rows {
		if row.Load == load.name && row.Group == group {
			return row
		}
	}
	return SchedulingRow{}
}
