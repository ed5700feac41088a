package emulator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
)

// fleetObjectsPath is the path of the object API of the users' platform.
const fleetObjectsPath = "/toucanhitch/objects/"

// FleetStore is a stand-in for the object API of the users' platform.
type FleetStore struct {
	executor *executor
	clock    clockwork.Clock
	// era is the number of the copy from which the store runs. It rises with each
	// restoration.
	era      uint64
	revision uint64
	kinds    map[string]map[string]fleetObject
	changes  []fleetChange
	// lostWrites are those that a restoration has lost and that are to be repeated.
	lostWrites []fleetWrite
	faults     StoreFaults
	calls      int
}

// StoreFaults are the faults of the store.
type StoreFaults struct {
	// Busy answers every call with 503, and Silent answers none.
	Busy, Silent bool
	// Delay is added before each answer.
	Delay time.Duration
	// LoseEvery executes a write but does not answer it if its number among all
	// calls is a multiple of LoseEvery; 0 loses no answer.
	LoseEvery int
}

type fleetMetadata struct {
	Name            string   `json:"name"`
	Revision        uint64   `json:"revision"`
	Created         uint64   `json:"created"`
	Finalizers      []string `json:"finalizers"`
	DeletionPending bool     `json:"deletion-pending"`
}

type fleetObject struct {
	Metadata fleetMetadata   `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// NewFleetStore returns an empty store that runs until ctx ends.
func NewFleetStore(ctx context.Context, clock clockwork.Clock) *FleetStore {
	return &FleetStore{executor: newExecutor(ctx), clock: clock, era: 1, revision: 1, kinds: map[string]map[string]fleetObject{}}
}

// SetFaults replaces the store's faults.
func (s *FleetStore) SetFaults(faults StoreFaults) { s.executor.do(func() { s.faults = faults }) }

// Put writes an object without a version check, as the operator or a replica
// does.
func (s *FleetStore) Put(kind, name string, spec any) {
	encoded, err := json.Marshal(spec)
	if err != nil {
		panic(err) // specs are literals of the stand-ins
	}
	s.executor.do(func() { s.write(kind, fleetObject{Metadata: fleetMetadata{Name: name}, Spec: encoded}, true) })
}

// Remove deletes an object without a version check.
func (s *FleetStore) Remove(kind, name string) {
	s.executor.do(func() { s.delete(kind, name, true) })
}

// Calls returns the number of calls since the start.
func (s *FleetStore) Calls() (calls int) {
	s.executor.do(func() { calls = s.calls })
	return calls
}

// write stores an object. external is set for writes of the operator and of replicas.
func (s *FleetStore) write(kind string, object fleetObject, external bool) fleetObject {
	if external {
		s.supersede(kind, object.Metadata.Name)
	}
	s.record(kind, object.Metadata.Name, external)
	s.revision++
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]fleetObject{}
	}
	object.Metadata.Revision = s.revision
	s.kinds[kind][object.Metadata.Name] = object
	return object
}

func (s *FleetStore) delete(kind, name string, external bool) {
	if external {
		s.supersede(kind, name)
	}
	if _, exists := s.kinds[kind][name]; !exists {
		return
	}
	s.record(kind, name, external)
	delete(s.kinds[kind], name)
	s.revision++
}

// ServeHTTP implements http.Handler.
func (s *FleetStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	var faults StoreFaults
	var callNumber int
	s.executor.do(func() {
		s.calls++
		faults, callNumber = s.faults, s.calls
	})
	if faults.Silent {
		<-r.Context().Done()
		return
	}
	if faults.Busy {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if faults.Delay > 0 {
		s.clock.Sleep(faults.Delay)
	}
	status, answer := http.StatusNotFound, any(nil)
	s.executor.do(func() {
		w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
		status, answer = s.serve(r, body)
	})
	if r.Method != http.MethodGet && faults.LoseEvery > 0 && callNumber%faults.LoseEvery == 0 {
		<-r.Context().Done()
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if answer != nil {
		_ = json.NewEncoder(w).Encode(answer)
	}
}

func (s *FleetStore) serve(r *http.Request, body []byte) (int, any) {
	path, ok := strings.CutPrefix(r.URL.Path, fleetObjectsPath)
	if !ok {
		return http.StatusNotFound, nil
	}
	kind, name, named := strings.Cut(path, "/")
	var sent fleetObject
	if len(body) > 0 && json.Unmarshal(body, &sent) != nil {
		return http.StatusBadRequest, nil
	}
	if revision, err := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64); err == nil {
		sent.Metadata.Revision = revision
	}
	switch {
	case r.Method == http.MethodGet && !named:
		return s.list(kind, r.URL.Query().Get("after"))
	case r.Method == http.MethodPost:
		if found, exists := s.kinds[kind][sent.Metadata.Name]; exists {
			return http.StatusConflict, found
		}
		return http.StatusOK, s.write(kind, sent, false)
	}
	found, exists := s.kinds[kind][name]
	switch {
	case !exists:
		return http.StatusNotFound, nil
	case r.Method == http.MethodGet:
		return http.StatusOK, found
	case sent.Metadata.Revision != 0 && sent.Metadata.Revision != found.Metadata.Revision:
		return http.StatusConflict, found
	case r.Method == http.MethodDelete:
		s.delete(kind, name, false)
		return http.StatusOK, found
	}
	sent.Metadata.Name = name
	return http.StatusOK, s.write(kind, sent, false)
}

// fleetPageSize is the number of objects in a page of a list. It is small, so
// that lists of a few replicas need several pages.
const fleetPageSize = 3

type fleetList struct {
	Items   []fleetObject `json:"items"`
	HasMore bool          `json:"has-more"`
	AsOf    uint64        `json:"as-of"`
}

func (s *FleetStore) list(kind, after string) (int, any) {
	var names []string
	for name := range s.kinds[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	list := fleetList{Items: []fleetObject{}, HasMore: len(names) > fleetPageSize, AsOf: s.revision}
	for _, name := range names[:min(fleetPageSize, len(names))] {
		list.Items = append(list.Items, s.kinds[kind][name])
	}
	return http.StatusOK, list
}
