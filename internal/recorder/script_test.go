package recorder

import (
	"cmp"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"toucanhitch.example/toucanhitch/internal/encoder"
	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/runner"
	"toucanhitch.example/toucanhitch/internal/tester"
)

// request is OperationRequested in scripts, because JSON cannot be decoded into
// an Action.
type request struct {
	Call   runner.Call
	Key    Key
	ID     string
	Digest string
	// Action is "Begin", "Abandon" or the body of the reply to record.
	Action string
}

func (request) isMessage() {}

func (r request) message() OperationRequested {
	operation := Operation{Key: r.Key, ID: r.ID, Digest: cmp.Or(r.Digest, "d")}
	switch r.Action {
	case "Begin":
		operation.Action = Begin{}
	case "Abandon":
		operation.Action = Abandon{}
	default:
		operation.Action = Finish{Reply: filter.Reply{Status: 200, Body: []byte(r.Action)}}
	}
	return OperationRequested{Call: r.Call, Operation: operation}
}

// scriptedWriter is a Writer that accepts the request messages of scripts.
type scriptedWriter struct{ *Writer }

func (s scriptedWriter) Step(now time.Time, message Message) []Effect {
	if fromScript, ok := message.(request); ok {
		message = fromScript.message()
	}
	return describeResults(s.Writer.Step(now, message))
}

// describeResults replaces AnswerCall by Answered, which contains the type of
// the result. JSON omits it.
func describeResults(effects []Effect) []Effect {
	for i, effect := range effects {
		reply, ok := effect.(AnswerCall)
		if !ok {
			continue
		}
		text := fmt.Sprintf("%T %+v", reply.Result, reply.Result)
		if done, ok := reply.Result.(Done); ok {
			text = fmt.Sprintf("%T", done.Record)
			if known, ok := done.Record.(filter.Known); ok {
				text += " " + string(known.Reply.Body)
			}
		}
		effects[i] = Answered{Call: reply.Call, Result: text}
	}
	return effects
}

// Answered represents AnswerCall in golden files.
type Answered struct {
	Call   runner.Call
	Result string
}

func (Answered) isEffect() {}

func TestScripts(t *testing.T) {
	tester.Replay(t, tester.Suite[Message, Effect]{
		Directory: "testdata",
		New: func(t *testing.T, setup []byte) tester.Controller[Message, Effect] {
			writer := NewWriter("n1")
			if setup != nil {
				settings, err := encoder.Decode[struct{ MaxHeadBytes int }](json.RawMessage(setup))
				if err != nil {
					t.Fatal(err)
				}
				writer.MaxHeadBytes = settings.MaxHeadBytes
			}
			return scriptedWriter{writer}
		},
		Messages: []Message{request{}, BucketRead{}, BucketWritten{}, BucketFailed{}, Tick{}},
		Tick:     Tick{},
	})
}
