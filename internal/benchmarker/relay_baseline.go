package benchmarker

import (
	"bytes"
	"io"
	"net/http"
)

// relayBuffer is the size of the copy buffer, the same as that of io.Copy.
const relayBuffer = 32 << 10

// bareRelay forwards a generation request to one engine and copies the response
// stream with a flush after every read. It makes no decisions and is the
// baseline for the cost of a node.
type bareRelay struct {
	engine    string
	transport *http.Transport
}

// ServeHTTP implements http.Handler.
func (b bareRelay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// The body is read first, because a body that is still being read when the
	// response begins would end the response early.
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	request, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+b.engine+r.URL.Path, bytes.NewReader(body))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := b.transport.RoundTrip(request)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer response.Body.Close()
	w.Header().Set("Content-Type", response.Header.Get("Content-Type"))
	w.WriteHeader(response.StatusCode)
	control := http.NewResponseController(w)
	buffer := make([]byte, relayBuffer)
	for {
		n, err := response.Body.Read(buffer)
		if _, writeErr := w.Write(buffer[:n]); writeErr != nil || err != nil {
			return
		}
		if control.Flush() != nil {
			return
		}
	}
}
