package tester

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
)

// Ports for servers that a test starts later, or in other processes, must not
// come from the range of outgoing connections: a connection that took one in
// between made such a server fail to listen. Each test process begins at
// another hundred of the range below it.
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
	t.Fatalf("no %d consecutive free ports", count)
	return 0
}

// FreeAddress returns "IP:port" of a free loopback port.
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
