package benchmarker

import (
	"strings"
	"testing"
)

// Guards against shared state that makes scheduling worse: prefix-cache events
// that delay interactive requests or make them miss deadlines, and attained
// service that does so for workspaces within their rate. With -v it prints the
// table.
func TestSharedState(t *testing.T) {
	rows := SharedState(*schedulingSeed)
	var table strings.Builder
	if err := PrintScheduling(&table, rows); err != nil {
		t.Fatal(err)
	}
	for _, pair := range []struct {
		without, with schedulingLoad
		group         string
	}{
		{sharedStateLoads[0], sharedStateLoads[1], "interactive"},
		{sharedStateLoads[2], sharedStateLoads[3], "interactive, all within rate"},
	} {
		without, with := findRow(rows, pair.without, pair.group), findRow(rows, pair.with, pair.group)
		if with.Requests != without.Requests || with.P50 > without.P50 || with.MetShare < without.MetShare {
			t.Errorf("%s: %s: %+v; want no worse than %+v", pair.with.name, pair.group, with, without)
		}
	}
	t.Log("\n" + table.String())
}

func findRow(rows []SchedulingRow, load schedulingLoad, group string) SchedulingRow {
	for _, row := range rows {
		if row.Load == load.name && row.Group == group {
			return row
		}
	}
	return SchedulingRow{}
}
