package acceptor

import "time"

// Limits are the limits of the configuration for a connection.
type Limits struct {
	// HeaderBytes bounds the head of a request, in bytes.
	HeaderBytes int
	// HeaderTimeout bounds the time from the first byte of a head to its last.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the time without a request, also before the first.
	IdleTimeout time.Duration
}

// defaults apply while no configuration is known and to limits that it does not set. They
// are at least as large as those of any deployment.
var defaults = Limits{HeaderBytes: 32 << 10, HeaderTimeout: 10 * time.Second, IdleTimeout: 2 * time.Minute}

// withDefaults replaces limits that are not positive.
func (l Limits) withDefaults() Limits {
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = defaults.HeaderBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaults.HeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaults.IdleTimeout
	}
	return l
}

const (
	// defaultMemory is the memory in bytes of a process whose settings do not state it.
	defaultMemory = 256 << 20
	// headShare is the part of the memory that all heads take together, and
	// connectionShare that of the connections themselves.
	headShare       = 1.0 / 8
	connectionShare = 1.0 / 6
	// connectionBytes is what a connection takes without a head: two buffers of net/http,
	// a stack and the timer.
	connectionBytes = 24 << 10
	// fileDescriptors are reserved for files and for listeners.
	fileDescriptors = 200
	// minConnections are allowed whatever the settings are.
	minConnections = 16
	// headAllowance is the number of bytes by which a head may exceed the limit.
	headAllowance = 1 << 10
	// lineCost and byteCost are the bytes of memory that a line of a head and a byte of it
	// take. 700 heads of 3,200 lines took 315 MB, which is 140 bytes a line; as much again
	// is garbage before it is collected.
	lineCost, byteCost = 256, 3
	// smallHead is the cost up to which a head counts as ordinary: 40 lines and 2 KB. The
	// parts of heads above it may take half of the budget together, so that large heads
	// leave room for ordinary ones.
	smallHead = 16 << 10
)

// maxConnections returns how many connections all listeners hold. Each request that is in
// progress needs a second descriptor, to its replica. descriptors and memory are 0 if they
// are not known.
func maxConnections(descriptors int, memory int64) int {
	if memory <= 0 {
		memory = defaultMemory
	}
	byMemory := int(float64(memory) * connectionShare / connectionBytes)
	if descriptors <= 0 {
		return max(minConnections, byMemory)
	}
	return max(minConnections, min(byMemory, (descriptors-fileDescriptors)/2))
}
