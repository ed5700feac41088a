package surveyor

import (
	"encoding/json"
	"testing"
	"time"

	"toucanhitch.example/toucanhitch/internal/tester"
)

// TestScripts replays the scripts in testdata. The head of each script states
// the failure that it guards against.
func TestScripts(t *testing.T) {
	tester.Replay(t, tester.Suite[Message, Effect]{
		Directory: "testdata",
		New: func(t *testing.T, setup []byte) tester.Controller[Message, Effect] {
			controller := NewController(Bounds{ApplyWithin: 2 * time.Second, DrainWithin: 2 * time.Second, HeartbeatInterval: 1200 * time.Millisecond})
			if len(setup) > 0 {
				if err := json.Unmarshal(setup, controller); err != nil {
					t.Fatal(err)
				}
			}
			return controller
		},
		Messages: []Message{SetHolding{}, NodeRegistered{}, ConfigurationRead{}, ReplicasRead{}, NodesRead{}, HolderUpdate{}, SetActing{}, SetCandidate{}, ViewUpdate{}, EvacuationsRead{}},
		Tick:     Tick{},
	})
}
