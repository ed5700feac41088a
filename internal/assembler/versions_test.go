package assembler

import (
	"testing"

	"toucanhitch.example/toucanhitch/internal/encoder"
	"toucanhitch.example/toucanhitch/internal/resumer"
)

// TestLeaseData guards against a lease of an earlier build that is taken for one without a
// release, or for proof that there were no software versions.
func TestLeaseData(t *testing.T) {
	stored := []resumer.Service{{Name: "s", Versions: []resumer.Version{{Name: "v1"}}}}
	for _, test := range []struct {
		name                 string
		data                 []byte
		handedOver, complete bool
	}{
		{"new lease", nil, false, false},
		{"released by an earlier build", []byte("node-1"), true, false},
		{"held", encoder.Encode(leaseData{Versions: stored}), false, true},
		{"released", encoder.Encode(leaseData{HandedOver: true, Versions: stored}), true, true},
	} {
		decoded := decodeLeaseData(test.data)
		if decoded.HandedOver != test.handedOver || decoded.versions().Complete != test.complete {
			t.Errorf("%s: handed over %v, versions complete %v, want %v and %v", test.name, decoded.HandedOver, decoded.versions().Complete, test.handedOver, test.complete)
		}
	}
}
