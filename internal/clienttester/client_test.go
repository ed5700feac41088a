package clienttester

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"toucanhitch.example/toucanhitch/internal/tester"
)

const (
	// clientTime ends the clients that are still connected.
	clientTime = 2500 * time.Millisecond
	// slowStep is the time between two bytes of a slow client.
	slowStep = 100 * time.Millisecond
	getLine  = "GET /safe/crowd HTTP/1.1\r\nHost: " + host + "\r\n"
	postLine = "POST /safe/crowd HTTP/1.1\r\nHost: " + host + "\r\n"
	chunked  = postLine + "Transfer-Encoding: chunked\r\n\r\n"
)

// crowd connects a number of clients to an address at the same time, each of which sends
// as the function does and then reads to the end of the connection.
func (n *node) crowd(address string, clients int, send func(conn net.Conn)) (wait func()) {
	var group sync.WaitGroup
	stop := n.watchDescriptors()
	for range clients {
		group.Go(func() {
			conn, err := net.DialTimeout("tcp", address, clientTime)
			if err != nil {
				return
			}
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(clientTime))
			send(conn)
		})
	}
	return func() {
		group.Wait()
		stop()
	}
}

// testCrowd lets a crowd of clients end, and checks the process and an ordinary request.
func testCrowd(t *testing.T, clients int, send func(conn net.Conn)) {
	n := startNode(t)
	n.crowd(n.callers, clients, send)()
	n.awaitAnswer()
	n.check()
}

// testPresentCrowd checks an ordinary request, from the address of the crowd, while its
// clients are connected.
func testPresentCrowd(t *testing.T, clients int, send func(conn net.Conn)) {
	n := startNode(t)
	wait := n.crowd(n.callers, clients, send)
	time.Sleep(clientTime / 4)
	n.awaitAnswer()
	wait()
	n.awaitAnswer()
	n.check()
}

// sendAll sends bytes and reads what comes back.
func sendAll(parts ...[]byte) func(conn net.Conn) {
	return func(conn net.Conn) {
		for _, part := range parts {
			if _, err := conn.Write(part); err != nil {
				return
			}
		}
		_, _ = io.Copy(io.Discard, conn)
	}
}

// sendSlowly sends a beginning at once, and then a byte at a time.
func sendSlowly(beginning string) func(conn net.Conn) {
	return func(conn net.Conn) {
		if _, err := io.WriteString(conn, beginning); err != nil {
			return
		}
		for {
			if _, err := io.WriteString(conn, "a"); err != nil {
				return
			}
			time.Sleep(slowStep)
		}
	}
}

// TestClientEndlessHead guards against heads of many short lines without an end, on each
// listener.
func TestClientEndlessHead(t *testing.T) {
	head := append([]byte(getLine), tester.ShortLines(1_000_000)...)
	n := startNode(t)
	for _, address := range []string{n.callers, n.readiness, n.directory, n.peers} {
		n.crowd(address, 20, sendAll(head))()
	}
	n.awaitAnswer()
	n.check()
}

// TestClientWholeHeads guards against whole requests, each within the limits, whose many
// short lines take far more memory than their bytes.
func TestClientWholeHeads(t *testing.T) {
	lines := tester.ShortLines(maxHeaderBytes - 500)
	testCrowd(t, 300, sendAll([]byte(getLine), lines, []byte("\r\n")))
}

// TestClientRepeatedName guards against whole requests that repeat a header of one short
// name.
func TestClientRepeatedName(t *testing.T) {
	lines := bytes.Repeat([]byte("a:\r\n"), (maxHeaderBytes-500)/4)
	testCrowd(t, 300, sendAll([]byte(getLine), lines, []byte("\r\n")))
}

// TestClientPipelinedHeads guards against heads that arrive with the request before them
// and are therefore buffered before they begin.
func TestClientPipelinedHeads(t *testing.T) {
	lines := tester.ShortLines(maxHeaderBytes - 500)
	testCrowd(t, 300, sendAll([]byte(getLine+"\r\n"+getLine), lines, []byte("\r\n")))
}

