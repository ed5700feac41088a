package relayer

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"syscall"

	"github.com/ansel1/merry/v2"
)

// frameHeadBytes is the size of the length, in big endian, before the bytes of a frame.
const frameHeadBytes = 2

// retirement is the length, above that of any frame, which tells the node to send no other request
// on the connection. No bytes follow it.
const retirement = 1<<16 - 1

// Unframe returns a connection that reads what a replica sends from the frames of a carrier. Its
// reads end with io.EOF only if the replica has ended its connection, and with
// io.ErrUnexpectedEOF if the carrier has: an answer without a length would look complete. Writes
// are not framed.
func Unframe(conn net.Conn) net.Conn { return &framedConn{Conn: conn} }

// framedConn is a connection on which a carrier sends frames. One of length 0 is the last one.
type framedConn struct {
	net.Conn
	head [frameHeadBytes]byte
	// headBytes is the number of bytes of the head that were read, and remaining that of the
	// frame that were not.
	headBytes, remaining int
	ended, retired       bool
}

// Retired reports whether the carrier has asked for no other request on the connection. A
// retirement that has not been read yet is input on an idle connection.
func (c *framedConn) Retired() bool { return c.retired }

// Read implements net.Conn.
func (c *framedConn) Read(buffer []byte) (int, error) {
	for c.remaining == 0 {
		if c.ended {
			return 0, io.EOF
		}
		if err := c.readHead(); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(buffer[:min(len(buffer), c.remaining)])
	c.remaining -= n
	return n, unexpectedEnd(err)
}

// readHead reads the head of the next frame. A read that reaches its deadline may be repeated.
func (c *framedConn) readHead() error {
	for c.headBytes < frameHeadBytes {
		n, err := c.Conn.Read(c.head[c.headBytes:])
		c.headBytes += n
		if err != nil && c.headBytes < frameHeadBytes {
			return unexpectedEnd(err)
		}
	}
	c.headBytes, c.remaining = 0, int(binary.BigEndian.Uint16(c.head[:]))
	if c.remaining == retirement {
		c.remaining, c.retired = 0, true
		return nil
	}
	c.ended = c.remaining == 0
	return nil
}

// SyscallConn implements syscall.Conn.
func (c *framedConn) SyscallConn() (syscall.RawConn, error) {
	if conn, ok := c.Conn.(syscall.Conn); ok {
		return conn.SyscallConn()
	}
	return nil, merry.Errorf("connection of type %T has no descriptor", c.Conn)
}

func unexpectedEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
