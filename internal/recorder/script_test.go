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

// ask is Asked as scripts write it, since JSON cannot fill an Action.
type ask struct {
	Call   runner.Call
	Key    Key
	ID     string
	Digest string
	// Do is "Begin", "Abandon" or the body of the reply to record.
	Do string
}

func (ask) isMessage() {}

func (s ask) message() Asked {
	operation := Operation{Key: s.Key, ID: s.ID, Digest: cmp.Or(s.Digest, "d")}
	switch s.Do {
	case "Begin":
		operation.Action = Begin{}
	case "Abandon":
		operation.Action = Abandon{}
	default:
		operation.Action = Finish{Reply: filter.Reply{Status: 200, Body: []byte(s.Do)}}
	}
	return Asked{Call: s.Call, Operation: operation}
}

// scripted is a Writer that takes the messages of scripts.
type scripted struct{ *Writer }

func (s scripted) Step(now time.Time, message Message) []Effect {
	if asked, ok := message.(ask); ok {
		message = asked.message()
	}
	return shown(s.Writer.Step(now, message))
}

// shown names the types of results, which their JSON form leaves out.
func shown(effects []Effect) []Effect {
	for at, effect := range effects {
		answered, ok := effect.(AnswerCall)
		if !ok {
			continue
		}
		text := fmt.Sprintf("%T %+v", answered.Result, answered.Result)
		if done, ok := answered.Result.(Done); ok {
			text = fmt.Sprintf("%T", done.Record)
			if known, ok := done.Record.(filter.Known); ok {
				text += " " + string(known.Reply.Body)
			}
		}
		effects[at] = Answered{Call: answered.Call, Result: text}
	}
	return effects
}

// Answered is AnswerCall in a trace.
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
				settings, err := encoder.Decode[struct{ SealBytes int }](json.RawMessage(setup))
				if err != nil {
					t.Fatal(err)
				}
				writer.SealBytes = settings.SealBytes
			}
			return scripted{writer}
		},
		Messages: []Message{ask{}, BucketRead{}, BucketWritten{}, BucketFailed{}, Tick{}},
		Tick:     Tick{},
	})
}
