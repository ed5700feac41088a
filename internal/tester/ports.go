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
	firstPort     = 12_000
	portHundreds  = 200
	portsInRange  = portHundreds * 100
	portsToTryMax = portsInRange
)

var portsTaken atomic.Int64

// Ports returns the first of count consecutive loopback ports that are free
// and that this process has not returned before.
func Ports(t testing.TB, count int) int {
	t.Helper()
	start := int64(os.Getpid()%portHundreds) * 100
	for range portsToTryMax {
		taken := portsTaken.Add(int64(count)) - int64(count)
		first := firstPort + int((start+taken)%int64(portsInRange-count))
		if allFree(first, count) {
			return first
		}
	}
	t.Fatalf("no %d consecutive free ports", count)
	return 0
}

// Address returns "IP:port" of a free loopback port.
func Address(t testing.TB) string {
	t.Helper()
	return fmt.Sprint("127.0.0.1:", Ports(t, 1))
}

func allFree(first, count int) bool {
	for port := first; port < first+count; port++ {
		probe, err := net.Listen("tcp", fmt.Sprint("127.0.0.1:", port))
		if err != nil {
			return false
		}
		_ = probe.Close()
	}
	return true
}
