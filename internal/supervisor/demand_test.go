package supervisor

import (
	"testing"

	"toucanhitch.example/toucanhitch/internal/placer"
	"toucanhitch.example/toucanhitch/internal/tester"
)

// Guards against unintended changes of the demand sender's decisions; the head
// of each script states the failures that it guards against.
func TestDemandScripts(t *testing.T) {
	tester.Replay(t, tester.Suite[demandMessage, demandEffect]{
		Directory: "testdata/demands",
		New: func(*testing.T, []byte) tester.Controller[demandMessage, demandEffect] {
			return &DemandSender{Self: "n1", Pending: map[placer.Key]placer.Demand{}}
		},
		Messages: []demandMessage{leaseholderChanged{}, demandAdded{}, demandSent{}},
		Tick:     demandTick{},
	})
}
