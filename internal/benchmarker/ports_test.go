package benchmarker

import (
	"fmt"
	"net"
	"testing"
)

// portsOfATest is the number of consecutive ports that a fleet of a test may
// use.
const portsOfATest = 40

// freePorts returns the first of consecutive free loopback ports, so that
// tests that run at the same time do not meet.
func freePorts(t *testing.T) int {
	t.Helper()
	for range 50 {
		probe, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		first := probe.Addr().(*net.TCPAddr).Port
		probe.Close()
		if allFree(first) {
			return first
		}
	}
	t.Fatal("no consecutive free ports")
	return 0
}

func allFree(first int) bool {
	for port := first; port < first+portsOfATest; port++ {
		probe, err := net.Listen("tcp", fmt.Sprint("127.0.0.1:", port))
		if err != nil {
			return false
		}
		probe.Close()
	}
	return true
}
