package recorder

import (
	"testing"

	"toucanhitch.example/toucanhitch/internal/encoder"
	"toucanhitch.example/toucanhitch/internal/tester"
)

// TestRecordedIntents guards against intents of a landed build that this build reads in another
// way, and against those that such a build refuses: calls would run twice.
func TestRecordedIntents(t *testing.T) {
	tester.CheckRecorded(t, "content.json", func(data []byte) ([]byte, error) {
		wire, err := encoder.DecodeLenient[contentWire](data)
		return encoder.Encode(encodeContent(wire.decode())), err
	})
	tester.CheckRecorded(t, "segment.json", func(data []byte) ([]byte, error) {
		wire, err := encoder.DecodeLenient[[]recordWire](data)
		return encoder.Encode(encodeRecords(decodeRecords(wire))), err
	})
}
