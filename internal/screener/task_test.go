package screener

import (
	"context"
	"errors"
	"testing"

	"github.com/jonboulle/clockwork"
)

// TestRequestsAwaitTheRecords guards against a request that is forwarded before the node knows
// the quarantines from before its start, and against one that waits although its caller has gone.
func TestRequestsAwaitTheRecords(t *testing.T) {
	task := New(Settings{Node: "n1", Clock: clockwork.NewFakeClock(), Log: func(Note) {}, LogError: func(err error) { t.Error(err) }})
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() { ended <- task.Run(ctx) }()
	defer func() {
		stop()
		<-ended
	}()
	caller, leave := context.WithCancel(t.Context())
	leave()
	if err := task.Await(caller); !errors.Is(err, context.Canceled) {
		t.Errorf("error %v before the records are known, want %v", err, context.Canceled)
	}
	if err := task.Post(RecordsRead{Records: []Record{{Trait: "a", Quarantined: true, Remaining: quarantineTime}}}); err != nil {
		t.Fatal(err)
	}
	if err := task.Await(t.Context()); err != nil {
		t.Fatal(err)
	}
	if trait, remaining := task.Quarantined(Subject{Parts: []string{"a"}}); trait != "a" || remaining != quarantineTime {
		t.Errorf("trait %q is refused for %v after the wait, want a for %v", trait, remaining, quarantineTime)
	}
}
