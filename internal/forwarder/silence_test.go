package forwarder

import (
	"context"
	"encoding/json"
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sebdah/goldie/v2"
	"golang.org/x/tools/txtar"

	"toucanhitch.example/toucanhitch/internal/balancer"
	"toucanhitch.example/toucanhitch/internal/dispatcher"
	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/resolver"
	"toucanhitch.example/toucanhitch/internal/runner"
	"toucanhitch.example/toucanhitch/internal/tester"
)

// TestSilence replays the scripts in testdata/silence: one request for a stream that may be
// resumed, two replicas on loopback, and a clock that only the script advances. The golden
// files hold the events that were passed on, the results of the placements and the verdict.
//
// The file setup holds the budget, the attempts of the route, and whether the request is
// suspect or the node partitioned. The file placements names the replica of each placement, or "none". The lines of
// script are "replica-1 accept", "replica-1 send <Go string>", "replica-1 gone" (the node
// closes the connection), "replica-1 open" (it does not), "headed" (events are awaited),
// "passed <n>" (the caller has n events), "placed <n>" (n placements were asked for, the last
// in vain), "waiting <n>" (n placements have begun to wait), and "advance <duration>". The file
// head-delay holds the time that passes between the arrival of the first head and its handling.
func TestSilence(t *testing.T) { replaySilences(t, "testdata/silence") }

// TestRefusedSuccessorKeepsStream replays scripts of the same kind. It guards against a stream
// that is broken off because the replica that was reserved for its rest refuses it, although its
// own replica goes on.
func TestRefusedSuccessorKeepsStream(t *testing.T) { replaySilences(t, "testdata/silence_refused") }

// TestSuccessorIsAnotherReplica replays scripts in which the placement for the rest of a
// silent stream is the silent replica. It guards against a stream that is given up, and then
// broken off, in favour of the replica that it is at.
func TestSuccessorIsAnotherReplica(t *testing.T) { replaySilences(t, "testdata/successor") }

func replaySilences(t *testing.T, dir string) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.txtar"))
	if err != nil || len(paths) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, path := range paths {
		name := strings.TrimSuffix(filepath.Base(path), ".txtar")
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			archive, err := txtar.ParseFile(path)
			if err != nil {
				t.Fatal(err)
			}
			goldie.New(t, goldie.WithFixtureDir(dir)).Assert(t, name, replaySilence(t, archive))
		})
	}
}

// stepTimeout bounds the wait for what a line of a script expects, and openTime is how long
// a connection must stay open.
const (
	stepTimeout = 3 * time.Second
	openTime    = 50 * time.Millisecond
)

func replaySilence(t *testing.T, archive *txtar.Archive) []byte {
	var setup struct {
		Budget   float64
		Attempts int
		// Suspect is set if replicas may crash on the request.
		Suspect bool
		// Partitioned is set if the connections are direct ones that are open while the node
		// is partitioned.
		Partitioned bool
	}
	if err := json.Unmarshal(tester.File(archive, "setup"), &setup); err != nil {
		t.Fatal(err)
	}
	// Dialing compares the deadline of its context with the time of day.
	start := time.Now().Add(time.Hour)
	clock := clockwork.NewFakeClockAt(start)
	replicas, placer := map[string]*silentReplica{}, &listedPlacer{
		order: strings.Fields(string(tester.File(archive, "placements"))), ended: map[runner.Call]balancer.Result{},
	}
	for i, name := range []string{"replica-1", "replica-2"} {
		replicas[name] = listenAsReplica(t)
		placer.replicas = append(placer.replicas, balancer.Placement{
			Replica: name, Address: replicas[name].listener.Addr().String(), StartedMS: int64(i), Candidates: 2,
		})
	}
	codec := &delayingCodec{}
	if delay := tester.File(archive, "head-delay"); delay != nil {
		duration, err := time.ParseDuration(strings.TrimSpace(string(delay)))
		if err != nil {
			t.Fatal(err)
		}
		codec.delay = func() {
			clock.Advance(duration)
			time.Sleep(openTime) // the timer runs in a goroutine of its own
		}
	}
	var connector Connector = &relayedConnector{}
	if setup.Partitioned {
		connector = &keptConnector{}
	}
	pool, closePool := NewPool(connector, clock, 1<<20)
	defer closePool()
	dispatch := &Dispatch{
		Pool: pool, Codec: codec, Placer: placer, Screen: quietScreen{suspect: setup.Suspect}, Streams: quietStreams{}, View: oldView{}, Clock: clock,
		Budgets:   &Budgets{Clock: clock, Settings: dispatcher.BudgetSettings{MaxBalance: setup.Budget, InitialBalance: setup.Budget}},
		Durations: &Durations{Clock: clock}, Log: func(Event) {}, Observe: func(Wait) {},
	}
	writer := &recordingWriter{}
	request := &filter.Request{Arrived: start, Deadline: start.Add(10 * time.Second), Work: &filter.Forward{
		Attempt: "a1", Writer: writer, Service: "s",
		Route: resolver.Route{Public: true, Kind: resolver.Streaming, Resumable: true, MaxAttempts: setup.Attempts, Objective: 500 * time.Millisecond},
	}}
	verdicts := make(chan filter.Verdict, 1)
	go func() { verdicts <- dispatch.Filter(t.Context(), request) }()
	for line := range strings.Lines(string(tester.File(archive, "script"))) {
		subject, argument, _ := strings.Cut(strings.TrimSpace(line), " ")
		count, _ := strconv.Atoi(argument)
		switch subject {
		case "advance":
			duration, err := time.ParseDuration(argument)
			if err != nil {
				t.Fatal(err)
			}
			clock.Advance(duration)
		case "headed":
			await(t, line, codec.reading.Load)
		case "passed":
			await(t, line, func() bool { return writer.count() >= count })
			awaitTimer(t, clock)
		case "waiting":
			await(t, line, func() bool { return int(placer.waiting.Load()) >= count })
		case "placed":
			await(t, line, func() bool { return int(placer.asked.Load()) >= count })
			awaitTimer(t, clock)
		default:
			replicas[subject].run(t, argument)
		}
	}
	select {
	case verdict := <-verdicts:
		return []byte(writer.text() + placer.text() + describeVerdict(verdict))
	case <-time.After(stepTimeout):
		t.Fatal("the request does not end")
		return nil
	}
}

func await(t *testing.T, line string, reached func() bool) {
	t.Helper()
	for deadline := time.Now().Add(stepTimeout); !reached(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not reached: %s", line)
		}
	}
}

// awaitTimer waits until the timer of the next event runs.
func awaitTimer(t *testing.T, clock *clockwork.FakeClock) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), stepTimeout)
	defer cancel()
	if err := clock.BlockUntilContext(ctx, 1); err != nil {
		t.Fatal(err)
	}
}

func describeVerdict(verdict filter.Verdict) string {
	if refuse, ok := verdict.(filter.Refuse); ok {
		return fmt.Sprintf("refused: %s, %s, %s\n", refuse.Refusal.Reason, refuse.Refusal.Run, refuse.Refusal.Detail)
	}
	return "answered\n"
}
