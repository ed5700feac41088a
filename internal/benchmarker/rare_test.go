package benchmarker

import (
	"reflect"
	"testing"
)

// Guards against results that differ between runs with the same seed, and
// against a policy that gets no requests or loads no model.
func TestRareIsReproducible(t *testing.T) {
	first, second := rare(3, rareLoads[:1]), rare(3, rareLoads[:1])
	if !reflect.DeepEqual(first, second) {
		t.Errorf("two runs differ:\n%v\n%v", first, second)
	}
	for _, row := range first.Rows {
		if row.Values[0] == 0 || row.Values[3] == 0 {
			t.Errorf("%s: %v; want requests and loads", row.Case, row.Values)
		}
	}
}
