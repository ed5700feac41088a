package syncer

import (
	"testing"

	"toucanhitch.example/toucanhitch/internal/tester"
)

// scripts are the scripts of the controller.
var scripts = tester.Suite[Message, Effect]{
	Directory: "testdata",
	New: func(*testing.T, []byte) tester.Controller[Message, Effect] {
		return NewController("n1", "Placement")
	},
	Messages: []Message{ExchangeNow{}, HolderHint{}, SetNodes{}, SetHolding{}, ExchangeEnded{}},
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
