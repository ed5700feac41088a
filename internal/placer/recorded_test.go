package placer

import (
	"testing"

	"toucanhitch.example/toucanhitch/internal/tester"
)

// TestRecordedPlacement guards against a placement of a landed build that this build reads in
// another way, and against one that such a build refuses.
func TestRecordedPlacement(t *testing.T) {
	tester.CheckRecorded(t, "placement.json", func(data []byte) ([]byte, error) {
		placement, err := Decode(data)
		return Encode(placement), err
	})
}
