package dispatcher_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sebdah/goldie/v2"
	"golang.org/x/tools/txtar"

	"toucanhitch.example/toucanhitch/internal/dispatcher"
	"toucanhitch.example/toucanhitch/internal/emulator"
	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/tester"
)

const (
	// shortTimeout replaces the timeouts of seconds, so that the scripts run
	// fast. Engines answer within a millisecond here.
	shortTimeout = 150 * time.Millisecond
	prompt       = "wind at Hel"
	model        = "gusts"
	version      = "2"
)

// bench is a dispatcher with one engine and one service on loopback.
type bench struct {
	t          *testing.T
	dispatcher *dispatcher.Dispatcher
	engine     *emulator.Engine
	service    *emulator.Service
	addresses  map[string]string
	servers    map[string]*emulator.EndpointServer
	closers    map[string]func()
	attempts   int
}

func newBench(t *testing.T, settings emulator.EngineSettings) *bench {
	t.Helper()
	clock := clockwork.NewRealClock()
	settings.Loaded = []emulator.EngineCheckpoint{{Model: model + "@" + version}}
	engine, stopEngine, err := emulator.NewEngine(settings, clock)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stopEngine)
	service, stopService, err := emulator.NewService(emulator.ServiceSettings{}, clock)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stopService)
	sent, stopDispatcher := dispatcher.New(dispatcher.Settings{
		Clock: clock, FirstByte: shortTimeout, OnceFirstByte: shortTimeout, Silence: shortTimeout, Dial: shortTimeout,
	})
	t.Cleanup(stopDispatcher)
	b := &bench{
		t: t, dispatcher: sent, engine: engine, service: service,
		addresses: map[string]string{}, servers: map[string]*emulator.EndpointServer{}, closers: map[string]func(){},
	}
	b.serve("engine", engine)
	b.serve("service", service)
	return b
}

func (b *bench) serve(name string, handler emulator.EndpointHandler) {
	b.t.Helper()
	server, closeServer, err := emulator.ServeEndpoint("127.0.0.1:0", handler)
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(closeServer)
	b.addresses[name], b.servers[name], b.closers[name] = server.Address, server, closeServer
}

func (b *bench) attempt(name string) filter.Attempt {
	b.attempts++
	return filter.Attempt{
		ID:   fmt.Sprintf("attempt-%d", b.attempts),
		Slot: filter.Slot{ID: 1, Endpoint: name, Address: b.addresses[name]},
	}
}

// Guards against wrong or missing tokens, wrong statements on whether an
// attempt ran, repeated calls, and connections that stay in use after they
// fell silent. Each script has one fault, twice in a row.
func TestFaults(t *testing.T) {
	paths, err := filepath.Glob("testdata/faults/*.txtar")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, path := range paths {
		name := strings.TrimSuffix(filepath.Base(path), ".txtar")
		t.Run(name, func(t *testing.T) {
			archive, err := txtar.ParseFile(path)
			if err != nil {
				t.Fatal(err)
			}
			goldie.New(t, goldie.WithFixtureDir("testdata/faults")).Assert(t, name, runScript(t, archive))
		})
	}
}

func runScript(t *testing.T, archive *txtar.Archive) []byte {
	b := newBench(t, emulator.EngineSettings{Interval: time.Millisecond})
	var trace bytes.Buffer
	for line := range strings.Lines(string(tester.File(archive, "script"))) {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		fmt.Fprintf(&trace, "%s\n", line)
		if outcome := b.do(line); outcome != "" {
			fmt.Fprintf(&trace, "    -> %s\n", outcome)
		}
	}
	return trace.Bytes()
}

// do carries out one line of a script and describes what came of it.
func (b *bench) do(line string) string {
	command, rest, _ := strings.Cut(line, " ")
	switch command {
	case "engine-faults":
		b.must(b.engine.SetFaults(b.t.Context(), decoded[emulator.EngineFaults](b.t, rest)))
	case "service-faults":
		b.must(b.service.SetFaults(b.t.Context(), decoded[emulator.ServiceFaults](b.t, rest)))
	case "close":
		b.closers[rest]()
	case "silence":
		b.servers[rest].SilenceOpen()
	case "fill":
		b.fill(number(b.t, rest))
	case "generate":
		return b.generate(strings.Fields(rest))
	case "call":
		return b.call(strings.Fields(rest))
	case "executions":
		counts, err := b.service.Executions(b.t.Context())
		b.must(err)
		return fmt.Sprintf("by key %v, by request %v", counts.Keys, counts.Requests)
	case "connections":
		return b.connections(rest)
	case "await-cancels":
		return b.awaitCancels(rest)
	default:
		b.t.Fatalf("unknown command %q", line)
	}
	return ""
}

