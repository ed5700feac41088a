package publisher_test

import (
	"context"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/configurer"
	"toucanhitch.example/toucanhitch/internal/publisher"
	"toucanhitch.example/toucanhitch/internal/storer"
	"toucanhitch.example/toucanhitch/pkg/parser"
	"toucanhitch.example/toucanhitch/pkg/releaser"
)

// beforePutStore is a store that runs a hook before each write.
type beforePutStore struct {
	*storer.Memory
	beforePut func(id storer.ID)
}

func (s beforePutStore) Put(ctx context.Context, id storer.ID, ifVersion uint64, data []byte) (storer.Object, error) {
	if s.beforePut != nil {
		s.beforePut(id)
	}
	return s.Memory.Put(ctx, id, ifVersion, data)
}

func newStore() *storer.Memory { return storer.NewMemory(clockwork.NewRealClock()) }

func newOperator(store storer.Store, name string) publisher.Publisher {
	return publisher.Publisher{Store: store, Clock: clockwork.NewRealClock(), Actor: name}
}

// padding makes names long, so that few entries make a large change.
var padding = strings.Repeat("x", 80)

// newNote returns a note that adds a workspace with the note's name, and further
// workspaces until the note has about size bytes.
func newNote(base uint64, name string, size int) releaser.ApplyNote {
	note := releaser.Note{Name: name, Base: base}
	for number := 0; number == 0 || number*140 < size; number++ {
		workspace := releaser.Workspace{Name: name, Rate: 10, Burst: 20}
		if number > 0 {
			workspace.Name = fmt.Sprintf("%s-%d-%s", name, number, padding)
		}
		note.Workspaces = append(note.Workspaces, releaser.WorkspaceEntry{Action: releaser.Add, Workspace: workspace})
	}
	return releaser.ApplyNote{Note: note}
}

func newGrant(id string) releaser.GrantKey {
	return releaser.GrantKey{Grant: releaser.Grant{ID: id, Workspace: "riders", Digest: releaser.Digest(id)}}
}

func submit(t *testing.T, operator publisher.Publisher, body releaser.Body) releaser.Change {
	t.Helper()
	change, err := operator.Submit(t.Context(), body)
	if err != nil {
		t.Fatalf("submit %T: %v", body, err)
	}
	return change
}

