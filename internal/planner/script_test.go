package planner

import (
	"testing"
	"time"

	"toucanhitch.example/toucanhitch/internal/tester"
)

// scripts are the scripts of the controller.
var scripts = tester.Suite[Message, Effect]{
	Directory: "testdata",
	New: func(*testing.T, []byte) tester.Controller[Message, Effect] {
		return NewController(Settings{Node: "n1", OrderSpacing: 3 * time.Second, MinTakeoverDelay: 360 * time.Millisecond})
	},
	Messages: []Message{
		LeaseHeld{}, LeaseLost{}, SetActing{}, VersionsInherited{}, VersionsStored{}, ConfigurationChanged{}, ReplicasListed{}, NodesListed{}, EvacuationsListed{}, ReportReceived{}, OrderResult{}, StateRead{}, Explain{},
	},
	Tick: Tick{},
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

// TestWithdrawnServices replays scripts in which a configuration withdraws a service whose
// replicas are still listed. It guards against a holder that ends then, and with it all
// requests that it has read.
func TestWithdrawnServices(t *testing.T) {
	tester.Replay(t, tester.Suite[Message, Effect]{
		Directory: "testdata/withdrawn",
		New: func(*testing.T, []byte) tester.Controller[Message, Effect] {
			return NewController(Settings{Node: "n1", OrderSpacing: 3 * time.Second, MinTakeoverDelay: 360 * time.Millisecond})
		},
		Messages: []Message{LeaseHeld{}, ConfigurationChanged{}, ReplicasListed{}, EvacuationsListed{}, StateRead{}},
		Tick:     Tick{},
	})
}
