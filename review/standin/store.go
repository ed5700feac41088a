package main

import (
	"bytes"
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

const (
	objectsPath = "/toucanhitch/objects/"
	// storePageSize is the number of objects in a page of a list.
	storePageSize = 500
	// storeDelay is the time that the store takes for an answer.
	storeDelay = 4 * time.Millisecond
)

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

// store is a stand-in for the platform's store. It has no watches, which the system
// does not use.
type store struct {
	mutex    sync.Mutex
	revision uint64
	kinds    map[string]map[string]object
	address  string
}

func startStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{revision: 1, kinds: map[string]map[string]object{}, address: listener.Addr().String()}
	go func() { _ = http.Serve(listener, s) }()
	return s, nil
}

// put writes an object as the operator or a replica does, and returns the time of the
// ack.
func (s *store) put(kind, name string, spec any) time.Time {
	encoded, err := json.Marshal(spec)
	if err != nil {
		panic(err) // specs are literals of this program
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.write(kind, object{Metadata: metadata{Name: name}, Spec: encoded})
	return time.Now()
}

// remove deletes an object.
func (s *store) remove(kind, name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, ok := s.kinds[kind][name]; ok {
		delete(s.kinds[kind], name)
		s.revision++
	}
}

func (s *store) write(kind string, written object) object {
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]object{}
	}
	known, exists := s.kinds[kind][written.Metadata.Name]
	if exists && bytes.Equal(known.Spec, written.Spec) {
		return known
	}
	s.revision++
	written.Metadata.Revision = s.revision
	written.Metadata.Created = s.revision
	if exists {
		written.Metadata.Created, written.Status = known.Metadata.Created, known.Status
	}
	s.kinds[kind][written.Metadata.Name] = written
	return written
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(storeDelay)
	s.mutex.Lock()
	status, answer := s.serve(r, body)
	s.mutex.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if answer != nil {
		_ = json.NewEncoder(w).Encode(answer)
	}
}

func (s *store) serve(r *http.Request, body []byte) (int, any) {
	path, ok := strings.CutPrefix(r.URL.Path, objectsPath)
	if !ok {
		return http.StatusNotFound, nil
	}
	kind, name, named := strings.Cut(path, "/")
	var sent object
	if len(body) > 0 && json.Unmarshal(body, &sent) != nil {
		return http.StatusBadRequest, nil
	}
	if revision, err := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64); err == nil {
		sent.Metadata.Revision = revision
	}
	switch {
	case r.Method == http.MethodGet && !named:
		return http.StatusOK, s.list(kind, r.URL.Query().Get("after"))
	case r.Method == http.MethodPost:
		if known, exists := s.kinds[kind][sent.Metadata.Name]; exists {
			return http.StatusConflict, known
		}
		return http.StatusOK, s.write(kind, sent)
	}
	known, exists := s.kinds[kind][name]
	switch {
	case !exists:
		return http.StatusNotFound, nil
	case r.Method == http.MethodGet:
		return http.StatusOK, known
	case sent.Metadata.Revision != 0 && sent.Metadata.Revision != known.Metadata.Revision:
		return http.StatusConflict, known
	case r.Method == http.MethodDelete:
		delete(s.kinds[kind], name)
		s.revision++
		return http.StatusOK, known
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
	result := list{Items: []object{}, HasMore: len(names) > storePageSize, AsOf: s.revision}
	for _, name := range names[:min(storePageSize, len(names))] {
		result.Items = append(result.Items, s.kinds[kind][name])
	}
	return result
}
