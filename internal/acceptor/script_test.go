package acceptor

import (
	"testing"

	"toucanhitch.example/toucanhitch/internal/tester"
)

// TestScripts replays the scripts in testdata against the controller.
func TestScripts(t *testing.T) {
	tester.Replay(t, tester.Suite[Message, Effect]{
		Directory: "testdata",
		New:       func(*testing.T, []byte) tester.Controller[Message, Effect] { return NewController() },
		Messages:  []Message{Crowded{}, Short{}, Refused{}, Tick{}},
		Tick:      Tick{},
	})
}
