package acceptor

import (
	"errors"
	"io"
	"net/http"
)

// handler records which requests are in progress, and refuses those whose head has no share
// of the memory.
type handler struct{ next http.Handler }

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(contextKey{}).(*connection)
	if !ok {
		h.next.ServeHTTP(w, r)
		return
	}
	bytes, lines := len(r.RequestURI), 1
	for name, values := range r.Header {
		for _, value := range values {
			bytes += len(name) + len(value)
		}
		lines += len(values)
	}
	hasBody := r.Body != nil && r.Body != http.NoBody
	defer c.returned()
	if !c.begin(bytes, lines, hasBody) {
		c.acceptor.refused(NoMemory, c.address)
		w.Header().Set("Retry-After", "0.250")
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if hasBody {
		r.Body = &body{ReadCloser: r.Body, connection: c}
	}
	h.next.ServeHTTP(w, r)
}

// body records when the body of a request has been read.
type body struct {
	io.ReadCloser
	connection *connection
}

// Read implements io.Reader. It returns ErrRefused and no bytes at the end of a body whose
// connection is being closed: the rest may have been in a buffer, and the request must not run.
func (b *body) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	if errors.Is(err, io.EOF) && !b.connection.completeBody() {
		return 0, ErrRefused
	}
	return n, err
}
