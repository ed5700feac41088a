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
	"sync/atomic"
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
	// shortTimeout replaces the default timeouts of seconds so that the scripts
	// run fast. Engines respond within a millisecond here.
	shortTimeout = 150 * time.Millisecond
	prompt       = "wind at Hel"
	model        = "gusts"
	version      = "2"
	// fillTimeout replaces shorter timeouts while idle connections are opened.
	fillTimeout = 10 * time.Second
)

// fillClock is a clock that can extend the timeouts of attempts. An attempt that
// only opens an idle connection must not time out because the test process got
// no CPU for shortTimeout: the dispatcher would replace the connections, and the
// next attempt would use a new one instead of an idle one.
type fillClock struct {
	clockwork.Clock
	extended atomic.Bool
}

func (c *fillClock) timeout(d time.Duration) time.Duration {
	if c.extended.Load() {
		return max(d, fillTimeout)
	}
	return d
}

// AfterFunc implements clockwork.Clock.
func (c *fillClock) AfterFunc(d time.Duration, f func()) clockwork.Timer {
	return fillTimer{Timer: c.Clock.AfterFunc(c.timeout(d), f), clock: c}
}

type fillTimer struct {
	clockwork.Timer
	clock *fillClock
}

// Reset implements clockwork.Timer.
func (t fillTimer) Reset(d time.Duration) bool { return t.Timer.Reset(t.clock.timeout(d)) }

// fixture is a dispatcher with an emulated engine and an emulated service on
// loopback.
type fixture struct {
	t          *testing.T
	clock      *fillClock
	dispatcher *dispatcher.Dispatcher
	engine     *emulator.Engine
	service    *emulator.Service
	addresses  map[string]string
	servers    map[string]*emulator.EndpointServer
	closers    map[string]func()
	attempts   int
}

func newFixture(t *testing.T, settings emulator.EngineSettings) *fixture {
	t.Helper()
	clock := &fillClock{Clock: clockwork.NewRealClock()}
	settings.Loaded = []emulator.EngineCheckpoint{{Model: model + "@" + version}}
	engine, stopEngine, err := emulator.NewEngine(settings, clock.Clock)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stopEngine)
	service, stopService, err := emulator.NewService(emulator.ServiceSettings{}, clock.Clock)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stopService)
	instance, stopDispatcher := dispatcher.New(dispatcher.Settings{
		Clock: clock, FirstByteTimeout: shortTimeout, NonIdempotentFirstByteTimeout: shortTimeout, ReadTimeout: shortTimeout, DialTimeout: shortTimeout,
	})
	t.Cleanup(stopDispatcher)
	f := &fixture{
		t: t, clock: clock, dispatcher: instance, engine: engine, service: service,
		addresses: map[string]string{}, servers: map[string]*emulator.EndpointServer{}, closers: map[string]func(){},
	}
	f.serve("engine", engine)
	f.serve("service", service)
	return f
}

func (f *fixture) serve(name string, handler emulator.EndpointHandler) {
	f.t.Helper()
	server, closeServer, err := emulator.ServeEndpoint("127.0.0.1:0", handler)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(closeServer)
	f.addresses[name], f.servers[name], f.closers[name] = server.Address, server, closeServer
}

func (f *fixture) attempt(name string) filter.Attempt {
	f.attempts++
	return filter.Attempt{
		ID:   fmt.Sprintf("attempt-%d", f.attempts),
		Slot: filter.Slot{ID: 1, Endpoint: name, Address: f.addresses[name]},
	}
}

// Guards against wrong or missing tokens, a wrong report on whether an attempt
// ran, repeated calls, and connections that stay in use after they have stopped
// responding. Each script injects one kind of fault, twice in a row.
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
	f := newFixture(t, emulator.EngineSettings{Interval: time.Millisecond})
	var trace bytes.Buffer
	for line := range strings.Lines(string(tester.File(archive, "script"))) {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		fmt.Fprintf(&trace, "%s\n", line)
		if outcome := f.do(line); outcome != "" {
			fmt.Fprintf(&trace, "    -> %s\n", outcome)
		}
	}
	return trace.Bytes()
}

