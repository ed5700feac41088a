package leaser_test

import (
	"testing"

	"toucanhitch.example/toucanhitch/internal/encoder"
	"toucanhitch.example/toucanhitch/internal/leaser"
	"toucanhitch.example/toucanhitch/internal/tester"
)

// scripts are the scripts of the controller.
var scripts = tester.Suite[leaser.Message, leaser.Effect]{
	Directory: "testdata",
	New: func(t *testing.T, setup []byte) tester.Controller[leaser.Message, leaser.Effect] {
		type node struct {
			Node, Run string
			Names     []string
		}
		decoded, err := encoder.Decode[node](setup)
		if err != nil {
			t.Fatal(err)
		}
		return leaser.NewController(decoded.Node, decoded.Run, decoded.Names, leaser.DefaultTiming)
	},
	Messages: []leaser.Message{
		leaser.Tick{}, leaser.SetNodes{}, leaser.Release{}, leaser.Resume{}, leaser.SetData{}, leaser.ReadDone{}, leaser.WriteDone{},
	},
	Tick: leaser.Tick{},
}

func TestScripts(t *testing.T) {
	tester.Replay(t, scripts)
}

// TestDisturbedMessages guards against a panic, which ends the node, at messages with parts that
// are missing, unknown or out of range, or that come in another order.
func TestDisturbedMessages(t *testing.T) {
	tester.Disturb(t, scripts, 300)
}
