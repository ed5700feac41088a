package acceptor

import (
	"net"
	"time"
)

const (
	// writePart is the number of bytes that a client must take within writeTimeout. The
	// slowest links of callers carry more than ten times as much.
	writePart    = 16 << 10
	writeTimeout = 10 * time.Second
	// minSendBuffer and maxSendBuffer bound what the system buffers for one client that
	// reads slowly. Without a bound it buffers up to 4 MB. The system doubles the value.
	minSendBuffer, maxSendBuffer = 16 << 10, 64 << 10
	// sendShare is the part of the memory that the system buffers for all clients.
	sendShare = 1.0 / 8
)

// sendBuffer returns the bytes that the system buffers for each of a number of clients.
func sendBuffer(memory int64, connections int) int {
	if memory <= 0 {
		memory = defaultMemory
	}
	return max(minSendBuffer, min(maxSendBuffer, int(float64(memory)*sendShare)/connections))
}

// Write implements net.Conn. It closes the connection if the client does not take a part of
// the bytes in time. Until then the writer waits, and with it the replica whose answer it
// passes on.
func (c *connection) Write(buffer []byte) (int, error) {
	written := 0
	for len(buffer) > 0 {
		part := buffer[:min(len(buffer), writePart)]
		n, err := c.writeInTime(part)
		written += n
		if err != nil {
			return written, err
		}
		buffer = buffer[n:]
	}
	return written, nil
}

func (c *connection) writeInTime(part []byte) (int, error) {
	timer := c.acceptor.settings.Clock.AfterFunc(writeTimeout, func() {
		c.acceptor.refused(ReadsTooSlowly, c.address)
		_ = c.Close()
	})
	defer timer.Stop()
	return c.Conn.Write(part)
}

// limitSendBuffer bounds what the system buffers for a client.
func (a *Acceptor) limitSendBuffer(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(a.sendBuffer)
	}
}
