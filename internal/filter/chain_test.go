package filter_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/pkg/releaser"
)

// testCase is one line of testdata/requests.jsonl: a request, the faults that
// occur, and the expected result.
type testCase struct {
	Name string
	// Key is "riders" for the granted key, "" for no key.
	Key      string
	Class    filter.Class
	Timeout  string
	Identity string
	// Model is set for generations, Service and Call ("GET /path") for calls.
	Model    string
	Service  string
	Call     string
	ReadLate bool // the request is read after its deadline

	NotCurrent bool
	// Refuse is the name of the step whose fake returns a refusal: "limit",
	// "admit", "confirm" or "record".
	Refuse string
	// Withdraw is what is withdrawn, "key" or "model" (with all services), and
	// When is the step at which this happens, "admit" or "send".
	Withdraw, When string
	Record         string
	// Attempts are the results of the attempts, "<tokens> <result>".
	Attempts     []string
	NoBudget     bool
	NoSecondSlot bool // the scheduler grants a slot only once
	// RecordFails makes the recording of the outcome fail.
	RecordFails bool

	// Want is "" for an answer, "<reason>, <run>" for a refusal.
	Want string
	// Sent holds the start index of each attempt.
	Sent []int
	// Recorded lists the calls of the recorder.
	Recorded []string
	// Tokens holds the indexes of the tokens that the caller received.
	Tokens []int
	Used   int
}

// fakes implements every interface that the filters use.
type fakes struct {
	testCase
	mutex         sync.Mutex
	configuration *releaser.Configuration
	changed       chan struct{}
	clock         clockwork.Clock
	sent          []int
	avoidLists    [][]string
	recorded      []string
	slots         int
	released      int
	settled       []int
	tokens        []int
}

var fakeRefusal = filter.Refusal{Reason: filter.RateLimited, Run: filter.NotRun, Detail: "refused by the controller"}

func (f *fakes) refuseAt(name string) error {
	if f.Refuse == name {
		return fakeRefusal
	}
	return nil
}

func (f *fakes) Configuration() *releaser.Configuration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.configuration
}

func (f *fakes) Changed() <-chan struct{} {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.changed
}

func (f *fakes) Current() bool { return !f.NotCurrent }

// withdraw removes the key or the models and services from the configuration and
// waits until the request is cancelled, or for one second.
func (f *fakes) withdraw(ctx context.Context, when string) {
	if f.When != when {
		return
	}
	f.mutex.Lock()
	next := *f.configuration
	next.Grants = nil
	if f.Withdraw == "model" {
		next = releaser.Configuration{Grants: f.configuration.Grants}
	}
	f.configuration = &next
	close(f.changed)
	f.changed = make(chan struct{})
	f.mutex.Unlock()
	select {
	case <-ctx.Done():
	case <-f.clock.After(time.Second):
	}
}

func (f *fakes) Reserve(_ context.Context, workspace string, tokens int, _ time.Time) (filter.Reservation, error) {
	return filter.Reservation{ID: 1, Workspace: workspace, Tokens: tokens}, f.refuseAt("limit")
}

func (f *fakes) Confirm(_ context.Context, reservation filter.Reservation, _ time.Time) (filter.Reservation, error) {
	return reservation, f.refuseAt("confirm")
}

func (f *fakes) Settle(_ filter.Reservation, used int) { f.settled = append(f.settled, used) }

func (f *fakes) Admit(ctx context.Context, admission filter.Admission) (filter.Slot, error) {
	f.withdraw(ctx, "admit")
	if ctx.Err() != nil {
		return filter.Slot{}, ctx.Err()
	}
	f.avoidLists = append(f.avoidLists, admission.Avoid)
	if err := f.refuseAt("admit"); err != nil || f.slots > 0 && f.NoSecondSlot {
		return filter.Slot{}, errors.Join(err, fakeRefusal)
	}
	f.slots++
	return filter.Slot{ID: uint64(f.slots), Endpoint: fmt.Sprint("e", f.slots)}, nil
}

