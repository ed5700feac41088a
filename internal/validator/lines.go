package validator

import "bytes"

// lines joins lines that arrive in parts.
type lines struct{ part []byte }

// next returns the line at the beginning of data with its end, or nil if its end is missing, and
// how many bytes of data belong to it. The line is valid until the next call.
func (l *lines) next(data []byte) (line []byte, n int) {
	n = bytes.IndexByte(data, '\n') + 1
	if n == 0 {
		l.part = append(l.part, data...)
		return nil, len(data)
	}
	line = append(l.part, data[:n]...)
	l.part = line[:0]
	return line, n
}

// trimLineEnd removes the end of a line, which may be a single line feed: RFC 9112, section 2.2.
func trimLineEnd(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
}
