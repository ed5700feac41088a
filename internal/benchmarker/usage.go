package benchmarker

import (
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"
)

// Usage is the cumulative resource usage of the process.
type Usage struct {
	// CPU is the CPU time in user and system mode.
	CPU time.Duration
	// Mallocs is the number of allocated heap objects, and Bytes their total
	// size.
	Mallocs uint64
	Bytes   uint64
}

// readUsage returns the resource usage of the process.
func readUsage() Usage {
	var rusage syscall.Rusage
	// The call fails only for an unknown argument.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &rusage)
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return Usage{
		CPU:     time.Duration(rusage.Utime.Nano() + rusage.Stime.Nano()),
		Mallocs: memory.Mallocs,
		Bytes:   memory.TotalAlloc,
	}
}

// since returns the usage since an earlier reading.
func (u Usage) since(earlier Usage) Usage {
	return Usage{CPU: u.CPU - earlier.CPU, Mallocs: u.Mallocs - earlier.Mallocs, Bytes: u.Bytes - earlier.Bytes}
}

// Traffic counts the payload bytes of TCP connections that a listener
// accepted, in both directions.
type Traffic struct{ bytes atomic.Int64 }

// Bytes returns the count so far.
func (t *Traffic) Bytes() int64 { return t.bytes.Load() }

// Listen listens on a TCP address and counts the traffic of accepted
// connections.
func (t *Traffic) Listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return countingListener{Listener: listener, traffic: t}, nil
}

type countingListener struct {
	net.Listener
	traffic *Traffic
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: conn, traffic: l.traffic}, nil
}

type countingConn struct {
	net.Conn
	traffic *Traffic
}

// Read implements net.Conn.
func (c countingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.traffic.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.traffic.bytes.Add(int64(n))
	return n, err
}

// heapInUse returns the bytes of live heap objects.
func heapInUse() uint64 {
	// The second collection frees objects that finalizers and pools retained.
	runtime.GC()
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return memory.HeapAlloc
}

// memoryInUse returns the bytes of live heap objects and of stacks.
func memoryInUse() uint64 {
	heap := heapInUse()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return heap + memory.StackInuse
}
