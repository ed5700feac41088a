package main

import (
	"bytes"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
)

const (
	objectsPath = "/toucanhitch/objects/"
	pageSize    = 500
)

// Store is a stand-in of the platform's store.
type Store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]*object
	server   *http.Server
	// era is what the store names in Store-Era. away is set while it answers nothing.
	era  int
	away bool
	copy map[string]map[string]*object
	// copyRevision is the revision of the copy.
	copyRevision uint64
}

type metadata struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
}

// NewStore serves an empty store on a listener.
func NewStore(listener net.Listener) *Store {
	s := &Store{era: 1, revision: 100, objects: map[string]map[string]*object{}}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(listener) }()
	return s
}

// Write stores an object for the operator or a replica.
func (s *Store) Write(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, data)
}

// Remove removes an object.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[kind][name] != nil {
		s.revision++
		delete(s.objects[kind], name)
	}
}

// Copy keeps a copy of the store.
func (s *Store) Copy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copy, s.copyRevision = map[string]map[string]*object{}, s.revision
	for kind, objects := range s.objects {
		s.copy[kind] = maps.Clone(objects)
	}
}

// SetAway sets whether the store answers nothing.
func (s *Store) SetAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
}

// Restore replaces what the store has by its copy.
func (s *Store) Restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects, s.revision, s.away = s.copy, s.copyRevision, false
	s.era++
}

// Names returns the names of the objects of a kind.
func (s *Store) Names(kind string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.objects[kind]))
}

func (s *Store) put(kind, name string, spec []byte) *object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*object{}
	}
	known := s.objects[kind][name]
	if known != nil && bytes.Equal(known.Spec, spec) {
		return known
	}
	s.revision++
	stored := &object{Metadata: metadata{name, s.revision}, Spec: slices.Clone(spec)}
	s.objects[kind][name] = stored
	return stored
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	rest, ok := strings.CutPrefix(r.URL.Path, objectsPath)
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, _ := strings.Cut(rest, "/")
	name = strings.TrimSuffix(name, "/status")
	var body object
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	if r.Method == http.MethodPost {
		name = body.Metadata.Name
	}
	condition := body.Metadata.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		condition, _ = strconv.ParseUint(text, 10, 64)
	}
	known := s.objects[kind][name]
	switch {
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind, r.URL.Query().Get("after"))
	case r.Method == http.MethodPost && known == nil:
		answer(w, http.StatusCreated, s.put(kind, name, body.Spec))
	case r.Method == http.MethodPost:
		answer(w, http.StatusConflict, known)
	case known == nil:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodGet:
		answer(w, http.StatusOK, known)
	case condition != 0 && condition != known.Metadata.Revision:
		answer(w, http.StatusConflict, known)
	case r.Method == http.MethodPut:
		answer(w, http.StatusOK, s.put(kind, name, body.Spec))
	case r.Method == http.MethodDelete:
		s.revision++
		delete(s.objects[kind], name)
		w.WriteHeader(http.StatusOK)
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

func (s *Store) list(w http.ResponseWriter, kind, after string) {
	var names []string
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	page := struct {
		Items   []*object `json:"items"`
		HasMore bool      `json:"has-more"`
		AsOf    uint64    `json:"as-of"`
	}{Items: []*object{}, HasMore: len(names) > pageSize, AsOf: s.revision}
	for _, name := range names[:min(pageSize, len(names))] {
		page.Items = append(page.Items, s.objects[kind][name])
	}
	answer(w, http.StatusOK, page)
}

func answer(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
