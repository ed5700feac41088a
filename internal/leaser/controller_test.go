package leaser_test

import (
	"slices"
	"testing"

	"toucanhitch.example/toucanhitch/internal/encoder"
	"toucanhitch.example/toucanhitch/internal/leaser"
	"toucanhitch.example/toucanhitch/internal/tester"
)

func TestScripts(t *testing.T) {
	tester.Replay(t, tester.Suite[leaser.Message, leaser.Effect]{
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
			return leaser.NewController(decoded.Node, decoded.Run, decoded.Names)
		},
		Messages: []leaser.Message{
			leaser.Tick{}, leaser.SetNodes{}, leaser.Release{}, leaser.Keep{}, leaser.ReadDone{}, leaser.WriteDone{},
		},
		Tick: leaser.Tick{},
	})
}

// Guards against ranks that change for many keys when one node leaves.
func TestRankIsStable(t *testing.T) {
	nodes := []string{"a", "b", "c", "d", "e"}
	all := leaser.Rank("Limits", nodes, 3)
	if len(all) != 3 || !slices.Equal(leaser.Rank("Limits", []string{"e", "c", "a", "d", "b"}, 3), all) {
		t.Fatalf("rank %v depends on the order of the nodes", all)
	}
	without := slices.DeleteFunc(slices.Clone(nodes), func(node string) bool { return node == all[0] })
	if got := leaser.Rank("Limits", without, 2); !slices.Equal(got, all[1:]) {
		t.Errorf("without the first: %v; want %v", got, all[1:])
	}
}
