package tester

import (
	"os"
	"path/filepath"
	"testing"
)

// CheckRecorded reads the files with the given name in the folders of testdata/forms, which hold
// an object with all fields set as a landed build has written it. It reports an object that is
// not the same after it was decoded and encoded again.
func CheckRecorded(t *testing.T, name string, convert func(data []byte) ([]byte, error)) {
	t.Helper()
	recordings, err := filepath.Glob(filepath.Join("testdata/forms/*", name))
	if err != nil || len(recordings) == 0 {
		t.Fatalf("%d recordings of %s, error %v", len(recordings), name, err)
	}
	for _, recording := range recordings {
		data, err := os.ReadFile(recording)
		if err != nil {
			t.Fatal(err)
		}
		converted, err := convert(data)
		if err != nil {
			t.Errorf("%s: %v", recording, err)
			continue
		}
		CheckFields(t, recording, converted, data)
		if string(converted)+"\n" != string(data) {
			t.Errorf("%s is changed to %s", recording, converted)
		}
	}
}
