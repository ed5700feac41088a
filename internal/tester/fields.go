package tester

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"
)

// CheckFields compares the fields of a JSON value with those of a recorded one, in which all
// fields are set. It reports the fields that the recorded one has not, which a build that reads
// strictly refuses, and those that it has only, which the recorded build reads. A field of another
// type is both.
func CheckFields(t *testing.T, what string, value, recorded []byte) {
	t.Helper()
	sent, known := fields(t, value), fields(t, recorded)
	for _, field := range slices.Sorted(maps.Keys(sent)) {
		if !known[field] {
			t.Errorf("the %s has %s, which the recorded one has not", what, field)
		}
	}
	CheckFieldsKept(t, what, value, recorded)
}

// CheckFieldsKept reports the fields of a recorded JSON value that value lacks or has with another
// type. The receiver of the recorded one ignores fields that it does not know.
func CheckFieldsKept(t *testing.T, what string, value, recorded []byte) {
	t.Helper()
	sent, known := fields(t, value), fields(t, recorded)
	for _, field := range slices.Sorted(maps.Keys(known)) {
		if !sent[field] {
			t.Errorf("the %s lacks %s, which the recorded one has", what, field)
		}
	}
}

// fields returns the paths and types of all fields in a JSON value.
func fields(t *testing.T, data []byte) map[string]bool {
	t.Helper()
	var value any
	if err := json.Unmarshal(data, &value); err != nil {
		t.Fatal(err)
	}
	found := map[string]bool{}
	collectFields(found, "", value)
	return found
}

func collectFields(found map[string]bool, path string, value any) {
	switch value := value.(type) {
	case map[string]any:
		for name, field := range value {
			collectFields(found, path+"."+name, field)
		}
	case []any:
		for _, entry := range value {
			collectFields(found, path+"[]", entry)
		}
	default:
		found[fmt.Sprintf("%s of type %T", path, value)] = true
	}
}