// do runs one line of a script and describes the outcome.
func (f *fixture) do(line string) string {
	command, rest, _ := strings.Cut(line, " ")
	switch command {
	case "engine-faults":
		f.mustSucceed(f.engine.SetFaults(f.t.Context(), mustDecode[emulator.EngineFaults](f.t, rest)))
	case "service-faults":
		f.mustSucceed(f.service.SetFaults(f.t.Context(), mustDecode[emulator.ServiceFaults](f.t, rest)))
	case "close":
		f.closers[rest]()
	case "silence":
		f.servers[rest].SilenceOpen()
	case "fill":
		f.fillIdleConnections(mustInt(f.t, rest))
	case "generate":
		return f.generate(strings.Fields(rest))
	case "call":
		return f.call(strings.Fields(rest))
	case "executions":
		counts, err := f.service.Executions(f.t.Context())
		f.mustSucceed(err)
		return fmt.Sprintf("by key %v, by request %v", counts.Keys, counts.Requests)
	case "connections":
		return f.connections(rest)
	case "await-cancels":
		return f.awaitCancels(rest)
	default:
		f.t.Fatalf("unknown command %q", line)
	}
	return ""
}

func (f *fixture) mustSucceed(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

func mustDecode[T any](t *testing.T, text string) T {
	t.Helper()
	var value T
	decoder := json.NewDecoder(strings.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&value); err != nil {
		t.Fatal(err)
	}
	return value
}

// generate runs the command "generate <from> <max>" and checks every token.
func (f *fixture) generate(arguments []string) string {
	attempt := f.attempt("engine")
	attempt.Model, attempt.Version, attempt.Prompt = model, version, prompt
	attempt.StartIndex, attempt.MaxTokens = mustInt(f.t, arguments[0]), mustInt(f.t, arguments[1])
	next := attempt.StartIndex
	finish, err := f.dispatcher.Generate(f.t.Context(), attempt, func(event filter.Event) error {
		if token, ok := event.(filter.Token); ok {
			if token.Index != next || token.Text != emulator.EngineText(prompt, next) {
				f.t.Errorf("got %+v; want index %d, %q", token, next, emulator.EngineText(prompt, next))
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

// fillIdleConnections opens idle connections to the engine by concurrent
// attempts. They overlap because each waits until all have their first token,
// and a response is longer than the buffer of net/http, so that its connection
// is not idle before that. The timeouts of these attempts are extended.
func (f *fixture) fillIdleConnections(count int) {
	f.clock.extended.Store(true)
	defer f.clock.extended.Store(false)
	var firstTokens sync.WaitGroup
	firstTokens.Add(count)
	var attempts sync.WaitGroup
	for range count {
		attempt := f.attempt("engine")
		attempt.Model, attempt.Version, attempt.MaxTokens = model, version, 150
		attempts.Go(func() {
			reportFirstToken := sync.OnceFunc(firstTokens.Done)
			defer reportFirstToken() // an attempt that fails must not block the others
			_, err := f.dispatcher.Generate(f.t.Context(), attempt, func(filter.Event) error {
				reportFirstToken()
				firstTokens.Wait()
				return nil
			})
			if err != nil {
				f.t.Error(err)
			}
		})
	}
	attempts.Wait()
}

// call runs the command "call idempotent|once <method> <path> [<key> [<body>]]".
func (f *fixture) call(arguments []string) string {
	attempt := f.attempt("service")
	attempt.Idempotent = arguments[0] == "idempotent"
	attempt.Workspace = "rescue"
	attempt.Call = filter.Call{Method: arguments[1], Path: arguments[2]}
	if len(arguments) > 3 {
		attempt.Identity = arguments[3]
	}
	if len(arguments) > 4 {
		attempt.Call.Body, attempt.Call.ContentType = []byte(arguments[4]), "text/plain"
	}
	reply, err := f.dispatcher.Call(f.t.Context(), attempt)
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
		dispatcher.ErrReadTimeout, dispatcher.ErrTruncated, dispatcher.ErrWrongAttempt, dispatcher.ErrTokenSequence, dispatcher.ErrMalformedLine,
	} {
		if errors.Is(err, known) {
			cause = known.Error()
		}
	}
	return fmt.Sprintf("failed: %s, refused %t, gone %t, cause: %s", failure.Run, failure.Refused, failure.CallerGone, cause)
}

func mustInt(t *testing.T, text string) int {
	t.Helper()
	value, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return value
}

// connections counts the connections that carried attempts to an endpoint.
func (f *fixture) connections(name string) string {
	seen := f.engine.ReceivedRequests()
	if name == "service" {
		seen = f.service.ReceivedRequests()
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

// awaitCancels waits until the engine has received count cancellations.
func (f *fixture) awaitCancels(count string) string {
	deadline, cancel := context.WithTimeout(f.t.Context(), 5*time.Second)
	defer cancel()
	for deadline.Err() == nil {
		cancels := 0
		for _, request := range f.engine.ReceivedRequests() {
			if request.Method == "DELETE" {
				cancels++
			}
		}
		if cancels >= mustInt(f.t, count) {
			return fmt.Sprintf("%d cancellations", cancels)
		}
		time.Sleep(time.Millisecond)
	}
	return "too few cancellations"
}
