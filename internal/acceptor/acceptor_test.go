package acceptor

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// serve serves a handler behind an acceptor and returns the acceptor and the address.
func serve(t *testing.T, settings Settings, handler http.Handler) (*Acceptor, string) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	settings.Clock = clockwork.NewRealClock()
	if settings.Count == nil {
		settings.Count = func(Reason) {}
	}
	settings.Log = func(Note) {}
	a := New(settings)
	go func() { _ = a.Run(ctx) }()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	a.Attach(server)
	go func() { _ = server.Serve(a.Listen(inner, 1)) }()
	t.Cleanup(func() { server.Close() })
	return a, inner.Addr().String()
}

func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn, bufio.NewReader(conn)
}

// exchange sends a request and returns the status of the answer.
func exchange(t *testing.T, conn net.Conn, reader *bufio.Reader, request string) int {
	t.Helper()
	if _, err := io.WriteString(conn, request); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	response.Body.Close()
	return response.StatusCode
}

// awaitClosed waits until the acceptor knows no connection any more.
func awaitClosed(t *testing.T, a *Acceptor) {
	t.Helper()
	for deadline := time.Now().Add(time.Minute); a.Connections() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d closed connections are still known", a.Connections())
		}
	}
}

const get = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

var readBody = http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })

// TestIdleConnectionsAreClosed guards against callers that leave connections open until the
// node has no descriptors left, against a connection that is closed while its caller may
// still use it, and against a changed limit that is not in force.
func TestIdleConnectionsAreClosed(t *testing.T) {
	const limit, step = 400 * time.Millisecond, 200 * time.Millisecond
	var current atomic.Int64
	current.Store(int64(time.Hour))
	limits := func() Limits { return Limits{IdleTimeout: time.Duration(current.Load())} }
	a, address := serve(t, Settings{Limits: limits}, readBody)
	conn, reader := dial(t, address)
	for range 3 {
		exchange(t, conn, reader, get)
		time.Sleep(step)
		current.Store(int64(limit))
	}
	_ = conn.SetReadDeadline(time.Now().Add(10 * limit))
	if _, err := reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("after the limit: %v, want the end of the connection", err)
	}
	awaitClosed(t, a)
}

// TestExpiredConnectionTakesNoRequest guards against a request that arrives while its idle
// connection is being closed, is run, and gets neither an answer nor a refusal.
func TestExpiredConnectionTakesNoRequest(t *testing.T) {
	expired, sent, started := make(chan struct{}), make(chan struct{}), make(chan struct{}, 2)
	handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		if r.URL.Path == "/late" {
			<-r.Context().Done()
		}
	})
	_, address := serve(t, Settings{
		Limits: func() Limits { return Limits{IdleTimeout: 100 * time.Millisecond} },
		Count: func(reason Reason) {
			if reason == Idle {
				close(expired)
				<-sent
				time.Sleep(100 * time.Millisecond) // for a request that is taken to start
			}
		},
	}, handler)
	conn, reader := dial(t, address)
	exchange(t, conn, reader, get)
	<-started
	<-expired
	_, _ = io.WriteString(conn, "GET /late HTTP/1.1\r\nHost: h\r\n\r\n")
	close(sent)
	_ = conn.SetReadDeadline(time.Now().Add(time.Minute))
	if response, err := http.ReadResponse(reader, nil); err == nil && response.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("status %d, want 503 or a closed connection", response.StatusCode)
	}
	select {
	case <-started:
		t.Error("the request was run")
	default:
	}
}

// TestRaisedIdleLimitHolds guards against a connection that is closed by the limit of an
// earlier configuration while its caller may use it by that of the present one.
func TestRaisedIdleLimitHolds(t *testing.T) {
	const limit = 200 * time.Millisecond
	var current atomic.Int64
	current.Store(int64(limit))
	_, address := serve(t, Settings{Limits: func() Limits { return Limits{IdleTimeout: time.Duration(current.Load())} }}, readBody)
	conn, reader := dial(t, address)
	exchange(t, conn, reader, get)
	current.Store(int64(time.Hour))
	time.Sleep(2 * limit)
	if status := exchange(t, conn, reader, get); status != http.StatusOK {
		t.Errorf("status %d, want 200", status)
	}
}

// TestHeadsReturnTheirMemory guards against memory of the budget that is lost with each
// request, until no head gets any, and against a limit on a head that a body before it on
// the same connection brings nearer.
func TestHeadsReturnTheirMemory(t *testing.T) {
	const limit = 16 << 10
	a, address := serve(t, Settings{Limits: func() Limits { return Limits{HeaderBytes: limit} }}, readBody)
	body := strings.Repeat("\n", 3000)
	start := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3000\r\n"
	request := start + strings.Repeat("a:\n", (limit-len(start))/3-1) + "\r\n" + body
	conn, reader := dial(t, address)
	for range 50 {
		if status := exchange(t, conn, reader, request); status != http.StatusOK {
			t.Fatalf("status %d, want 200", status)
		}
	}
	abandoned, _ := dial(t, address)
	if _, err := io.WriteString(abandoned, request[:limit/2]); err != nil {
		t.Fatal(err)
	}
	abandoned.Close()
	conn.Close()
	awaitClosed(t, a)
	if held, large := a.budget.held.Load(), a.budget.large.Load(); held != 0 || large != 0 {
		t.Errorf("%d and %d bytes are still held", held, large)
	}
}

