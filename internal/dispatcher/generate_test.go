package dispatcher_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/dispatcher"
	"toucanhitch.example/toucanhitch/internal/emulator"
	"toucanhitch.example/toucanhitch/internal/filter"
)

// Guards against a read timeout that includes the time of a slow caller.
func TestSlowCallerIsNotATimeout(t *testing.T) {
	f := newFixture(t, emulator.EngineSettings{Interval: time.Millisecond})
	attempt := f.attempt("engine")
	attempt.Model, attempt.Version, attempt.MaxTokens = model, version, 3
	_, err := f.dispatcher.Generate(t.Context(), attempt, func(filter.Event) error {
		time.Sleep(2 * shortTimeout)
		return nil
	})
	if err != nil {
		t.Errorf("slow caller: %v", err)
	}
}

// Guards against an attempt that continues at the endpoint after its caller has
// disconnected, and against counting that as a failure of the endpoint.
func TestCallerDisconnectCancelsAttempt(t *testing.T) {
	f := newFixture(t, emulator.EngineSettings{Interval: time.Millisecond})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for _, leave := range []func() error{
		func() error { return errors.New("broken pipe") },
		func() error { cancel(); return nil },
	} {
		attempt := f.attempt("engine")
		attempt.Model, attempt.Version, attempt.MaxTokens = model, version, 1_000_000
		_, err := f.dispatcher.Generate(ctx, attempt, func(filter.Event) error { return leave() })
		var failure filter.Failure
		if !errors.As(err, &failure) || !failure.CallerGone || failure.Run != filter.Ran {
			t.Errorf("got %v; want a failure of an attempt that ran, with CallerGone set", err)
		}
	}
	if got := f.awaitCancels("2"); got != "2 cancellations" {
		t.Error(got)
	}
}

// fixedEngine responds with a prepared body, so that the benchmark measures the
// dispatcher alone.
type fixedEngine struct{ body []byte }

func newFixedEngine(tokens int) fixedEngine {
	var body bytes.Buffer
	for index := range tokens {
		fmt.Fprintf(&body, `{"Attempt":"fixed","Index":%d,"Text":" harbour"}`+"\n", index)
	}
	fmt.Fprintf(&body, `{"Attempt":"fixed","Done":true,"PromptTokens":1,"CompletionTokens":%d,"FinishReason":"length"}`+"\n", tokens)
	return fixedEngine{body.Bytes()}
}

func (e fixedEngine) ServeHTTP(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(e.body) }

func (fixedEngine) Died() <-chan struct{} { return nil }

func BenchmarkGenerate(b *testing.B) {
	const tokens = 10_000
	server, closeServer, err := emulator.ServeEndpoint("127.0.0.1:0", newFixedEngine(tokens))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(closeServer)
	instance, stop := dispatcher.New(dispatcher.Settings{Clock: clockwork.NewRealClock()})
	b.Cleanup(stop)
	attempt := filter.Attempt{ID: "fixed", MaxTokens: tokens, Slot: filter.Slot{Address: server.Address}}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := instance.Generate(b.Context(), attempt, func(filter.Event) error { return nil }); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(tokens)*float64(b.N)/b.Elapsed().Seconds(), "tokens/s")
}
