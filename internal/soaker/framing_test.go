package soaker

import (
	"net/http"
	"time"
)

const (
	// framingHeader is the header of a request that names how its answer ends.
	framingHeader = "Test-Framing"
	// writePause is the time before each part of an answer with such a framing, so that the
	// silence of replicas begins at all points of answers.
	writePause = 40 * time.Millisecond
)

// framingHandler changes how answers end where requests name it.
type framingHandler struct{ http.Handler }

func (h framingHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if framing := r.Header.Get(framingHeader); framing != "" {
		w = &framingWriter{ResponseWriter: w, framing: framing}
	}
	h.Handler.ServeHTTP(w, r)
}

// framingWriter writes a body in chunks, or without a length until the connection ends.
type framingWriter struct {
	http.ResponseWriter
	framing string
	begun   bool
}

// Unwrap lets http.ResponseController flush.
func (w *framingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *framingWriter) Write(data []byte) (int, error) {
	if !w.begun {
		w.begun = true
		w.Header().Del("Content-Length")
		if w.framing == "close" {
			w.Header().Set("Transfer-Encoding", "identity")
		}
	}
	time.Sleep(writePause)
	n, err := w.ResponseWriter.Write(data[:len(data)/2])
	if err != nil || http.NewResponseController(w.ResponseWriter).Flush() != nil {
		return n, err
	}
	time.Sleep(writePause)
	m, err := w.ResponseWriter.Write(data[n:])
	return n + m, err
}