// checkLog checks that the audit has the wanted changes with consecutive versions
// and that the log's configuration equals a replay of all changes.
func checkLog(t *testing.T, operator publisher.Publisher, want []string) {
	t.Helper()
	changes, err := operator.Audit(t.Context(), 0)
	if err != nil {
		t.Fatal(err)
	}
	var ids []string
	for number, change := range changes {
		ids = append(ids, change.ID)
		if change.Version != uint64(number+1) {
			t.Errorf("change %d of the audit has version %d", number+1, change.Version)
		}
	}
	if want != nil && !reflect.DeepEqual(ids, want) {
		t.Errorf("audit has the changes %v; want %v", ids, want)
	}
	replayed, err := releaser.Replay(releaser.Empty(), changes)
	if err != nil {
		t.Fatal(err)
	}
	log, err := operator.Read(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if string(parser.EncodeConfiguration(log.Configuration)) != string(parser.EncodeConfiguration(replayed)) {
		t.Errorf("the log's configuration at version %d differs from the replay of all changes", log.Configuration.Version)
	}
}

// submitConcurrently submits two bodies concurrently: b is accepted after the
// publisher of a has read the log and before it writes the head.
func submitConcurrently(t *testing.T, a, b releaser.Body) (errA error) {
	t.Helper()
	store := newStore()
	second := newOperator(store, "second")
	submit(t, second, newNote(0, "riders", 0))
	submitted := false
	first := newOperator(beforePutStore{store, func(id storer.ID) {
		if id == configurer.HeadID && !submitted {
			submitted = true
			submit(t, second, b)
		}
	}}, "first")
	_, errA = first.Submit(t.Context(), a)
	checkLog(t, second, nil)
	return errA
}

// Guards against a note that silently undoes another operator's note.
func TestRacingNotesConflict(t *testing.T) {
	if err := submitConcurrently(t, newNote(1, "a", 0), newNote(1, "b", 0)); !errors.Is(err, releaser.ErrConflict) {
		t.Errorf("the second note: %v; want %v", err, releaser.ErrConflict)
	}
}

// Guards against a key that is refused because another one was granted, or a
// note accepted, at the same time.
func TestRacingKeysBothSucceed(t *testing.T) {
	for name, other := range map[string]releaser.Body{"key": newGrant("b"), "note": newNote(1, "b", 0)} {
		if err := submitConcurrently(t, newGrant("a"), other); err != nil {
			t.Errorf("a key that races with a %s: %v", name, err)
		}
	}
}

// Guards against a change that is applied twice or reported as failed when the
// reply to a write is lost. The write is one of the head or of any object that a
// compaction writes.
func TestLostReplies(t *testing.T) {
	for _, kind := range []string{configurer.HeadID.Kind, configurer.PartKind, configurer.AuditKind} {
		t.Run(kind, func(t *testing.T) {
			store := newStore()
			plain := newOperator(store, "plain")
			want := []string{submit(t, plain, newNote(0, "riders", 0)).ID}
			want = append(want, submit(t, plain, newNote(1, "large", 70<<10)).ID)
			lostReplies := 0
			losing := newOperator(beforePutStore{store, func(id storer.ID) {
				if id.Kind == kind && lostReplies < 2 {
					lostReplies++
					store.SetFaults(storer.MemoryFaults{LoseReplies: 1})
				}
			}}, "losing")
			want = append(want, submit(t, losing, newGrant("a")).ID, submit(t, losing, newGrant("b")).ID)
			if lostReplies == 0 {
				t.Errorf("no write of %s", kind)
			}
			checkLog(t, plain, want)
		})
	}
}

// Guards against a change that is reported as a conflict or applied again when
// its reply was lost and the change has been compacted since.
func TestLostReplyOfCompactedChange(t *testing.T) {
	for _, body := range []releaser.Body{newGrant("a"), newNote(1, "a", 0), releaser.WithdrawKey{GrantID: "old"}} {
		store := newStore()
		other := newOperator(store, "other")
		submit(t, other, newNote(0, "riders", 0))
		submit(t, other, newGrant("old"))
		lost := false
		racing := newOperator(afterPutStore{store, func(err error) {
			if err == nil || lost {
				return
			}
			lost = true
			log, _ := other.Read(t.Context())
			submit(t, other, newNote(log.Configuration.NoteVersion, "large", 70<<10))
			submit(t, other, newGrant("late"))
		}}, "racing")
		store.SetFaults(storer.MemoryFaults{LoseReplies: 1})
		change, err := racing.Submit(t.Context(), body)
		if err != nil || change.Version != 3 {
			t.Errorf("%T: version %d, %v; want version 3", body, change.Version, err)
		}
		checkLog(t, other, nil)
	}
}

// afterPutStore is a store that runs a hook after each write.
type afterPutStore struct {
	*storer.Memory
	afterPut func(err error)
}

func (s afterPutStore) Put(ctx context.Context, id storer.ID, ifVersion uint64, data []byte) (storer.Object, error) {
	object, err := s.Memory.Put(ctx, id, ifVersion, data)
	s.afterPut(err)
	return object, err
}

// Guards against a change that may have been applied and is reported as refused,
// and against one that was certainly not applied and is reported as uncertain.
func TestOutageInTheMiddle(t *testing.T) {
	store := newStore()
	submit(t, newOperator(store, "plain"), newNote(0, "riders", 0))
	store.SetFaults(storer.MemoryFaults{Outage: true})
	if _, err := newOperator(store, "down").Submit(t.Context(), newGrant("a")); !errors.Is(err, storer.ErrUnavailable) {
		t.Errorf("outage before: %v; want %v", err, storer.ErrUnavailable)
	}
	store.SetFaults(storer.MemoryFaults{LoseReplies: 1})
	failing := newOperator(afterPutStore{store, func(error) { store.SetFaults(storer.MemoryFaults{Outage: true}) }}, "failing")
	if _, err := failing.Submit(t.Context(), newGrant("b")); !errors.Is(err, storer.ErrUncertain) {
		t.Errorf("outage after a lost reply: %v; want %v", err, storer.ErrUncertain)
	}
	store.SetFaults(storer.MemoryFaults{})
	checkLog(t, newOperator(store, "plain"), nil)
}

// Guards against a head that grows without bound, and against changes that a
// compaction loses, repeats or reorders.
func TestCompaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		operator := newOperator(store, "plain")
		want := []string{submit(t, operator, newNote(0, "riders", 0)).ID}
		for number := range 110 {
			want = append(want, submit(t, operator, newGrant(fmt.Sprint("key", number, strings.Repeat(padding, 8)))).ID)
			time.Sleep(time.Second)
			head, err := store.Get(t.Context(), configurer.HeadID)
			if err != nil || len(head.Data) > 65<<10 {
				t.Fatalf("the head has %d bytes, %v; want at most 64 KB of changes", len(head.Data), err)
			}
		}
		checkLog(t, operator, want)
	})
}

// Guards against failures after a first note that is larger than maxHeadBytes, so
// that there are no older changes to compact.
func TestLargeFirstNote(t *testing.T) {
	operator := newOperator(newStore(), "plain")
	want := []string{submit(t, operator, newNote(0, "riders", 100<<10)).ID}
	want = append(want, submit(t, operator, newGrant("a")).ID)
	checkLog(t, operator, want)
}

// Guards against an invalid change that is applied in part.
func TestInvalidChangeIsNotApplied(t *testing.T) {
	operator := newOperator(newStore(), "plain")
	invalid := newNote(0, "riders", 0)
	invalid.Note.Workspaces = append(invalid.Note.Workspaces, releaser.WorkspaceEntry{
		Action: releaser.Add, Workspace: releaser.Workspace{Name: strings.Repeat("x", 200), Rate: 1, Burst: 1},
	})
	if _, err := operator.Submit(t.Context(), invalid); !errors.Is(err, releaser.ErrInvalid) {
		t.Errorf("submit: %v; want %v", err, releaser.ErrInvalid)
	}
	if log, err := operator.Read(t.Context()); err != nil || log.Configuration.Version != 0 {
		t.Errorf("read: %+v, %v; want version 0", log, err)
	}
}
