package emulator

import (
	"net/http"
	"slices"
	"sync"
)

// EndpointRequest is a request as an endpoint received it. Tests check, for
// example, that it holds no key.
type EndpointRequest struct {
	Method string
	Path   string
	Query  string
	Header http.Header
	// Connection identifies the connection. It is 0 without an EndpointServer.
	Connection uint64
}

// maxLoggedRequests is the number of latest requests that the log keeps.
const maxLoggedRequests = 4096

// endpointLog holds the latest requests that a stand-in received.
type endpointLog struct {
	mutex    sync.Mutex
	requests []EndpointRequest
}

func (l *endpointLog) add(r *http.Request) {
	request := EndpointRequest{
		Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery,
		Header: r.Header.Clone(),
	}
	if conn, ok := r.Context().Value(endpointConnKey{}).(*endpointConn); ok {
		request.Connection = conn.id
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.requests = append(l.requests, request)
	if len(l.requests) > maxLoggedRequests {
		l.requests = slices.Delete(l.requests, 0, len(l.requests)-maxLoggedRequests)
	}
}

// all returns the logged requests, oldest first.
func (l *endpointLog) all() []EndpointRequest {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return slices.Clone(l.requests)
}