// TestClientKeptConnection guards against heads on connections that were used before.
func TestClientKeptConnection(t *testing.T) {
	lines := tester.ShortLines(1_000_000)
	testCrowd(t, 20, func(conn net.Conn) {
		if _, err := io.WriteString(conn, getLine+"\r\n"); err != nil {
			return
		}
		if _, err := conn.Read(make([]byte, 1024)); err == nil {
			sendAll([]byte(getLine), lines)(conn)
		}
	})
}

// TestClientEmptyLines guards against empty lines before a request.
func TestClientEmptyLines(t *testing.T) {
	testCrowd(t, 20, sendAll(bytes.Repeat([]byte("\r\n"), 2<<20), []byte(getLine+"\r\n")))
}

// TestClientTrailer guards against a trailer of many short lines.
func TestClientTrailer(t *testing.T) {
	testCrowd(t, 100, sendAll([]byte(chunked+"1\r\na\r\n0\r\n"), tester.ShortLines(1_000_000), []byte("\r\n")))
}

// TestClientChunkExtensions guards against chunks whose extensions are far longer than
// their data.
func TestClientChunkExtensions(t *testing.T) {
	chunk := []byte("1;" + strings.Repeat("x", 4000) + "\r\na\r\n")
	testCrowd(t, 50, sendAll([]byte(chunked), bytes.Repeat(chunk, 500)))
}

// TestClientConnections guards against more connections than there are descriptors, that
// send nothing.
func TestClientConnections(t *testing.T) {
	testPresentCrowd(t, 600, sendAll())
}

// TestClientIdleConnections guards against connections that are kept open after a request.
func TestClientIdleConnections(t *testing.T) {
	testPresentCrowd(t, 600, sendAll([]byte("GET / HTTP/1.1\r\nHost: other.example\r\n\r\n")))
}

// TestClientSlowHead guards against heads that arrive a byte at a time.
func TestClientSlowHead(t *testing.T) {
	testPresentCrowd(t, 600, sendSlowly(getLine))
}

// TestClientSlowBody guards against bodies that arrive a byte at a time.
func TestClientSlowBody(t *testing.T) {
	testPresentCrowd(t, 600, sendSlowly(postLine+"Content-Length: 4000000\r\n\r\n"))
}

// TestClientStalledBody guards against bodies that stop after their first part, of which
// all requests together hold more than the memory.
func TestClientStalledBody(t *testing.T) {
	part := make([]byte, 60<<10)
	testPresentCrowd(t, 600, sendAll([]byte(postLine+"Content-Length: 4000000\r\n\r\n"), part))
}

// TestClientSlowReader guards against answers that are held in memory for callers that
// read a byte at a time.
func TestClientSlowReader(t *testing.T) {
	testPresentCrowd(t, 500, func(conn net.Conn) {
		if err := conn.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
			return
		}
		if _, err := fmt.Fprintf(conn, "GET %sanswer HTTP/1.1\r\nHost: %s\r\n\r\n", bigPath, host); err != nil {
			return
		}
		for {
			if _, err := conn.Read(make([]byte, 1)); err != nil {
				return
			}
			time.Sleep(slowStep)
		}
	})
}

// TestClientLoneHead guards against a limit on lines that refuses a single request inside
// the limits: a head of the largest size, in the shortest lines, is served.
func TestClientLoneHead(t *testing.T) {
	n := startNode(t)
	for name, line := range map[string]string{"repeated": "a:\r\n", "bare": "a:\n"} {
		size := maxHeaderBytes - len(getLine) - len("\r\n")
		head := getLine + strings.Repeat(line, size/len(line)) + "\r\n"
		if status := n.ask(head); status != http.StatusOK {
			t.Errorf("%s: status %d of a head of %d bytes, want 200", name, status, len(head))
		}
	}
	size := maxHeaderBytes - len(getLine) - 16
	head := getLine + string(tester.ShortLines(size)) + "\r\n"
	if status := n.ask(head); status != http.StatusOK {
		t.Errorf("status %d of a head of %d bytes, want 200", status, len(head))
	}
	n.check()
}
