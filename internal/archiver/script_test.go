package archiver

import (
	"testing"

	"toucanhitch.example/toucanhitch/internal/tester"
)

// TestScripts replays the scripts in testdata. The head of each script states the failure that
// it guards against.
func TestScripts(t *testing.T) {
	tester.Replay(t, tester.Suite[Message, Effect]{
		Directory: "testdata",
		New: func(_ *testing.T, setup []byte) tester.Controller[Message, Effect] {
			return NewController(string(setup) == "first start\n")
		},
		Messages: []Message{Tick{}, ConfigurationKnown{}, SetRecords{}, StoreRestored{}, ReadEnded{}, WriteEnded{}},
		Tick:     Tick{},
	})
}
