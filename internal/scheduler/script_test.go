package scheduler

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/router"
	"toucanhitch.example/toucanhitch/internal/runner"
	"toucanhitch.example/toucanhitch/internal/tester"
	"toucanhitch.example/toucanhitch/internal/tracker"
)

// The messages below are short forms for scripts, with offsets as strings.

// Ask admits Count requests (1 if 0) with calls from Call on.
type Ask struct {
	Call, Count                                         int
	Workspace, Class, Model, Adapter, Service, Patience string
	Weight                                              float64
	Tokens                                              int
	Avoid                                               []string
}

// Fleet brings a view; an endpoint's models are written "model" or
// "model+adapter", and "model!" while it loads.
type Fleet struct {
	Nodes     int
	Endpoints []scripted
}

type scripted struct {
	Name, Service, Age, Suspect string
	Slots, Running, Queued      int
	Models                      []string
	Leaving, Unlisted           bool
}

// Done releases Count slots (1 if 0) from Slot on.
type Done struct {
	Slot, Count, Tokens int
	Failed, Refused     bool
	First, Held         string
}

// Loading says that an endpoint has been loading a model for Age; without an
// endpoint it says that nothing is loading.
type Loading struct{ Endpoint, Model, Age string }

// Shutdown drains the node within a time; none means no bound.
type Shutdown struct{ Within string }

func (Ask) isMessage()      {}
func (Fleet) isMessage()    {}
func (Done) isMessage()     {}
func (Loading) isMessage()  {}
func (Shutdown) isMessage() {}

// scripter turns the short forms into messages.
type scripter struct{ *Controller }

func (s scripter) Step(now time.Time, message Message) []Effect {
	var effects []Effect
	for _, message := range expand(now, message) {
		effects = append(effects, s.Controller.Step(now, message)...)
	}
	return effects
}

func expand(now time.Time, message Message) []Message {
	switch message := message.(type) {
	case Ask:
		return asks(now, message)
	case Fleet:
		return []Message{FleetChanged{Fleet: fleet(now, message)}}
	case Done:
		return releases(message)
	case Loading:
		if message.Endpoint == "" {
			return []Message{PlacementChanged{}}
		}
		return []Message{PlacementChanged{Loads: []Load{{
			Model: message.Model, Endpoint: message.Endpoint, Since: now.Add(-span(message.Age)),
		}}}}
	case Shutdown:
		if message.Within == "" {
			return []Message{Drain{}}
		}
		return []Message{Drain{Until: now.Add(span(message.Within))}}
	default:
		return []Message{message}
	}
}

func span(text string) time.Duration {
	if text == "" {
		return 0
	}
	duration, err := time.ParseDuration(text)
	if err != nil {
		panic(err)
	}
	return duration
}

func asks(now time.Time, ask Ask) []Message {
	var messages []Message
	for index := range max(1, ask.Count) {
		messages = append(messages, Admit{Call: runner.Call(ask.Call + index), Admission: filter.Admission{
			Model: ask.Model, Adapter: ask.Adapter, Service: ask.Service,
			Workspace: ask.Workspace, Weight: max(ask.Weight, 1), Class: filter.Class(ask.Class),
			Deadline: now.Add(span(ask.Patience)), MaxTokens: ask.Tokens, Avoid: ask.Avoid,
		}})
	}
	return messages
}

func releases(done Done) []Message {
	var messages []Message
	for index := range max(1, done.Count) {
		messages = append(messages, Release{SlotID: uint64(done.Slot + index), Result: filter.SlotResult{
			Failed: done.Failed, Refused: done.Refused, Tokens: done.Tokens,
			FirstToken: span(done.First), Duration: span(done.Held),
		}})
	}
	return messages
}

func fleet(now time.Time, view Fleet) tracker.Fleet {
	var result tracker.Fleet
	for range view.Nodes {
		result.Nodes = append(result.Nodes, tracker.Instance{Phase: tracker.Live})
	}
	for _, entry := range view.Endpoints {
		result.Endpoints = append(result.Endpoints, entry.endpoint(now))
	}
	return result
}

func (s scripted) endpoint(now time.Time) tracker.Endpoint {
	endpoint := tracker.Endpoint{Instance: tracker.Instance{Name: s.Name, Service: s.Service, Phase: tracker.Live}}
	if s.Unlisted {
		endpoint.Phase = tracker.Leaving
	}
	if s.Suspect != "" {
		endpoint.SuspectUntil = now.Add(span(s.Suspect))
	}
	if endpoint.Kind = tracker.Engine; s.Service != "" {
		endpoint.Kind = tracker.Service
		return endpoint
	}
	endpoint.Report = &tracker.Report{
		Measured: now.Add(-span(s.Age)), Slots: s.Slots, Running: s.Running, Queued: s.Queued,
		TokensPerSecond: 50, Leaving: s.Leaving, Models: models(s.Models),
	}
	return endpoint
}

func models(names []string) []tracker.ModelState {
	var states []tracker.ModelState
	for _, name := range names {
		model, adapter, _ := strings.Cut(name, "+")
		state := tracker.ModelState{Model: strings.TrimSuffix(model, "!"), State: tracker.Loaded}
		if model != state.Model {
			state.State = tracker.Loading
		}
		if adapter != "" {
			state.Adapters = []tracker.AdapterState{{Adapter: adapter, State: tracker.Loaded}}
		}
		states = append(states, state)
	}
	return states
}

// Guards against decisions of the scheduler that change unnoticed; each
// script says which failure it is about.
func TestScripts(t *testing.T) {
	tester.Replay(t, tester.Suite[Message, Effect]{
		Directory: "testdata",
		New: func(t *testing.T, setup []byte) tester.Controller[Message, Effect] {
			controller := NewController(router.Location{}, 1)
			if setup != nil {
				if err := json.Unmarshal(setup, controller); err != nil {
					t.Fatal(err)
				}
				controller.Published.Bound = controller.Bound
			}
			return scripter{controller}
		},
		Messages: []Message{Ask{}, Fleet{}, Done{}, Loading{}, Shutdown{}, Cancel{}, CacheEvents{}, AttainedService{}},
		Tick:     Tick{},
	})
}
