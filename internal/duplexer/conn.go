package duplexer

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
)

// ErrReset reports a connection that the other side did not end in order.
var ErrReset = merry.Sentinel("connection was reset")

// Conn is a connection whose reads end with io.EOF only if the other side has ended its
// direction in order, and with ErrReset if a write has failed before. One goroutine may read
// while another writes.
type Conn struct {
	net.Conn
	// readErr is the error that ended the reads. Only the goroutine that reads uses it.
	readErr error

	// writing is held during a write.
	writing sync.Mutex
	// writeErr is the error of the first write that failed.
	writeErr error
}

// New returns a connection that reads and writes through conn.
func New(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// Read implements net.Conn.
func (c *Conn) Read(buffer []byte) (int, error) {
	if c.readErr != nil {
		return 0, c.readErr
	}
	n, err := c.Conn.Read(buffer)
	switch {
	case errors.Is(err, io.EOF):
		err = c.end()
		c.readErr = err
	case err != nil && !errors.Is(err, os.ErrDeadlineExceeded):
		c.readErr = err
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(data []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(data)
	c.recordWrite(err)
	return n, err
}

// WriteBuffers writes buffers like net.Buffers.WriteTo, in one system call if possible.
func (c *Conn) WriteBuffers(buffers *net.Buffers) (int64, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := buffers.WriteTo(c.Conn)
	c.recordWrite(err)
	return n, err
}

func (c *Conn) recordWrite(err error) {
	if c.writeErr == nil {
		c.writeErr = err
	}
}

// end returns io.EOF if the other side has ended its direction in order, and ErrReset if a write
// has taken the report of a reset. It interrupts a write that is blocked.
func (c *Conn) end() error {
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.writing.Lock()
	defer c.writing.Unlock()
	switch {
	case c.writeErr == nil, errors.Is(c.writeErr, os.ErrDeadlineExceeded):
		return io.EOF
	case errors.Is(c.writeErr, syscall.EPIPE):
		// The reset came after the orderly end of the other direction. Before it, the error
		// of the first write is another one.
		return io.EOF
	}
	return merry.Wrap(ErrReset, merry.AppendMessagef("%v", c.writeErr))
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if conn, ok := c.Conn.(syscall.Conn); ok {
		return conn.SyscallConn()
	}
	return nil, merry.Errorf("connection of type %T has no descriptor", c.Conn)
}
