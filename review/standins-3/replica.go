package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// heartbeat is the interval at which a replica writes its entry.
const heartbeat = 1200 * time.Millisecond

// replica is a stand-in for one replica of a plain service, over all its starts.
type replica struct {
	id, service, address string
	store                *store
	record               *record
	eventInterval        time.Duration
	events, slots        int
	// serve, unless nil, runs requests instead of answering with a stream.
	serve func(r *replica, w http.ResponseWriter, request *http.Request, body string)

	mutex   sync.Mutex
	version string
	born    int64
	seq     int
	state   string
	conns   map[net.Conn]struct{}
	server  *http.Server
	stop    context.CancelFunc
}

func newReplica(id, service string, s *store, r *record) *replica {
	return &replica{id: id, service: service, store: s, record: r, eventInterval: 200 * time.Millisecond, events: 20, slots: 16}
}

// trackedListener remembers the connections that it accepts.
type trackedListener struct {
	net.Listener
	replica *replica
}

// Accept implements net.Listener.
func (l trackedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.replica.mutex.Lock()
		l.replica.conns[conn] = struct{}{}
		l.replica.mutex.Unlock()
	}
	return conn, err
}

// start begins a run of the replica at its address, or at a new one the first time. It writes its
// entry in the store as soon as it listens.
func (r *replica) start(version string) error {
	address := r.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.mutex.Lock()
	r.address, r.version, r.born, r.seq, r.state = listener.Addr().String(), version, time.Now().UnixMilli(), 0, "ready"
	r.conns, r.stop = map[net.Conn]struct{}{}, cancel
	r.server = &http.Server{Handler: r.handler(version)}
	server := r.server
	r.mutex.Unlock()
	r.publish()
	go func() { _ = server.Serve(trackedListener{listener, r}) }()
	go r.beat(ctx)
	r.record.write("replica %s starts with version %s", r.id, version)
	return nil
}

// crash ends the run at once. All its connections are reset.
func (r *replica) crash() {
	r.mutex.Lock()
	r.stop()
	server := r.server
	for conn := range r.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	r.mutex.Unlock()
	_ = server.Close()
	r.record.write("replica %s crashes", r.id)
}

func (r *replica) beat(ctx context.Context) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.publish()
		}
	}
}

// publish writes the entry of the present run.
func (r *replica) publish() { r.publishAs(r.id) }

// publishAs writes the entry of the present run under a name.
func (r *replica) publishAs(name string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.seq++
	r.store.put("servers", name, map[string]any{
		"service": r.service, "address": r.address, "zone": "gdansk-a", "version": r.version, "slots": r.slots, "state": r.state,
		"cold-left-ms": 0, "seq": r.seq, "born": r.born,
	})
}

// handler returns the handler of one run.
func (r *replica) handler(version string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if target := request.Header.Get("Target-Instance"); target != "" && target != r.id {
			w.Header().Set("Instance-Id", r.id)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if request.URL.Path == "/healthz" {
			w.Header().Set("Instance-Id", r.id)
			return
		}
		if r.serve != nil {
			r.serve(r, w, request, string(body))
			return
		}
		r.stream(w, request, version)
	})
}

// stream answers with the events after Last-Event-Id. Each names the software version that made it.
func (r *replica) stream(w http.ResponseWriter, request *http.Request, version string) {
	attempt := request.Header.Get("Attempt-Id")
	last := 0
	if text := request.Header.Get("Last-Event-Id"); text != "" {
		last, _ = strconv.Atoi(text)
	}
	r.record.write("replica %s (%s) runs %s after event %d", r.id, version, attempt, last)
	w.Header().Set("Attempt-Id", attempt)
	w.Header().Set("Response-Seal", "seal-"+r.id+"-"+attempt)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	control := http.NewResponseController(w)
	for id := last + 1; id <= r.events; id++ {
		select {
		case <-request.Context().Done():
			return
		case <-time.After(r.eventInterval):
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s\n\n", id, version, r.id); err != nil {
			return
		}
		if control.Flush() != nil {
			return
		}
	}
}
