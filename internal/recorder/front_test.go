package recorder

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/ranker"
)

var errDown = merry.Sentinel("node is down")

var intent = filter.Intent{
	Workspace: "riders", Identity: "lesson-42", Operation: "op", Digest: strings.Repeat("d", 64),
}

// fakeNodes holds the handler of each node and the operations that were sent to
// it.
type fakeNodes struct {
	handlers map[string]func(context.Context) (Result, error)
	requests []string
	ranking  []string // best writer first
}

func newFakeNodes() *fakeNodes {
	key := "Intents/" + strconv.Itoa(BucketOf(newOperation(intent, Begin{}).Key))
	return &fakeNodes{
		handlers: map[string]func(context.Context) (Result, error){},
		ranking:  ranker.Rank(key, []string{"n1", "n2", "n3"}),
	}
}

func (n *fakeNodes) execute(ctx context.Context, name string, operation Operation) (Result, error) {
	n.requests = append(n.requests, name+" "+actionName(operation.Action))
	return n.handlers[name](ctx)
}

func actionName(action Action) string {
	switch action.(type) {
	case Begin:
		return "Begin"
	case Finish:
		return "Finish"
	default:
		return "Abandon"
	}
}

// recorder returns the Recorder of the node with the second rank.
func (n *fakeNodes) recorder() Recorder {
	self := n.ranking[1]
	return Recorder{
		Clock: clockwork.NewRealClock(),
		Self:  self,
		Nodes: func() map[string]string { return map[string]string{"n1": "n1", "n2": "n2", "n3": "n3"} },
		Local: func(ctx context.Context, operation Operation) (Result, error) {
			return n.execute(ctx, self, operation)
		},
		Remote: n.execute,
	}
}

func returning(result Result, err error) func(context.Context) (Result, error) {
	return func(context.Context) (Result, error) { return result, err }
}

func noReply(ctx context.Context) (Result, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// Guards against refusing a call that the second writer could record, and
// against a writer that does not respond and delays a call beyond
// writerTimeout.
func TestSecondWriterIsTried(t *testing.T) {
	for name, first := range map[string]func(context.Context) (Result, error){
		"unreachable": returning(nil, errDown), "failed": returning(Failed{"full"}, nil), "silent": noReply,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				nodes := newFakeNodes()
				nodes.handlers[nodes.ranking[0]] = first
				nodes.handlers[nodes.ranking[1]] = returning(Done{filter.Fresh{}}, nil)
				started := time.Now()
				record, err := nodes.recorder().Begin(t.Context(), intent, started.Add(time.Minute))
				if err != nil || record != (filter.Fresh{}) {
					t.Fatalf("begin: %#v, %v; want Fresh", record, err)
				}
				if want := []string{nodes.ranking[0] + " Begin", nodes.ranking[1] + " Begin"}; !slices.Equal(nodes.requests, want) {
					t.Errorf("requests %v; want %v", nodes.requests, want)
				}
				if took := time.Since(started); took > writerTimeout {
					t.Errorf("took %s; want at most %s", took, writerTimeout)
				}
			})
		})
	}
}

// Guards against a refusal without the state "not run" although nothing was
// sent, and against an intent that remains recorded after the refusal.
func TestRefusedBeginIsAbandoned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := newFakeNodes()
		for _, name := range nodes.ranking {
			nodes.handlers[name] = returning(Failed{"the object API is down"}, nil)
		}
		_, err := nodes.recorder().Begin(t.Context(), intent, time.Now().Add(time.Minute))
		var refused filter.Refusal
		if !errors.As(err, &refused) || refused.Reason != filter.JournalUnavailable || refused.Run != filter.NotRun {
			t.Errorf("begin: %v; want %s, %s", err, filter.JournalUnavailable, filter.NotRun)
		}
		synctest.Wait()
		if !slices.Contains(nodes.requests, nodes.ranking[0]+" Abandon") {
			t.Errorf("requests %v; want Abandon at %s", nodes.requests, nodes.ranking[0])
		}
	})
}

// Guards against sending a call whose identity belongs to another call, and
// against retrying it at the second writer.
func TestMismatchIsRefused(t *testing.T) {
	nodes := newFakeNodes()
	nodes.handlers[nodes.ranking[0]] = returning(Mismatch{}, nil)
	_, err := nodes.recorder().Begin(t.Context(), intent, time.Now().Add(time.Minute))
	var refused filter.Refusal
	if !errors.As(err, &refused) || refused.Reason != filter.IdentityReused || refused.Run != filter.NotRun {
		t.Errorf("begin: %v; want %s, %s", err, filter.IdentityReused, filter.NotRun)
	}
	if len(nodes.requests) != 1 {
		t.Errorf("requests %v; want one writer", nodes.requests)
	}
}

// Guards against reporting an outcome as recorded although no writer could
// record it, and against reporting an intent as abandoned although it was not.
func TestUnrecordedOutcomeIsAnError(t *testing.T) {
	nodes := newFakeNodes()
	nodes.handlers[nodes.ranking[0]] = returning(nil, errDown)
	nodes.handlers[nodes.ranking[1]] = returning(Failed{"down"}, nil)
	if err := nodes.recorder().Finish(t.Context(), intent, filter.Reply{Status: 200}); !errors.Is(err, ErrUnrecorded) {
		t.Errorf("finish: %v; want %v", err, ErrUnrecorded)
	}
	nodes.handlers[nodes.ranking[0]] = returning(Done{filter.Uncertain{}}, nil)
	if err := nodes.recorder().Abandon(t.Context(), intent); !errors.Is(err, ErrUnrecorded) {
		t.Errorf("abandon: %v; want %v", err, ErrUnrecorded)
	}
}

// Guards against recording reply bodies larger than MaxBodyBytes.
func TestLargeReplyIsRecordedWithoutBody(t *testing.T) {
	nodes := newFakeNodes()
	recorder := nodes.recorder()
	var recorded filter.Reply
	recorder.Remote = func(_ context.Context, _ string, operation Operation) (Result, error) {
		recorded = operation.Action.(Finish).Reply
		return Done{filter.Known{}}, nil
	}
	reply := filter.Reply{Status: 201, ContentType: "text/plain", Body: make([]byte, MaxBodyBytes+1)}
	if err := recorder.Finish(t.Context(), intent, reply); err != nil {
		t.Fatal(err)
	}
	if recorded.Status != 201 || recorded.Body != nil || recorded.ContentType != "" {
		t.Errorf("recorded %d %q with %d bytes; want 201 without a body", recorded.Status, recorded.ContentType, len(recorded.Body))
	}
}
