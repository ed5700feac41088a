package leaser

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"toucanhitch.example/toucanhitch/internal/tester"
)

// TestRecordedLeases guards against a lease that a landed build has written and that this build
// reads in another way, and against one that such a build refuses. A node that cannot read the
// lease neither takes it nor learns of its holder. Each folder of testdata/forms has the lease
// that the build of its name has written for the same values.
func TestRecordedLeases(t *testing.T) {
	want := Lease{"n1", "r1", 7, 1800 * time.Millisecond, []byte(`{"HandedOver":true}`)}
	recordings, err := filepath.Glob("testdata/forms/*/lease.json")
	if err != nil || len(recordings) == 0 {
		t.Fatalf("%d recordings, error %v", len(recordings), err)
	}
	for _, recording := range recordings {
		t.Run(recording, func(t *testing.T) {
			data, err := os.ReadFile(recording)
			if err != nil {
				t.Fatal(err)
			}
			lease, err := decodeLease(data)
			if err != nil {
				t.Fatal(err)
			}
			tester.CheckFields(t, "lease", encodeLease(lease), data)
			if lease.Holder != want.Holder || lease.Run != want.Run || lease.Epoch != want.Epoch ||
				lease.Duration != want.Duration || string(lease.Data) != string(want.Data) {
				t.Errorf("got %+v, want %+v", lease, want)
			}
		})
	}
}

// TestLeaseOfALaterBuild guards against a lease that is not read because a later build has added
// a field.
func TestLeaseOfALaterBuild(t *testing.T) {
	lease, err := decodeLease([]byte(`{"Holder":"n1","Run":"r1","Epoch":7,"Duration":"1.8s","Later":{"A":1}}`))
	if err != nil || lease.Holder != "n1" || lease.Epoch != 7 {
		t.Errorf("got %+v, error %v", lease, err)
	}
}
