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

// The messages below are short forms for scripts, with durations as strings.

// AdmitRequests admits Count requests (1 if 0) with consecutive calls starting
// at Call.
type AdmitRequests struct {
	Call, Count                                        int
	Workspace, Class, Model, Adapter, Service, Timeout string
	Weight                                             float64
	Tokens                                             int
	Avoid                                              []string
}

// Fleet is a view of the fleet. Models of an endpoint are written "model" or
// "model+adapter", and "model!" while the model is loading.
type Fleet struct {
	Nodes     int
	Endpoints []scriptEndpoint
}

type scriptEndpoint struct {
	Name, Service, Age, Suspect string
	Slots, Running, Queued      int
	Models                      []string
	Leaving, Unlisted           bool
}

// ReleaseSlots releases Count slots (1 if 0) starting at Slot.
type ReleaseSlots struct {
	Slot, Count, Tokens  int
	Failed, Refused      bool
	FirstToken, Duration string
}

// ModelLoading states that an endpoint has been loading a model for Age, or,
// without an endpoint, that no model is loading.
type ModelLoading struct{ Endpoint, Model, Age string }

// DrainNode drains the node with a time limit; an empty Within means no limit.
type DrainNode struct{ Within string }

func (AdmitRequests) isMessage() {}
func (Fleet) isMessage()         {}
func (ReleaseSlots) isMessage()  {}
func (ModelLoading) isMessage()  {}
func (DrainNode) isMessage()     {}

// scriptController expands the short forms into messages.
type scriptController struct{ *Controller }

func (s scriptController) Step(now time.Time, message Message) []Effect {
	var effects []Effect
	for _, message := range expand(now, message) {
		effects = append(effects, s.Controller.Step(now, message)...)
	}
	return effects
}

func expand(now time.Time, message Message) []Message {
	switch message := message.(type) {
	case AdmitRequests:
		return admissions(now, message)
	case Fleet:
		return []Message{FleetChanged{Fleet: fleet(now, message)}}
	case ReleaseSlots:
		return releases(message)
	case ModelLoading:
		if message.Endpoint == "" {
			return []Message{PlacementChanged{}}
		}
		return []Message{PlacementChanged{Loads: []Load{{
			Model: message.Model, Endpoint: message.Endpoint, StartedAt: now.Add(-parseDuration(message.Age)),
		}}}}
	case DrainNode:
		if message.Within == "" {
			return []Message{Drain{}}
		}
		return []Message{Drain{Until: now.Add(parseDuration(message.Within))}}
	default:
		return []Message{message}
	}
}

func parseDuration(text string) time.Duration {
	if text == "" {
		return 0
	}
	duration, err := time.ParseDuration(text)
	if err != nil {
		panic(err)
	}
	return duration
}

func admissions(now time.Time, message AdmitRequests) []Message {
	var messages []Message
	for index := range max(1, message.Count) {
		messages = append(messages, Admit{Call: runner.Call(message.Call + index), Admission: filter.Admission{
			Model: message.Model, Adapter: message.Adapter, Service: message.Service,
			Workspace: message.Workspace, Weight: max(message.Weight, 1), Class: filter.Class(message.Class),
			Deadline: now.Add(parseDuration(message.Timeout)), MaxTokens: message.Tokens, Avoid: message.Avoid,
		}})
	}
	return messages
}

func releases(message ReleaseSlots) []Message {
	var messages []Message
	for index := range max(1, message.Count) {
		messages = append(messages, Release{SlotID: uint64(message.Slot + index), Result: filter.SlotResult{
			Failed: message.Failed, Refused: message.Refused, Tokens: message.Tokens,
			FirstToken: parseDuration(message.FirstToken), Duration: parseDuration(message.Duration),
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

func (s scriptEndpoint) endpoint(now time.Time) tracker.Endpoint {
	endpoint := tracker.Endpoint{Instance: tracker.Instance{Name: s.Name, Service: s.Service, Phase: tracker.Live}}
	if s.Unlisted {
		endpoint.Phase = tracker.Leaving
	}
	if s.Suspect != "" {
		endpoint.SuspectUntil = now.Add(parseDuration(s.Suspect))
	}
	if endpoint.Kind = tracker.Engine; s.Service != "" {
		endpoint.Kind = tracker.Service
		return endpoint
	}
	endpoint.Report = &tracker.Report{
		Measured: now.Add(-parseDuration(s.Age)), Slots: s.Slots, Running: s.Running, Queued: s.Queued,
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

// Guards against unintended changes of the scheduler's decisions; the head of
// each script states the failure that it guards against.
func TestScripts(t *testing.T) {
	tester.Replay(t, tester.Suite[Message, Effect]{
		Directory: "testdata",
		New: func(t *testing.T, setup []byte) tester.Controller[Message, Effect] {
			controller := NewController(router.Location{}, 1)
			if setup != nil {
				if err := json.Unmarshal(setup, controller); err != nil {
					t.Fatal(err)
				}
				controller.Published.MaxWaiting = controller.MaxWaiting
			}
			return scriptController{controller}
		},
		Messages: []Message{AdmitRequests{}, Fleet{}, ReleaseSlots{}, ModelLoading{}, DrainNode{}, Cancel{}, CacheEvents{}, AttainedService{}},
		Tick:     Tick{},
	})
}
