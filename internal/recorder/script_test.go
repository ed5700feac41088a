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
	// Do is "Begin", "Abandon" or, with the reply's body, "Finish <body>".
	Do string
	// Times repeats the message with further calls, keys and IDs.
	Times int
}

func (ask) isMessage() {}

func (s ask) messages() []Message {
	var messages []Message
	for number := range max(1, s.Times) {
		operation := Operation{Key: s.Key, ID: s.ID, Digest: cmp.Or(s.Digest, "d")}
		if number > 0 {
			operation.Key += Key(fmt.Sprint("-", number))
			operation.ID += fmt.Sprint("-", number)
		}
		operation.Action = Finish{Reply: filter.Reply{Status: 200, Body: []byte(s.Do)}}
		switch s.Do {
		case "Begin":
			operation.Action = Begin{}
		case "Abandon":
			operation.Action = Abandon{}
		}
		messages = append(messages, Asked{Call: s.Call + runner.Call(number), Operation: operation})
	}
	return messages
}

// scripted is a Writer that takes the messages of scripts.
type scripted struct{ *Writer }

func (s scripted) Step(now time.Time, message Message) []Effect {
	asked, ok := message.(ask)
	if !ok {
		return shown(s.Writer.Step(now, message))
	}
	var effects []Effect
	for _, message := range asked.messages() {
		effects = append(effects, s.Writer.Step(now, message)...)
	}
	return shown(effects)
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