func (f *fakes) Release(filter.Slot, filter.SlotResult) { f.released++ }

func (f *fakes) Begin(context.Context, filter.Intent, time.Time) (filter.Record, error) {
	f.recorded = append(f.recorded, "Begin")
	switch f.Record {
	case "Known":
		return filter.Known{Reply: filter.Reply{Status: 200}}, nil
	case "Uncertain":
		return filter.Uncertain{}, nil
	}
	return filter.Fresh{}, f.refuseAt("record")
}

func (f *fakes) record(action string) error {
	f.recorded = append(f.recorded, action)
	if f.RecordFails {
		return errors.New("not recorded")
	}
	return nil
}

func (f *fakes) Finish(context.Context, filter.Intent, filter.Reply) error { return f.record("Finish") }

func (f *fakes) Abandon(context.Context, filter.Intent) error { return f.record("Abandon") }

func (f *fakes) Spend() bool { return !f.NoBudget }

// attempt records an attempt and returns its number of tokens and its error.
func (f *fakes) attempt(ctx context.Context, from int) (int, error) {
	f.withdraw(ctx, "send")
	f.sent = append(f.sent, from)
	result := "0 ok"
	if len(f.sent) <= len(f.Attempts) {
		result = f.Attempts[len(f.sent)-1]
	}
	var tokens int
	_, _ = fmt.Sscan(result, &tokens)
	_, result, _ = strings.Cut(result, " ")
	switch {
	case ctx.Err() != nil:
		return tokens, filter.Failure{Run: filter.Ran, Err: context.Cause(ctx)}
	case result == "ok":
		return tokens, nil
	case result == "gone":
		return tokens, filter.Failure{Run: filter.Ran, CallerGone: true, Err: errors.New("the caller is gone")}
	default:
		return tokens, filter.Failure{Run: filter.Run(result), Err: errors.New("the endpoint failed")}
	}
}

func (f *fakes) Generate(ctx context.Context, attempt filter.Attempt, emit func(filter.Event) error) (filter.Finish, error) {
	tokens, err := f.attempt(ctx, attempt.StartIndex)
	for index := attempt.StartIndex; index < attempt.StartIndex+tokens; index++ {
		_ = emit(filter.Token{Index: index})
	}
	return filter.Finish{PromptTokens: 3, CompletionTokens: attempt.StartIndex + tokens}, err
}

func (f *fakes) Call(ctx context.Context, _ filter.Attempt) (filter.Reply, error) {
	_, err := f.attempt(ctx, 0)
	return filter.Reply{Status: 201}, err
}

func (f *fakes) emit(event filter.Event) error {
	if token, ok := event.(filter.Token); ok {
		f.tokens = append(f.tokens, token.Index)
	}
	return nil
}

func (f *fakes) chain() filter.Chain {
	return filter.Chain{
		filter.Identify{Clock: f.clock},
		filter.Resolve{View: f},
		filter.Authenticate{View: f},
		filter.Limit{Clock: f.clock, Limits: f},
		filter.Admit{View: f, Scheduler: f},
		filter.Confirm{Clock: f.clock, Limits: f},
		filter.RecordIntent{Recorder: f},
		filter.Dispatch{Clock: f.clock, Scheduler: f, Dispatcher: f, Recorder: f, Budget: f},
	}
}

