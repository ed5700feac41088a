package forwarder

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"toucanhitch.example/toucanhitch/internal/balancer"
	"toucanhitch.example/toucanhitch/internal/resumer"
	"toucanhitch.example/toucanhitch/internal/runner"
	"toucanhitch.example/toucanhitch/internal/screener"
)

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

// delayingCodec sends one line for a request and reads answers of HTTP: streams, and refusals with
// status 503. It calls delay after the first head.
type delayingCodec struct {
	delay func()
	// reading is set once the body of an answer is read, and with it the timer of its events.
	reading atomic.Bool
}

// startedBody records that it is read.
type startedBody struct {
	io.ReadCloser
	reading *atomic.Bool
}

func (b startedBody) Read(buffer []byte) (int, error) {
	b.reading.Store(true)
	return b.ReadCloser.Read(buffer)
}

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
		Attempt: "a1", Status: response.StatusCode, Header: response.Header, ContentLength: -1,
		Authentic: true, Stream: response.StatusCode == http.StatusOK, NotRun: response.StatusCode == http.StatusServiceUnavailable,
		Body: startedBody{response.Body, &c.reading},
	}, nil
}

// listedPlacer places requests on the replicas in order. The replica "none" stands for a
// refusal, and so does the end of the list. At "wait", the request waits until it is withdrawn.
type listedPlacer struct {
	replicas []balancer.Placement
	order    []string
	asked    atomic.Int64
	// waiting counts the requests that have begun to wait.
	waiting atomic.Int64

	mutex sync.Mutex
	// ended holds the results of the placements by their numbers.
	ended map[runner.Call]balancer.Result
}

func (p *listedPlacer) Place(ctx context.Context, _ balancer.Need) (balancer.Placement, error) {
	defer p.asked.Add(1)
	if asked := int(p.asked.Load()); asked < len(p.order) {
		if p.order[asked] == "wait" {
			p.waiting.Add(1)
			<-ctx.Done()
			return balancer.Placement{}, ctx.Err()
		}
		for _, placement := range p.replicas {
			if placement.Replica == p.order[asked] {
				placement.ID = runner.Call(asked + 1)
				return placement, nil
			}
		}
	}
	return balancer.Placement{Refused: &balancer.Refusal{Reason: "no replica"}}, nil
}

func (p *listedPlacer) Post(message balancer.Message) error {
	if ended, ok := message.(balancer.AttemptEnded); ok {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		p.ended[ended.PlacementID] = ended.Result
	}
	return nil
}

func (p *listedPlacer) text() string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return fmt.Sprintf("placements: %v\n", p.ended)
}

type quietScreen struct {
	permissiveScreen
	suspect bool
}

func (s quietScreen) IsSuspect(screener.Subject) bool                         { return s.suspect }
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

// relayedConnector opens connections that count as relayed, of which the ways to the replicas are
// not watched, so that the clock has the timers of the silence only.
type relayedConnector struct{ net.Dialer }

func (c *relayedConnector) Connect(ctx context.Context, _, address string) (net.Conn, bool, error) {
	conn, err := c.DialContext(ctx, "tcp", address)
	return conn, true, err
}

func (*relayedConnector) Relayed(string) bool     { return true }
func (*relayedConnector) Partitioned() bool       { return false }
func (*relayedConnector) RecordRead()             {}
func (*relayedConnector) QuietFor() time.Duration { return 0 }
func (*relayedConnector) RecordSilence(string)    {}

// keptConnector opens direct connections that are open while the node is partitioned.
type keptConnector struct{ relayedConnector }

func (c *keptConnector) Connect(ctx context.Context, replica, address string) (net.Conn, bool, error) {
	conn, _, err := c.relayedConnector.Connect(ctx, replica, address)
	return conn, false, err
}

func (*keptConnector) Relayed(string) bool     { return false }
func (*keptConnector) Partitioned() bool       { return true }
func (*keptConnector) QuietFor() time.Duration { return time.Hour }
