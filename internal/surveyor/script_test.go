package surveyor

import (
	"testing"
	"time"

	"toucanhitch.example/toucanhitch/internal/tester"
)

// TestScripts replays the scripts in testdata. The head of each script states
// the failure that it guards against.
func TestScripts(t *testing.T) {
	tester.Replay(t, tester.Suite[Message, Effect]{
		Directory: "testdata",
		New: func(*testing.T, []byte) tester.Controller[Message, Effect] {
			return NewController(Bounds{ApplyWithin: 2 * time.Second, DrainWithin: 2 * time.Second})
		},
		Messages: []Message{SetHolding{}, ConfigurationRead{}, ReplicasRead{}, NodesRead{}, HolderUpdate{}, SetActing{}, SetCandidate{}, ViewUpdate{}},
		Tick:     Tick{},
	})
}
