package relayer

import (
	"testing"

	"toucanhitch.example/toucanhitch/internal/tester"
)

// TestScripts replays the scripts in testdata. The head of each script states the failure that
// it guards against.
func TestScripts(t *testing.T) {
	tester.Replay(t, tester.Suite[Message, Effect]{
		Directory: "testdata",
		New: func(*testing.T, []byte) tester.Controller[Message, Effect] {
			return NewController(1)
		},
		Messages: []Message{SetReplicas{}, SetPeers{}, Reached{}, Relayed{}, Unreachable{}, PeerFailed{}, Suspected{}, ProbeDone{}, CheckDone{}, Choose{}},
		Tick:     Tick{},
	})
}
