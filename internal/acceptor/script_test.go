package acceptor

import (
	"testing"

	"toucanhitch.example/toucanhitch/internal/tester"
)

// scripts are the scripts of the controller.
var scripts = tester.Suite[Message, Effect]{
	Directory: "testdata",
	New:       func(*testing.T, []byte) tester.Controller[Message, Effect] { return NewController() },
	Messages:  []Message{Crowded{}, Short{}, Refused{}, Tick{}},
	Tick:      Tick{},
}

// TestScripts replays the scripts in testdata against the controller.
func TestScripts(t *testing.T) {
	tester.Replay(t, scripts)
}

// TestDisturbedMessages guards against a panic, which ends the node, at messages with parts that
// are missing, unknown or out of range, or that come in another order.
func TestDisturbedMessages(t *testing.T) {
	tester.Disturb(t, scripts, 300)
}
