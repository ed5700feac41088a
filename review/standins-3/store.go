package main

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// objectsPath is the path of the store's objects.
const objectsPath = "/toucanhitch/objects/"

// pageSize is the number of objects in a page of a list.
const pageSize = 500

type metadata struct {
	Name            string   `json:"name"`
	Revision        uint64   `json:"revision"`
	Created         uint64   `json:"created"`
	Finalizers      []string `json:"finalizers"`
	DeletionPending bool     `json:"deletion-pending"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// store is a stand-in for the platform's metadata store. It serves reads, conditional writes
// and watches on its objects.
type store struct {
	address string
	delay   time.Duration

	mutex    sync.Mutex
	revision uint64
	kinds    map[string]map[string]object
	events   []event
	changed  chan struct{}
	down     bool
}

type event struct {
	kind     string
	revision uint64
	Deleted  bool   `json:"deleted"`
	Object   object `json:"object"`
}

func newStore(ctx context.Context) (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: listener.Addr().String(), delay: 4 * time.Millisecond, revision: 1, kinds: map[string]map[string]object{}, changed: make(chan struct{})}
	server := &http.Server{Handler: s}
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return s, nil
}

// setDown makes the store answer every call with 503 until it is called again.
func (s *store) setDown(down bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.down = down
}

// put writes an object as the operator or a replica does, and reports whether the store took it.
func (s *store) put(kind, name string, spec any) bool {
	encoded, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.down {
		return false
	}
	s.write(kind, object{Metadata: metadata{Name: name}, Spec: encoded})
	return true
}

// remove deletes an object without a condition.
func (s *store) remove(kind, name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.delete(kind, name)
}

func (s *store) write(kind string, o object) object {
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]object{}
	}
	known, exists := s.kinds[kind][o.Metadata.Name]
	s.revision++
	o.Metadata.Revision, o.Metadata.Created = s.revision, s.revision
	if exists {
		o.Metadata.Created = known.Metadata.Created
	}
	if o.Metadata.Finalizers == nil {
		o.Metadata.Finalizers = []string{}
	}
	if o.Status == nil {
		o.Status = known.Status
	}
	s.kinds[kind][o.Metadata.Name] = o
	s.emit(event{kind: kind, revision: s.revision, Object: o})
	return o
}

func (s *store) delete(kind, name string) {
	known, exists := s.kinds[kind][name]
	if !exists {
		return
	}
	s.revision++
	delete(s.kinds[kind], name)
	s.emit(event{kind: kind, revision: s.revision, Deleted: true, Object: known})
}

func (s *store) emit(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(s.delay)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	status, answer := s.answer(r, body)
	w.WriteHeader(status)
	if answer != nil {
		_ = json.NewEncoder(w).Encode(answer)
	}
}

func (s *store) answer(r *http.Request, body []byte) (int, any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	path, found := strings.CutPrefix(r.URL.Path, objectsPath)
	switch {
	case s.down:
		return http.StatusServiceUnavailable, nil
	case !found:
		return http.StatusNotFound, nil
	}
	kind, name, named := strings.Cut(path, "/")
	if r.Method == http.MethodGet && !named {
		if watch := r.URL.Query().Get("watch"); watch != "" {
			return s.watch(r, kind, watch)
		}
		return http.StatusOK, s.list(kind, r.URL.Query().Get("after"))
	}
	var sent object
	if len(body) > 0 && json.Unmarshal(body, &sent) != nil {
		return http.StatusBadRequest, nil
	}
	if revision, err := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64); err == nil {
		sent.Metadata.Revision = revision
	}
	if r.Method == http.MethodPost {
		if known, exists := s.kinds[kind][sent.Metadata.Name]; exists {
			return http.StatusConflict, known
		}
		return http.StatusCreated, s.write(kind, sent)
	}
	name, isStatus := strings.CutSuffix(name, "/status")
	known, exists := s.kinds[kind][name]
	switch {
	case !exists:
		return http.StatusNotFound, nil
	case r.Method == http.MethodGet:
		return http.StatusOK, known
	case sent.Metadata.Revision != 0 && sent.Metadata.Revision != known.Metadata.Revision:
		return http.StatusConflict, known
	case r.Method == http.MethodDelete:
		s.delete(kind, name)
		return http.StatusOK, known
	case isStatus:
		known.Status = sent.Status
		return http.StatusOK, s.write(kind, known)
	}
	sent.Metadata.Name = name
	return http.StatusOK, s.write(kind, sent)
}

type list struct {
	Items   []object `json:"items"`
	HasMore bool     `json:"has-more"`
	AsOf    uint64   `json:"as-of"`
}

func (s *store) list(kind, after string) list {
	var names []string
	for name := range s.kinds[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	answer := list{Items: []object{}, HasMore: len(names) > pageSize, AsOf: s.revision}
	for _, name := range names[:min(pageSize, len(names))] {
		answer.Items = append(answer.Items, s.kinds[kind][name])
	}
	return answer
}

// watch answers with the events of a kind after a revision, as soon as there are some. It is
// called, and returns, with the mutex held.
func (s *store) watch(r *http.Request, kind, after string) (int, any) {
	since, err := strconv.ParseUint(after, 10, 64)
	if err != nil {
		return http.StatusBadRequest, nil
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	timeout := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for {
		events := []event{}
		for _, e := range s.events {
			if e.kind == kind && e.revision > since {
				events = append(events, e)
			}
		}
		if len(events) > 0 {
			return http.StatusOK, map[string]any{"events": events, "as-of": s.revision}
		}
		changed, ended := s.changed, false
		s.mutex.Unlock()
		select {
		case <-changed:
		case <-timeout:
			ended = true
		case <-r.Context().Done():
			ended = true
		}
		s.mutex.Lock()
		if ended {
			return http.StatusOK, map[string]any{"events": events, "as-of": s.revision}
		}
	}
}
