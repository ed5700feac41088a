package tester

import (
	"bytes"
	"fmt"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// clock is the time of servers in trouble and of measurements.
var clock = clockwork.NewRealClock()

// ServeEndless starts a server in trouble. It answers each request with a head and then
// with the block: again and again until the other side closes or, with a pause, once, after
// which the connection stays open for that long. It returns the server's address and the
// number of requests that it has received.
func ServeEndless(t *testing.T, head string, block []byte, pause time.Duration) (address string, received *atomic.Int64) {
	t.Helper()
	received = &atomic.Int64{}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go answerEndless(conn, received, head, block, pause)
		}
	}()
	return listener.Addr().String(), received
}

func answerEndless(conn net.Conn, received *atomic.Int64, head string, block []byte, pause time.Duration) {
	defer conn.Close()
	if _, err := conn.Read(make([]byte, 4<<10)); err != nil {
		return
	}
	received.Add(1)
	_, err := conn.Write([]byte(head))
	for err == nil {
		_, err = conn.Write(block)
		if pause > 0 {
			clock.Sleep(pause)
			return
		}
	}
}

// ShortLines returns header lines with different names, of at least size bytes.
func ShortLines(size int) []byte {
	var lines bytes.Buffer
	for i := 0; lines.Len() < size; i++ {
		fmt.Fprintf(&lines, "%x:\r\n", i)
	}
	return lines.Bytes()
}

// peakInterval is the time between two measurements of the heap.
const peakInterval = 5 * time.Millisecond

// PeakMemory returns by how many bytes the heap grows at most while f runs, with garbage
// that has not been collected yet.
func PeakMemory(f func()) uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	before, peak := stats.HeapAlloc, uint64(0)
	done := make(chan struct{})
	go func() {
		defer close(done)
		f()
	}()
	for {
		runtime.ReadMemStats(&stats)
		peak = max(peak, stats.HeapAlloc)
		select {
		case <-done:
			return peak - min(before, peak)
		case <-clock.After(peakInterval):
		}
	}
}
