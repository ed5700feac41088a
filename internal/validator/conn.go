package validator

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"toucanhitch.example/toucanhitch/internal/duplexer"
)

// Conn is a connection of a Transport whose reads check the heads of responses and the lines of
// bodies in chunks.
type Conn struct {
	*duplexer.Conn
	// expected is the method of a request that begins, and tells the reader that a head follows.
	expected atomic.Pointer[string]
	// invalid is the ErrInvalid of the line that ended the reads.
	invalid atomic.Pointer[error]

	// The goroutine that reads owns the fields below.

	method string
	lines  lines
	// head is the head that is being read, or nil within a body. chunks is the body in chunks
	// that is being read, if any.
	head   *head
	chunks *chunks
	// begun is set once a byte of a response was returned.
	begun bool
}

// dialFunc opens a connection, like net.Dialer.DialContext.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// checkConns returns a function that opens connections of type *Conn with dial.
func checkConns(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &Conn{Conn: duplexer.New(conn)}, nil
	}
}

// Read implements net.Conn. It returns nothing of a line that is not valid but, so that net/http
// does not take the response as missing and repeat the request, its first byte if the response
// begins with it. Errors: ErrInvalid and those of duplexer.Conn.
func (c *Conn) Read(buffer []byte) (int, error) {
	if err := c.invalid.Load(); err != nil {
		return 0, *err
	}
	n, err := c.Conn.Read(buffer)
	if n == 0 {
		return n, err
	}
	if method := c.expected.Swap(nil); method != nil {
		c.method, c.lines, c.head, c.chunks, c.begun = *method, lines{}, &head{}, nil, false
	}
	valid, invalidErr := c.check(buffer[:n])
	if invalidErr != nil {
		c.invalid.Store(&invalidErr)
		n, err = valid, invalidErr
		if !c.begun {
			n = max(n, 1)
		}
	}
	c.begun = true
	return n, err
}

// check checks what was read. It returns the number of bytes before the first line that is not
// valid, and ErrInvalid for that line.
func (c *Conn) check(data []byte) (valid int, err error) {
	for valid < len(data) && c.head != nil {
		line, n := c.lines.next(data[valid:])
		if line != nil {
			if err := c.readLine(trimLineEnd(line)); err != nil {
				return valid, err
			}
		}
		valid += n
	}
	if c.chunks == nil {
		return len(data), nil
	}
	n, ended, err := c.chunks.check(data[valid:])
	switch {
	case err != nil:
		return valid + n, err
	case ended:
		c.chunks = nil
	}
	return len(data), nil
}

// readLine checks a line of a head.
func (c *Conn) readLine(line []byte) error {
	ended, err := c.head.readLine(line)
	switch {
	case err != nil:
		return err
	case c.head.status == http.StatusSwitchingProtocols:
		return invalid("status 101 to a request without Upgrade")
	case ended && c.head.isInterim():
		c.head = &head{}
	case ended:
		if c.head.hasChunks(c.method) {
			c.chunks = &chunks{}
		}
		c.head = nil
	}
	return nil
}
