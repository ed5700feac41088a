package tracker_test

import (
	"testing"

	"toucanhitch.example/toucanhitch/internal/spreader"
	"toucanhitch.example/toucanhitch/internal/tester"
	"toucanhitch.example/toucanhitch/internal/tracker"
)

// Guards against the failures that the scripts name.
func TestScripts(t *testing.T) {
	tester.Replay(t, tester.Suite[tracker.Message, tracker.Effect]{
		Directory: "testdata",
		New: func(*testing.T, []byte) tester.Controller[tracker.Message, tracker.Effect] {
			return tracker.New(spreader.Peer{Name: "n1", Address: "10.0.0.1:7", DataCentre: "dc-1", Region: "north"})
		},
		Messages: []tracker.Message{
			tracker.ListRead{},
			tracker.ListFailed{},
			tracker.ListPushed{},
			tracker.ReportRead{},
			tracker.ReportFailed{},
			tracker.ReportPushed{},
			tracker.EventsRead{},
			tracker.EventsFailed{},
			tracker.Evidence{},
			tracker.PeerEvidence{},
			tracker.LoadPushed{},
		},
		Tick: tracker.Tick{},
	})
}
