package emulator

import (
	"net/http"
	"slices"
	"sync"
)

// EndpointRequest is what an endpoint received, for tests that look for keys.
type EndpointRequest struct {
	Method string
	Path   string
	Query  string
	Header http.Header
	// Connection tells connections apart. It is 0 without an EndpointServer.
	Connection uint64
}

// maxSeenRequests bounds the log; the oldest entries go first.
const maxSeenRequests = 4096

// endpointLog keeps the requests that a stand-in received.
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
	if len(l.requests) > maxSeenRequests {
		l.requests = slices.Delete(l.requests, 0, len(l.requests)-maxSeenRequests)
	}
}

// Seen returns the requests received so far.
func (l *endpointLog) all() []EndpointRequest {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return slices.Clone(l.requests)
}