// TestLongHeadIsRefused guards against heads above the limit of the configuration, and
// against a status that callers retry.
func TestLongHeadIsRefused(t *testing.T) {
	_, address := serve(t, Settings{Limits: func() Limits { return Limits{HeaderBytes: 2 << 10} }}, readBody)
	conn, reader := dial(t, address)
	if status := exchange(t, conn, reader, "GET / HTTP/1.1\r\nHost: h\r\nA: "+strings.Repeat("a", 4<<10)); status != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("status %d, want 431", status)
	}
}

// TestSlowHeadIsClosed guards against heads that keep a connection open by a byte from time
// to time, also on a connection that was used before.
func TestSlowHeadIsClosed(t *testing.T) {
	_, address := serve(t, Settings{Limits: func() Limits { return Limits{HeaderTimeout: 200 * time.Millisecond} }}, readBody)
	conn, reader := dial(t, address)
	exchange(t, conn, reader, get)
	_ = conn.SetDeadline(time.Now().Add(time.Minute))
	for range 600 {
		if _, err := io.WriteString(conn, "G"); err != nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Error("the connection is still open")
}

// TestWholeRequestsStay guards against a whole request in progress whose connection is
// closed for another, and against a node that is full and does not report it.
func TestWholeRequestsStay(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		started <- struct{}{}
		<-release
	})
	a, address := serve(t, Settings{Limits: func() Limits { return Limits{} }, Descriptors: 1}, handler)
	var readers []*bufio.Reader
	for range minConnections {
		conn, reader := dial(t, address)
		if _, err := io.WriteString(conn, get); err != nil {
			t.Fatal(err)
		}
		readers = append(readers, reader)
		<-started
	}
	for deadline := time.Now().Add(time.Minute); !a.Full() && time.Now().Before(deadline); {
		conn, reader := dial(t, address)
		response, err := http.ReadResponse(reader, nil)
		if err == nil && response.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("status %d, want 503", response.StatusCode)
		}
		conn.Close()
	}
	if !a.Full() {
		t.Error("the node does not say that it is full")
	}
	close(release)
	for i, reader := range readers {
		response, err := http.ReadResponse(reader, nil)
		if err != nil || response.StatusCode != http.StatusOK {
			t.Errorf("request %d: %v, %v", i, response, err)
		}
	}
}

// TestStalledBodiesMakeRoom guards against bodies that stop before their end and hold the
// memory of all others, and against a whole request that is closed for its memory.
func TestStalledBodiesMakeRoom(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.CopyN(io.Discard, r.Body, 1)
		started <- struct{}{}
		_, _ = io.Copy(io.Discard, r.Body)
		<-release
	})
	a, address := serve(t, Settings{Limits: func() Limits { return Limits{} }}, handler)
	whole, wholeReader := dial(t, address)
	stalled, stalledReader := dial(t, address)
	for _, conn := range []net.Conn{whole, stalled} {
		if _, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nab"); err != nil {
			t.Fatal(err)
		}
		<-started
	}
	if _, err := io.WriteString(whole, "cdefghij"); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(time.Minute); ; time.Sleep(time.Millisecond) {
		inProgress := 0
		for _, connection := range a.describe(nil) {
			if connection.Whole {
				inProgress++
			}
		}
		if inProgress == 1 {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("no whole request is in progress")
		}
	}
	a.FreeBodies(1 << 20)
	_ = stalled.SetReadDeadline(time.Now().Add(time.Minute))
	if _, err := stalledReader.ReadByte(); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the stalled request: %v, want a closed connection", err)
	}
	close(release)
	if response, err := http.ReadResponse(wholeReader, nil); err != nil || response.StatusCode != http.StatusOK {
		t.Errorf("the whole request: %v, %v", response, err)
	}
}

// TestEvictedConnectionRunsNoRequest guards against a request whose connection is closed for
// others after its head was handled and before its body is read, although all of it has
// arrived: it enters the filter chain, may be run, and gets neither an answer nor a refusal.
func TestEvictedConnectionRunsNoRequest(t *testing.T) {
	started, evicted, read := make(chan struct{}), make(chan struct{}), make(chan error, 1)
	handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-evicted
		_, err := io.Copy(io.Discard, r.Body)
		read <- err
	})
	a, address := serve(t, Settings{Limits: func() Limits { return Limits{} }}, handler)
	conn, _ := dial(t, address)
	if _, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabcdefghij"); err != nil {
		t.Fatal(err)
	}
	<-started
	a.FreeBodies(1 << 20)
	awaitClosed(t, a)
	close(evicted)
	if err := <-read; err == nil {
		t.Error("the body of a request whose connection is closed was read, so that it may be run")
	}
}

// FuzzHead compares the end of a head, read in parts of any size, with the position of the
// first empty line after another.
func FuzzHead(f *testing.F) {
	for _, seed := range []string{get, "\r\n\r\n" + get + "rest", "a\n\nb", "\n\n\n", "a:\r\n \r\n\r\n", "a\r\r\n\r\n"} {
		f.Add([]byte(seed), uint8(1))
		f.Add([]byte(seed), uint8(7))
	}
	f.Fuzz(func(t *testing.T, data []byte, part uint8) {
		want, begun := -1, false
		position := 0
		for line := range bytes.Lines(data) {
			position += len(line)
			empty := len(bytes.TrimRight(line, "\r\n")) == 0
			if bytes.HasSuffix(line, []byte("\n")) && empty && begun {
				want = position
				break
			}
			begun = begun || !empty
		}
		got := -1
		h := head{}
		for at, size := 0, max(1, int(part)); at < len(data) && got < 0; at += size {
			if n, ended := h.add(data[at:min(len(data), at+size)]); ended {
				got = at + n
			}
		}
		if got != want {
			t.Errorf("the head of %q ends at %d, want %d", data, got, want)
		}
	})
}
