package surveyor

import (
	"encoding/json"
	"testing"
	"time"

	"toucanhitch.example/toucanhitch/internal/tester"
)

// scripts are the scripts of the controller.
var scripts = tester.Suite[Message, Effect]{
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
}

// TestScripts replays the scripts in testdata. The head of each script states
// the failure that it guards against.
func TestScripts(t *testing.T) {
	tester.Replay(t, scripts)
}

// TestDisturbedMessages guards against a panic, which ends the node, at messages with parts that
// are missing, unknown or out of range, or that come in another order.
func TestDisturbedMessages(t *testing.T) {
	tester.Disturb(t, scripts, 300)
}
