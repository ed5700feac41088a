package validator

import (
	"bytes"
	"net/http"

	"github.com/ansel1/merry/v2"
)

// ErrInvalid reports a response that is not valid HTTP/1.1. The request may have run.
var ErrInvalid = merry.Sentinel("response is not valid HTTP/1.1")

// The valid status codes, RFC 9110, section 15.
const (
	minStatus = 100
	maxStatus = 599
)

// head is what the lines of a response's head have shown so far.
type head struct {
	status int
	// minor is the minor version, which decides whether transfer codings exist.
	minor byte
	// fields is set once there was a field line, which later lines may continue.
	fields bool
	// hasLength is set by a Content-Length, hasBody by one other than 0, and coded by a
	// Transfer-Encoding.
	hasLength, hasBody, coded bool
}

// isInterim reports whether another response to the same request follows.
func (h *head) isInterim() bool { return h.status < http.StatusOK }

// hasChunks reports whether a body in chunks follows the head of a response to a request with the
// given method.
func (h *head) hasChunks(method string) bool {
	return h.coded && method != http.MethodHead && h.status != http.StatusNotModified
}

// readLine checks a line, without its end. It reports true for the empty line that ends the
// head. Errors: ErrInvalid.
func (h *head) readLine(line []byte) (ended bool, err error) {
	switch {
	case h.status == 0:
		return false, h.readStatus(line)
	case len(line) == 0:
		return true, h.checkFraming()
	case line[0] == ' ' || line[0] == '\t':
		// A folded value, which net/http unfolds as RFC 9112, section 5.2, allows.
		if !h.fields || !isFieldValue(line) {
			return false, invalid("%q does not continue a field", line)
		}
		return false, nil
	}
	return false, h.readField(line)
}

// readStatus checks a status line. Several spaces between its parts are accepted, and none after
// a status without a reason: RFC 9112, section 4, lets recipients split the line at whitespace.
func (h *head) readStatus(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	minor, ok := bytes.CutPrefix(version, []byte("HTTP/1."))
	if !ok || len(minor) != 1 || !isDigit(minor[0]) {
		return invalid("status line %q has another version than HTTP/1", line)
	}
	status, reason, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	if len(status) != 3 || !isDigit(status[0]) || !isDigit(status[1]) || !isDigit(status[2]) {
		return invalid("status line %q has no status of three digits", line)
	}
	h.minor = minor[0]
	h.status = int(status[0]-'0')*100 + int(status[1]-'0')*10 + int(status[2]-'0')
	switch {
	case h.status < minStatus || h.status > maxStatus:
		return invalid("status %s is not between %d and %d", status, minStatus, maxStatus)
	case !isFieldValue(reason):
		return invalid("status line %q contains a control character", line)
	}
	return nil
}

func (h *head) readField(line []byte) error {
	h.fields = true
	name, value, found := bytes.Cut(line, []byte(":"))
	switch {
	case !found || !isToken(name):
		return invalid("%q does not begin with a field name", line)
	case !isFieldValue(value):
		return invalid("field %q contains a control character", line)
	}
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		h.hasLength = true
		h.hasBody = h.hasBody || string(bytes.Trim(value, " \t")) != "0"
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		h.coded = true
	}
	return nil
}

// checkFraming checks the fields that determine where the response ends, RFC 9112, sections 6.1
// and 6.2. net/http checks their values.
func (h *head) checkFraming() error {
	switch bodiless := h.isInterim() || h.status == http.StatusNoContent; {
	case h.coded && h.minor == '0':
		return invalid("HTTP/1.0 response with a Transfer-Encoding")
	case h.coded && h.hasLength:
		return invalid("response with a Transfer-Encoding and a Content-Length")
	case bodiless && (h.coded || h.hasBody):
		return invalid("response with status %d announces a body", h.status)
	}
	return nil
}

func invalid(format string, arguments ...any) error {
	return merry.Wrap(ErrInvalid, merry.AppendMessagef(format, arguments...))
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// isToken reports whether a text is a token, as field names are: RFC 9110, section 5.6.2.
func isToken(text []byte) bool { return len(text) > 0 && tokenBytes(text) == len(text) }

// tokenBytes returns the length of the token at the beginning of a text.
func tokenBytes(text []byte) int {
	for i, c := range text {
		isLetter := c|0x20 >= 'a' && c|0x20 <= 'z'
		if !isLetter && !isDigit(c) && bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), c) < 0 {
			return i
		}
	}
	return len(text)
}

// isFieldValue reports whether a text contains no control characters but tabs, as field values
// and reasons do: RFC 9110, section 5.5.
func isFieldValue(text []byte) bool {
	for _, c := range text {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
