package screener

import (
	"testing"
	"time"

	"toucanhitch.example/toucanhitch/internal/tester"
)

// scripts are the scripts of the controller.
var scripts = tester.Suite[Message, Effect]{
	Directory: "testdata/node",
	New:       func(*testing.T, []byte) tester.Controller[Message, Effect] { return NewController("n1") },
	Messages:  []Message{AttemptBroke{}, AnswerBegun{}, StateReceived{}, RecordsRead{}, Collect{}},
	Tick:      Tick{},
}

// TestScripts replays the scripts of a node in testdata/node. The head of each script
// states the failure that it guards against.
func TestScripts(t *testing.T) {
	tester.Replay(t, scripts)
}

// TestDisturbedMessages guards against a panic, which ends the node, at messages with parts that
// are missing, unknown or out of range, or that come in another order.
func TestDisturbedMessages(t *testing.T) {
	tester.Disturb(t, scripts, 300)
}

// TestEvidence replays the scripts of the lease holder in testdata/evidence.
func TestEvidence(t *testing.T) {
	tester.Replay(t, tester.Suite[any, any]{
		Directory: "testdata/evidence",
		New:       func(*testing.T, []byte) tester.Controller[any, any] { return &holder{NewEvidence()} },
		Messages:  []any{Reported{}, StillRunning{}, Reviewed{}, Recorded{}},
		Tick:      Reviewed{},
	})
}

// Reported, StillRunning, Reviewed and Recorded are the calls of Evidence in scripts.
type (
	Reported struct {
		Node   string
		Report Report
	}
	StillRunning struct{ Replica Process }
	Reviewed     struct{}
	Recorded     struct{}
)

// holder makes Evidence a controller, so that scripts can drive it.
type holder struct{ evidence *Evidence }

func (h *holder) Wake() time.Time { return time.Time{} }

func (h *holder) Step(now time.Time, message any) (effects []any) {
	switch message := message.(type) {
	case Reported:
		h.evidence.Record(now, message.Node, message.Report)
	case StillRunning:
		h.evidence.RecordAlive(message.Replica, now)
	case Reviewed:
		for _, verdict := range h.evidence.Review(now) {
			effects = append(effects, verdict)
		}
		for _, replica := range h.evidence.Check(now) {
			effects = append(effects, replica)
		}
		effects = append(effects, h.evidence.Publish(now))
	case Recorded:
		for _, record := range h.evidence.Records(now) {
			effects = append(effects, record)
		}
	}
	return effects
}