func (b *bench) must(err error) {
	b.t.Helper()
	if err != nil {
		b.t.Fatal(err)
	}
}

func decoded[T any](t *testing.T, text string) T {
	t.Helper()
	var value T
	decoder := json.NewDecoder(strings.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&value); err != nil {
		t.Fatal(err)
	}
	return value
}

// generate runs "generate <from> <max>" and checks every token.
func (b *bench) generate(arguments []string) string {
	attempt := b.attempt("engine")
	attempt.Model, attempt.Version, attempt.Prompt = model, version, prompt
	attempt.StartIndex, attempt.MaxTokens = number(b.t, arguments[0]), number(b.t, arguments[1])
	next := attempt.StartIndex
	finish, err := b.dispatcher.Generate(b.t.Context(), attempt, func(event filter.Event) error {
		if token, ok := event.(filter.Token); ok {
			if token.Index != next || token.Text != emulator.EngineText(prompt, next) {
				b.t.Errorf("got %+v; want index %d, %q", token, next, emulator.EngineText(prompt, next))
			}
			next++
		}
		return nil
	})
	emitted := fmt.Sprintf("%d tokens, ", next-attempt.StartIndex)
	if err != nil {
		return emitted + describeFailure(err)
	}
	return emitted + fmt.Sprintf("{PromptTokens:%d CompletionTokens:%d Reason:%s}",
		finish.PromptTokens, finish.CompletionTokens, finish.Reason)
}

// fill opens idle connections to the engine by attempts at the same time. They
// overlap because each waits for the first token of all, and an answer is
// longer than net/http's buffer, so that its connection is not idle by then.
func (b *bench) fill(count int) {
	var all sync.WaitGroup
	all.Add(count)
	var ended sync.WaitGroup
	for range count {
		attempt := b.attempt("engine")
		attempt.Model, attempt.Version, attempt.MaxTokens = model, version, 150
		ended.Go(func() {
			begun := sync.OnceFunc(all.Done)
			defer begun() // an attempt that fails must not hold up the others
			_, err := b.dispatcher.Generate(b.t.Context(), attempt, func(filter.Event) error {
				begun()
				all.Wait()
				return nil
			})
			if err != nil {
				b.t.Error(err)
			}
		})
	}
	ended.Wait()
}

// call runs "call idempotent|once <method> <path> [<key> [<body>]]".
func (b *bench) call(arguments []string) string {
	attempt := b.attempt("service")
	attempt.Idempotent = arguments[0] == "idempotent"
	attempt.Workspace = "rescue"
	attempt.Call = filter.Call{Method: arguments[1], Path: arguments[2]}
	if len(arguments) > 3 {
		attempt.Identity = arguments[3]
	}
	if len(arguments) > 4 {
		attempt.Call.Body, attempt.Call.ContentType = []byte(arguments[4]), "text/plain"
	}
	reply, err := b.dispatcher.Call(b.t.Context(), attempt)
	if err != nil {
		return describeFailure(err)
	}
	return fmt.Sprintf("%d %s", reply.Status, reply.Body)
}

func describeFailure(err error) string {
	var failure filter.Failure
	if !errors.As(err, &failure) {
		return fmt.Sprintf("not a failure: %v", err)
	}
	cause := "other"
	for _, known := range []error{
		dispatcher.ErrSilent, dispatcher.ErrCut, dispatcher.ErrCrossed, dispatcher.ErrGap, dispatcher.ErrMalformedLine,
	} {
		if errors.Is(err, known) {
			cause = known.Error()
		}
	}
	return fmt.Sprintf("failed: %s, refused %t, gone %t, cause: %s", failure.Run, failure.Refused, failure.CallerGone, cause)
}

func number(t *testing.T, text string) int {
	t.Helper()
	value, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return value
}

// connections counts the connections that carried attempts to an endpoint.
func (b *bench) connections(name string) string {
	seen := b.engine.Seen()
	if name == "service" {
		seen = b.service.Seen()
	}
	connections := map[uint64]bool{}
	requests := 0
	for _, request := range seen {
		if request.Method != "DELETE" {
			connections[request.Connection] = true
			requests++
		}
	}
	return fmt.Sprintf("%d requests on %d connections", requests, len(connections))
}

// awaitCancels waits until the engine got a number of cancellations.
func (b *bench) awaitCancels(count string) string {
	deadline, cancel := context.WithTimeout(b.t.Context(), 5*time.Second)
	defer cancel()
	for deadline.Err() == nil {
		cancels := 0
		for _, request := range b.engine.Seen() {
			if request.Method == "DELETE" {
				cancels++
			}
		}
		if cancels >= number(b.t, count) {
			return fmt.Sprintf("%d cancellations", cancels)
		}
		time.Sleep(time.Millisecond)
	}
	return "too few cancellations"
}
