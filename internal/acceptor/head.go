package acceptor

import "bytes"

// head measures the head of a request as its bytes arrive. It recognizes only the empty
// line at the end; net/http parses the head.
type head struct {
	bytes, lines int
	// content is set if the current line has bytes other than its end, and begun if a
	// line before it had.
	content, begun bool
}

// add measures bytes that arrived. It returns the number of bytes that belong to the head,
// and whether the head ends with them.
func (h *head) add(data []byte) (size int, ended bool) {
	for position := 0; position < len(data); {
		end := bytes.IndexByte(data[position:], '\n')
		if end < 0 {
			h.content = h.content || len(bytes.TrimRight(data[position:], "\r")) > 0
			h.bytes += len(data) - position
			return len(data), false
		}
		h.content = h.content || len(bytes.TrimRight(data[position:position+end], "\r")) > 0
		position += end + 1
		h.bytes += end + 1
		h.lines++
		if !h.content && h.begun {
			return position, true
		}
		h.begun, h.content = h.begun || h.content, false
	}
	return len(data), false
}
