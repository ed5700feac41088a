package tester

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
)

// Ports for servers that a test starts later, or in other processes, must not
// come from the ephemeral range: an outgoing connection that took such a port in
// the meantime made the server fail to listen. They come from a range below it,
// which is divided into blocks of 100 ports; the process ID selects the block at
// which a test process starts.
const (
	firstPort       = 12_000
	portBlocks      = 200
	portRangeSize   = portBlocks * 100
	maxPortAttempts = portRangeSize
)

var portsAllocated atomic.Int64

// FreePorts returns the first of count consecutive loopback ports that are free
// and that this process has not returned before.
func FreePorts(t testing.TB, count int) int {
	t.Helper()
	start := int64(os.Getpid()%portBlocks) * 100
	for range maxPortAttempts {
		allocated := portsAllocated.Add(int64(count)) - int64(count)
		first := firstPort + int((start+allocated)%int64(portRangeSize-count))
		if allFree(first, count) {
			return first
		}
	}
	t.Fatalf("no %d consecutive free ports in %d to %d", count, firstPort, firstPort+portRangeSize-1)
	return 0
}

// FreeAddress returns the "IP:port" address of a free loopback port that this
// process has not returned before.
func FreeAddress(t testing.TB) string {
	t.Helper()
	return fmt.Sprint("127.0.0.1:", FreePorts(t, 1))
}

func allFree(first, count int) bool {
	for port := first; port < first+count; port++ {
		listener, err := net.Listen("tcp", fmt.Sprint("127.0.0.1:", port))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}
