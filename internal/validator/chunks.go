package validator

import (
	"bytes"
	"net/http"
	"strconv"
)

// maxTrailerBytes bounds a trailer section. Its fields are not used.
const maxTrailerBytes = 4 << 10

// chunks is what a body in chunks has shown so far, RFC 9112, section 7.1. It leaves the line end
// after the data of a chunk to the decoder.
type chunks struct {
	lines lines
	// left is the number of bytes before the next line: data of a chunk and its line end.
	left int64
	// trailer is set once the last chunk was read.
	trailer *head
	// trailerBytes is the size of the trailer section so far.
	trailerBytes int
}

// check checks the next bytes of a body. It returns how many of them are valid, and whether the
// body ends after these. Errors: ErrInvalid for the line that follows them.
func (c *chunks) check(data []byte) (valid int, ended bool, err error) {
	for valid < len(data) {
		if c.left > 0 {
			skipped := min(c.left, int64(len(data)-valid))
			c.left -= skipped
			valid += int(skipped)
			continue
		}
		line, n := c.lines.next(data[valid:])
		if c.trailer != nil {
			c.trailerBytes += n
		}
		switch {
		case c.trailerBytes > maxTrailerBytes:
			return valid, false, invalid("trailer section is longer than %d bytes", maxTrailerBytes)
		case line == nil:
			return len(data), false, nil
		}
		if ended, err = c.readLine(line); err != nil {
			return valid, false, err
		}
		valid += n
		if ended {
			return valid, true, nil
		}
	}
	return valid, false, nil
}

// readLine checks the line of a chunk's size, or one of the trailer section. It reports true for
// the empty line that ends the body.
func (c *chunks) readLine(line []byte) (ended bool, err error) {
	line, found := bytes.CutSuffix(line, []byte("\r\n"))
	switch {
	case !found:
		return false, invalid("%q does not end with CRLF", line)
	case c.trailer != nil:
		return c.trailer.readLine(line)
	}
	text, extensions, extended := bytes.Cut(line, []byte(";"))
	size, err := strconv.ParseUint(string(text), 16, 62)
	switch {
	case err != nil:
		return false, invalid("%q does not begin with the size of a chunk", line)
	case extended && !areChunkExtensions(extensions):
		return false, invalid("%q has an invalid chunk extension", line)
	case size == 0:
		c.trailer = &head{status: http.StatusOK}
		return false, nil
	}
	c.left = int64(size) + int64(len("\r\n"))
	return false, nil
}

// areChunkExtensions reports whether a text has the form of the chunk extensions behind the first
// semicolon, RFC 9112, section 7.1.1. Whitespace that is to be ignored is accepted.
func areChunkExtensions(text []byte) bool {
	for {
		name := tokenBytes(trimBlanks(text))
		text = trimBlanks(trimBlanks(text)[name:])
		if name == 0 {
			return false
		}
		if value, found := bytes.CutPrefix(text, []byte("=")); found {
			value = trimBlanks(value)
			n := max(tokenBytes(value), quotedBytes(value))
			if n == 0 {
				return false
			}
			text = trimBlanks(value[n:])
		}
		if len(text) == 0 {
			return true
		}
		next, found := bytes.CutPrefix(text, []byte(";"))
		if !found {
			return false
		}
		text = next
	}
}

func trimBlanks(text []byte) []byte { return bytes.TrimLeft(text, " \t") }

// quotedBytes returns the length of the quoted string at the beginning of a text, or 0: RFC 9110,
// section 5.6.4.
func quotedBytes(text []byte) int {
	if len(text) == 0 || text[0] != '"' {
		return 0
	}
	for i := 1; i < len(text); i++ {
		switch {
		case text[i] == '"':
			return i + 1
		case text[i] == '\\':
			i++
		}
		if i < len(text) && !isFieldValue(text[i:i+1]) {
			return 0
		}
	}
	return 0
}
