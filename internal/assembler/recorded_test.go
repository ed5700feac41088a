package assembler

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"toucanhitch.example/toucanhitch/internal/encoder"
	"toucanhitch.example/toucanhitch/internal/resumer"
	"toucanhitch.example/toucanhitch/internal/tester"
)

// TestRecordedLeaseData guards against a holder that does not know what a holder of a landed
// build has left in the placement lease: that it handed the lease over, and the software versions
// that have begun streams. Each folder of testdata/forms has the data that the build of its name
// has written for the same values.
func TestRecordedLeaseData(t *testing.T) {
	want := leaseData{HandedOver: true, Versions: []resumer.Service{
		{Name: "s1", Versions: []resumer.Version{{Name: "v1", BeginsIn: time.Second, MayBeginIn: 2 * time.Second}}},
	}}
	recordings, err := filepath.Glob("testdata/forms/*/lease-data.json")
	if err != nil || len(recordings) == 0 {
		t.Fatalf("%d recordings, error %v", len(recordings), err)
	}
	for _, recording := range recordings {
		t.Run(recording, func(t *testing.T) {
			data, err := os.ReadFile(recording)
			if err != nil {
				t.Fatal(err)
			}
			if got := decodeLeaseData(data); !reflect.DeepEqual(got, want) {
				t.Errorf("got %+v, want %+v", got, want)
			}
			tester.CheckFields(t, "data", encoder.Encode(want), data)
		})
	}
}
