package forwarder

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
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

	"toucanhitch.example/toucanhitch/internal/balancer"
	"toucanhitch.example/toucanhitch/internal/dispatcher"
	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/resolver"
	"toucanhitch.example/toucanhitch/internal/resumer"
	"toucanhitch.example/toucanhitch/internal/screener"
	"toucanhitch.example/toucanhitch/internal/tester"
)

// TestSilence replays the scripts in testdata/silence: one request for a stream that may be
// resumed, two replicas on loopback, and a clock that only the script advances. The golden
// files hold the events that were passed on and the verdict.
//
// The file setup holds the budget and the attempts of the route. The file placements names
// the replica of each placement, or "none". The lines of script are "replica-1 accept",
// "replica-1 send <Go string>", "replica-1 gone" (the node closes the connection),
// "replica-1 open" (it does not), "replica-1 close", "passed <n>" (the caller has n events),
// "placed <n>" (n placements were asked for), and "advance <duration>". The file head-delay
// holds the time that passes between the arrival of the first head and its handling.
func TestSilence(t *testing.T) {
	paths, err := filepath.Glob("testdata/silence/*.txtar")
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
			goldie.New(t, goldie.WithFixtureDir("testdata/silence")).Assert(t, name, replaySilence(t, archive))
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
	}
	if err := json.Unmarshal(tester.File(archive, "setup"), &setup); err != nil {
		t.Fatal(err)
	}
	// Dialing compares the deadline of its context with the time of day.
	start := time.Now().Add(time.Hour)
	clock := clockwork.NewFakeClockAt(start)
	replicas, placer := map[string]*silentReplica{}, &listedPlacer{order: strings.Fields(string(tester.File(archive, "placements")))}
	for i, name := range []string{"replica-1", "replica-2"} {
		replicas[name] = listenAsReplica(t)
		placer.replicas = append(placer.replicas, balancer.Placement{
			ID: 0, Replica: name, Address: replicas[name].listener.Addr().String(), StartedMS: int64(i), Candidates: 2,
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
			replicas["replica-1"].awaitClose()
		}
	}
	pool, closePool := NewPool(&net.Dialer{}, clock, 1<<20)
	defer closePool()
	dispatch := &Dispatch{
		Pool: pool, Codec: codec, Placer: placer, Screen: quietScreen{}, Streams: quietStreams{}, View: oldView{}, Clock: clock,
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
		case "passed":
			await(t, line, func() bool { return writer.count() >= count })
		case "placed":
			await(t, line, func() bool { return int(placer.asked.Load()) >= count })
		default:
			replicas[subject].run(t, argument)
		}
	}
	select {
	case verdict := <-verdicts:
		return []byte(fmt.Sprintf("%s%s", writer.text(), describeVerdict(verdict)))
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

func describeVerdict(verdict filter.Verdict) string {
	if refuse, ok := verdict.(filter.Refuse); ok {
		return fmt.Sprintf("refused: %s, %s, %s\n", refuse.Refusal.Reason, refuse.Refusal.Run, refuse.Refusal.Detail)
	}
	return "answered\n"
}

// silentReplica is a replica that the script drives.
type silentReplica struct {
	listener net.Listener
	conn     net.Conn
	closed   chan struct{}
}

func listenAsReplica(t *testing.T) *silentReplica {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return &silentReplica{listener: listener, closed: make(chan struct{})}
}

func (r *silentReplica) run(t *testing.T, step string) {
	t.Helper()
	verb, argument, _ := strings.Cut(step, " ")
	switch verb {
	case "accept":
		_ = r.listener.(*net.TCPListener).SetDeadline(time.Now().Add(stepTimeout))
		conn, err := r.listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		_ = conn.SetDeadline(time.Now().Add(2 * stepTimeout))
		reader := bufio.NewReader(conn)
		if _, err := reader.ReadString('\n'); err != nil {
			t.Fatal(err)
		}
		r.conn = conn
		go func() {
			_, _ = io.Copy(io.Discard, reader)
			close(r.closed)
		}()
	case "send":
		text, err := strconv.Unquote(argument)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(r.conn, text)
	case "open":
		select {
		case <-r.closed:
			t.Error("the node has closed the connection to the replica")
		case <-time.After(openTime):
		}
	case "gone":
		if !r.awaitClose() {
			t.Error("the connection to the replica is still open")
		}
	case "close":
		r.conn.Close()
	default:
		t.Fatalf("unknown step %q", step)
	}
}

// awaitClose waits until the node has closed the connection, and reports whether it has.
func (r *silentReplica) awaitClose() bool {
	select {
	case <-r.closed:
		return true
	case <-time.After(stepTimeout):
		return false
	}
}

// delayingCodec sends one line for a request and reads answers of HTTP. It calls delay after
// the first head.
type delayingCodec struct{ delay func() }

func (c *delayingCodec) EncodeHead(Attempt) []byte { return []byte("request\n") }

func (c *delayingCodec) Decode(reader *bufio.Reader, _ string) (ResponseHead, error) {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return ResponseHead{}, err
	}
	if c.delay != nil {
		c.delay()
		c.delay = nil
	}
	return ResponseHead{
		Attempt: "a1", Status: response.StatusCode, Header: response.Header, Body: response.Body, ContentLength: -1, Authentic: true, Stream: true,
	}, nil
}

// listedPlacer places requests on the replicas in order. The replica "none" stands for a
// refusal, and so does the end of the list.
type listedPlacer struct {
	replicas []balancer.Placement
	order    []string
	asked    atomic.Int64
}

func (p *listedPlacer) Place(context.Context, balancer.Need) (balancer.Placement, error) {
	defer p.asked.Add(1)
	if asked := int(p.asked.Load()); asked < len(p.order) {
		for _, placement := range p.replicas {
			if placement.Replica == p.order[asked] {
				return placement, nil
			}
		}
	}
	return balancer.Placement{Refused: &balancer.Refusal{Reason: "no replica"}}, nil
}

func (p *listedPlacer) Post(balancer.Message) error { return nil }

type quietScreen struct{ permissiveScreen }

func (quietScreen) IsSuspect(screener.Subject) bool                           { return false }
func (quietScreen) RecordBreak(screener.AttemptBroke)                         {}
func (quietScreen) RecordBegun(screener.Subject, screener.Process, time.Time) {}

type quietStreams struct{ Streams }

func (quietStreams) RecordBegun(resumer.StreamBegun) {}

// recordingWriter is a caller that keeps what it receives.
type recordingWriter struct {
	mutex  sync.Mutex
	begun  bool
	events []string
}

func (w *recordingWriter) Begin(int, http.Header) error {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.begun = true
	return nil
}

func (w *recordingWriter) Write(part []byte) error {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.events = append(w.events, string(bytes.TrimSpace(part)))
	return nil
}

func (w *recordingWriter) count() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return len(w.events)
}

func (w *recordingWriter) text() string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return fmt.Sprintf("begun: %v\nevents: %q\n", w.begun, w.events)
}
