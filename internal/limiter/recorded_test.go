package limiter

import (
	"testing"

	"toucanhitch.example/toucanhitch/internal/encoder"
	"toucanhitch.example/toucanhitch/internal/tester"
)

// TestRecordedLeaseData guards against an owner of the limits that does not know what an owner
// of a landed build has left in the lease, or leaves what such a build refuses.
func TestRecordedLeaseData(t *testing.T) {
	tester.CheckRecorded(t, "lease-data.json", func(data []byte) ([]byte, error) {
		decoded, err := decodeLeaseData(data)
		return encoder.Encode(leaseData(decoded)), err
	})
}