func (f *fakes) request(t *testing.T) *filter.Request {
	request := &filter.Request{
		Arrived: f.clock.Now(), Identity: f.Identity, IdentityGiven: f.Identity != "", Class: f.Class,
	}
	if f.Key != "" {
		request.KeyDigest = releaser.Digest(f.Key)
	}
	if f.Timeout != "" {
		timeout, err := time.ParseDuration(f.Timeout)
		if err != nil {
			t.Fatal(err)
		}
		request.Timeout = timeout
	}
	if f.ReadLate {
		request.Arrived = request.Arrived.Add(-time.Minute)
	}
	if f.Service == "" {
		request.Work = filter.Generation{Model: f.Model, PromptTokens: 3, MaxTokens: 10, Emit: f.emit}
		return request
	}
	method, path, _ := strings.Cut(f.testCase.Call, " ")
	request.Work = filter.Call{Service: f.Service, Method: method, Path: path}
	return request
}

func newFakes(test testCase) *fakes {
	digest := releaser.Digest("riders")
	return &fakes{
		testCase: test, clock: clockwork.NewRealClock(), changed: make(chan struct{}),
		configuration: &releaser.Configuration{
			Models: map[string]releaser.Model{
				releaser.Key("m", "1"): {Name: "m", Version: "1"},
				releaser.Key("o", "1"): {Name: "o", Version: "1", Open: true},
			},
			Newest: map[string]string{"m": "m@1", "o": "o@1"},
			Services: map[string]releaser.Service{"booking": {Name: "booking", Routes: []releaser.Route{
				{Method: "GET", Path: "/forecast", Idempotent: true},
				{Method: "POST", Path: "/bookings"},
			}}},
			Workspaces: map[string]releaser.Workspace{"riders": {Name: "riders"}},
			Grants:     map[string]releaser.Grant{digest: {ID: "g1", Workspace: "riders", Digest: digest}},
		},
	}
}

func readCases(t *testing.T) []testCase {
	t.Helper()
	data, err := os.ReadFile("testdata/requests.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	var cases []testCase
	for number, line := range strings.Split(strings.TrimSpace(string(data)), "\n") {
		if strings.HasPrefix(line, "#") || line == "" {
			continue
		}
		var test testCase
		decoder := json.NewDecoder(strings.NewReader(line))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&test); err != nil {
			t.Fatalf("line %d: %v", number+1, err)
		}
		cases = append(cases, test)
	}
	return cases
}

// Guards against a refusal with a wrong reason or a wrong Run value, a
// non-idempotent call that is sent twice, tokens that are repeated or omitted
// after a retry, and slots and reservations that are not released. Each line of
// the data file is one request.
func TestRequests(t *testing.T) {
	for _, test := range readCases(t) {
		t.Run(test.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { newFakes(test).run(t) })
		})
	}
}

func (f *fakes) run(t *testing.T) {
	verdict := f.chain().Run(t.Context(), f.request(t))
	got, used := "", 0
	switch verdict := verdict.(type) {
	case filter.Refuse:
		got, used = fmt.Sprintf("%s, %s", verdict.Refusal.Reason, verdict.Refusal.Run), verdict.Used
	case filter.Accept:
		used = verdict.Used
	}
	if got != f.Want || used != f.Used {
		t.Errorf("verdict %q, %d tokens used; want %q, %d (%+v)", got, used, f.Want, f.Used, verdict)
	}
	if !slices.Equal(f.sent, f.Sent) {
		t.Errorf("attempts from indexes %v; want %v", f.sent, f.Sent)
	}
	if !slices.Equal(f.recorded, f.Recorded) {
		t.Errorf("recorder calls %v; want %v", f.recorded, f.Recorded)
	}
	if !slices.Equal(f.tokens, f.Tokens) {
		t.Errorf("the caller received tokens %v; want %v", f.tokens, f.Tokens)
	}
	if f.released != f.slots {
		t.Errorf("%d of %d slots were released", f.released, f.slots)
	}
	if len(f.settled) > 0 && !slices.Equal(f.settled, []int{used}) {
		t.Errorf("settled with %v; want once with %d", f.settled, used)
	}
	for number, avoided := range f.avoidLists {
		if len(avoided) != number {
			t.Errorf("slot %d avoids %v; want the endpoints of all earlier attempts", number+1, avoided)
		}
	}
}
