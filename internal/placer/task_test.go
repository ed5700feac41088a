package placer

import (
	"context"
	"reflect"
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

// fakeStore is a store with a single object whose next Put can be made to
// fail.
type fakeStore struct {
	storer.Store
	mutex    sync.Mutex
	object   storer.Object
	putError error
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
	if s.putError != nil {
		err := s.putError
		s.putError = nil
		return storer.Object{}, err
	}
	if ifVersion != s.object.Version {
		return storer.Object{}, storer.ErrConflict
	}
	s.object = storer.Object{ID: id, Version: ifVersion + 1, Data: data}
	return s.object, nil
}

// fakeSender records the orders and the placement that was stored when each
// was sent.
type fakeSender struct {
	mutex      sync.Mutex
	store      *fakeStore
	orders     []Order
	placements []Placement
}

func (s *fakeSender) Send(ctx context.Context, order Order) OrderAnswered {
	object, _ := s.store.Get(ctx, storer.ID{})
	placement, _ := Decode(object.Data)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.orders = append(s.orders, order)
	s.placements = append(s.placements, placement)
	return orderAnswer(order, Accepted)
}

// TestTaskWritesBeforeItOrders guards against a task that confuses the results
// of the store, and against an order that is sent before its decision is
// stored. The first write returns each of the store's errors in turn.
func TestTaskWritesBeforeItOrders(t *testing.T) {
	for _, fault := range []error{nil, storer.ErrConflict, storer.ErrUncertain, storer.ErrUnavailable} {
		synctest.Test(t, func(t *testing.T) {
			store := &fakeStore{putError: fault}
			sender := &fakeSender{store: store}
			runTask(t, store, sender)
			if len(sender.orders) != 1 {
				t.Fatalf("%v: %d orders; want 1", fault, len(sender.orders))
			}
			order := sender.orders[0]
			entry, ok := sender.placements[0].Endpoints[order.Endpoint].Find(order.Key)
			if !ok || entry.Fence != order.Fence || entry.State != tracker.Loading {
				t.Errorf("%v: the stored entry was %+v when %+v was sent", fault, entry, order)
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
		ConfigurationChanged{Configuration: newConfiguration(1, models, nil)},
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

// TestCodecRoundTrip guards against a decided state that the next holder
// decodes differently.
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
