package placer

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/storer"
	"toucanhitch.example/toucanhitch/internal/tracker"
	"toucanhitch.example/toucanhitch/pkg/releaser"
)

// fakeStore keeps one object.
type fakeStore struct {
	storer.Store
	mutex  sync.Mutex
	object storer.Object
	fail   error
}

func (s *fakeStore) Get(context.Context, storer.ID) (storer.Object, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.object.Version == 0 {
		return storer.Object{}, storer.ErrNotFound
	}
	return s.object, nil
}

func (s *fakeStore) Put(_ context.Context, id storer.ID, ifVersion uint64, data []byte) (storer.Object, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.fail != nil {
		err := s.fail
		s.fail = nil
		return storer.Object{}, err
	}
	if ifVersion != s.object.Version {
		return storer.Object{}, storer.ErrConflict
	}
	s.object = storer.Object{ID: id, Version: ifVersion + 1, Data: data}
	return s.object, nil
}

// fakeSender notes the orders and what the object held when they came.
type fakeSender struct {
	mutex  sync.Mutex
	store  *fakeStore
	orders []Order
	stored []Placement
}

func (s *fakeSender) Send(ctx context.Context, order Order) OrderAnswered {
	object, _ := s.store.Get(ctx, storer.ID{})
	placement, _ := Decode(object.Data)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.orders = append(s.orders, order)
	s.stored = append(s.stored, placement)
	return answerTo(order, Accepted)
}

// TestTaskWritesBeforeItOrders guards against a task that mixes up the results
// of the store, and against an order that goes out before its decision is in
// the object. The first writes end in each of the store's errors.
func TestTaskWritesBeforeItOrders(t *testing.T) {
	for _, fault := range []error{nil, storer.ErrConflict, storer.ErrUncertain, storer.ErrUnavailable} {
		synctest.Test(t, func(t *testing.T) {
			store := &fakeStore{fail: fault}
			sender := &fakeSender{store: store}
			runTask(t, store, sender)
			if len(sender.orders) != 1 {
				t.Fatalf("%v: %d orders; want 1", fault, len(sender.orders))
			}
			order := sender.orders[0]
			entry, ok := sender.stored[0].Endpoints[order.Endpoint].Find(order.Key)
			if !ok || entry.Fence != order.Fence || entry.State != tracker.Loading {
				t.Errorf("%v: the object held %+v when %+v went out", fault, entry, order)
			}
		})
	}
}

func runTask(t *testing.T, store *fakeStore, sender *fakeSender) {
	t.Helper()
	task := NewTask(TaskSettings{
		Clock: clockwork.NewRealClock(), Placer: DefaultSettings("r", 3), Store: store, Sender: sender,
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = task.Run(ctx) }()
	models := map[string]releaser.Model{"m@1": {MemoryMB: 10, Replicas: 1}}
	instance := tracker.Instance{Name: "e1", Kind: tracker.Engine, Region: "r", Phase: tracker.Live, MemoryMB: 100}
	report := &tracker.Report{Sequence: 1, Measured: time.Now()}
	fleet := tracker.Fleet{ListVersion: 1, Endpoints: []tracker.Endpoint{{Instance: instance, Report: report}}}
	for _, message := range []Message{
		ConfigurationChanged{Configuration: configuration(1, models, nil)},
		FleetChanged{Fleet: fleet},
		LeaseHeld{Epoch: 1, Until: time.Now().Add(time.Minute)},
		Demand{Node: "n", Model: "m@1", Class: filter.Interactive, Waiting: 1, EarliestDeadline: time.Now()},
	} {
		if err := task.Post(message); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(2 * time.Second)
	synctest.Wait()
}

// TestSenderOutcomes guards against an order that counts as refused although
// it may have arrived, and against an order sent after its lease.
func TestSenderOutcomes(t *testing.T) {
	cases := []struct {
		status int
		body   string
		want   Outcome
	}{
		{http.StatusAccepted, "", Accepted},
		{http.StatusConflict, `{"Error":"StaleFence","Fence":7}`, StaleFence},
		{http.StatusInsufficientStorage, `{"Error":"NoMemory"}`, NoMemory},
		{http.StatusForbidden, `{"Error":"UnknownSender"}`, Refused},
		{http.StatusBadGateway, "", Uncertain},
	}
	sender, cleanUp := NewHTTPSender(clockwork.NewRealClock(), "secret", time.Second)
	defer cleanUp()
	order := Order{Kind: LoadModel, Endpoint: "e1", Key: Key{Model: "m@1"}, MemoryMB: 5, Fence: 9, Until: time.Now().Add(time.Hour)}
	for _, c := range cases {
		var got map[string]any
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get(tokenHeader) != "secret" || r.URL.Path != "/v1/orders" {
				t.Errorf("%s with header %v", r.URL.Path, r.Header)
			}
			_ = json.NewDecoder(r.Body).Decode(&got)
			w.WriteHeader(c.status)
			_, _ = w.Write([]byte(c.body))
		}))
		order.Address = strings.TrimPrefix(server.URL, "http://")
		answered := sender.Send(t.Context(), order)
		server.Close()
		if answered.Outcome != c.want {
			t.Errorf("status %d: %s; want %s", c.status, answered.Outcome, c.want)
		}
		want := map[string]any{"Order": "LoadModel", "Model": "m", "Version": "1", "MemoryMB": 5.0, "Fence": 9.0}
		if !reflect.DeepEqual(got, want) {
			t.Errorf("the endpoint got %v; want %v", got, want)
		}
	}
	// A pooled connection that breaks is uncertain: this sender has none.
	fresh, cleanUpFresh := NewHTTPSender(clockwork.NewRealClock(), "secret", time.Second)
	defer cleanUpFresh()
	if answered := fresh.Send(t.Context(), order); answered.Outcome != NotSent {
		t.Errorf("closed endpoint: %s; want %s", answered.Outcome, NotSent)
	}
	order.Until = time.Now()
	if answered := sender.Send(t.Context(), order); answered.Outcome != NotSent {
		t.Errorf("ended lease: %s; want %s", answered.Outcome, NotSent)
	}
}

// TestCodecRoundTrip guards against a decided state that a successor reads
// differently.
func TestCodecRoundTrip(t *testing.T) {
	want := Placement{Epoch: 3, ListVersion: 4, Configuration: 5, Endpoints: map[string]EndpointPlacement{
		"e1": {MemoryMB: 10, Entries: []Entry{
			{Key: Key{Model: "m@1"}, MemoryMB: 5, Tier: tracker.Disk, Fence: Fence(3, 1), State: tracker.Loaded, Since: time.Unix(9, 0).UTC()},
			{Key: Key{Model: "m@1", Adapter: "a@2"}, MemoryMB: 1, Fence: Fence(3, 2), State: tracker.Loading, Since: time.Unix(9, 0).UTC()},
		}},
	}}
	got, err := Decode(Encode(want))
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("decoded %+v, %v; want %+v", got, err, want)
	}
}
