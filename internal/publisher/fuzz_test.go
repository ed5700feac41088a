package publisher_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"toucanhitch.example/toucanhitch/internal/publisher"
	"toucanhitch.example/toucanhitch/internal/storer"
	"toucanhitch.example/toucanhitch/internal/tester"
	"toucanhitch.example/toucanhitch/pkg/parser"
	"toucanhitch.example/toucanhitch/pkg/releaser"
)

// contest is a log to which several operators write at once.
type contest struct {
	*storer.Memory
	t       *rapid.T
	depth   int
	count   int
	results map[string]error // by name of the change
}

// Put lets other operators make changes before the write, and draws a fault.
func (c *contest) Put(ctx context.Context, id storer.ID, ifVersion uint64, data []byte) (storer.Object, error) {
	if c.depth < 2 && rapid.IntRange(0, 4).Draw(c.t, "race") == 0 {
		c.submit(ctx)
	}
	faults := rapid.SampledFrom([]storer.MemoryFaults{
		{}, {}, {}, {}, {}, {}, {LoseReplies: 1}, {LoseReplies: 1}, {Conflicts: 1}, {Outage: true},
	}).Draw(c.t, "fault")
	c.SetFaults(faults)
	object, err := c.Memory.Put(ctx, id, ifVersion, data)
	c.SetFaults(storer.MemoryFaults{})
	if err != nil && c.depth < 2 && rapid.IntRange(0, 2).Draw(c.t, "race after") == 0 {
		c.submit(ctx)
	}
	if rapid.IntRange(0, 19).Draw(c.t, "outage") == 0 {
		c.SetFaults(storer.MemoryFaults{Outage: true})
	}
	return object, err
}

func (c *contest) submit(ctx context.Context) {
	c.SetFaults(storer.MemoryFaults{})
	c.depth++
	defer func() { c.depth-- }()
	c.count++
	name := fmt.Sprint("c", c.count)
	_, err := operator(c, name).Submit(ctx, c.body(ctx, name))
	c.results[name] = err
}

func (c *contest) body(ctx context.Context, name string) releaser.Body {
	log, err := publisher.Publisher{Store: c.Memory}.Read(ctx)
	if err != nil {
		c.t.Fatal(err)
	}
	switch rapid.IntRange(0, 5).Draw(c.t, "body") {
	case 0:
		return note(log.Configuration.NoteVersion, name, 0)
	case 1:
		// A large change, so that a few of them are compacted.
		return grant(name + strings.Repeat("x", 30<<10))
	default:
		return grant(name)
	}
}

// nameOf returns the name that a change was given by its body.
func nameOf(change releaser.Change) string {
	switch body := change.Body.(type) {
	case releaser.ApplyNote:
		return body.Note.Name
	case releaser.GrantKey:
		return strings.TrimRight(body.Grant.ID, "x")
	default:
		return ""
	}
}

func (c *contest) check(ctx context.Context) {
	c.SetFaults(storer.MemoryFaults{})
	by := publisher.Publisher{Store: c.Memory}
	changes, err := by.Audit(ctx, 0)
	if err != nil {
		c.t.Fatal(err)
	}
	made := map[string]int{}
	naive := releaser.Empty()
	for number, change := range changes {
		made[nameOf(change)]++
		if change.Version != uint64(number+1) {
			c.t.Fatalf("change %d of the audit has version %d", number+1, change.Version)
		}
		if naive, err = releaser.Apply(naive, change.Body); err != nil {
			c.t.Fatal(err)
		}
	}
	for name, result := range c.results {
		switch count := made[name]; {
		case result == nil && count != 1:
			c.t.Fatalf("%s was accepted and is in the log %d times", name, count)
		case errors.Is(result, storer.ErrUncertain) && count > 1:
			c.t.Fatalf("%s is in the log %d times", name, count)
		case result != nil && !errors.Is(result, storer.ErrUncertain) && count > 0:
			c.t.Fatalf("%s was refused (%v) and is in the log", name, result)
		}
	}
	log, err := by.Read(ctx)
	if err != nil {
		c.t.Fatal(err)
	}
	if string(parser.EncodeConfiguration(log.Configuration)) != string(parser.EncodeConfiguration(naive)) {
		c.t.Fatalf("the log's configuration at version %d differs from the naive one", log.Configuration.Version)
	}
}

// Guards against changes that are lost, made twice, applied out of order or
// reported wrongly when operators race and the object API fails, with
// compactions in between.
func TestRacingOperators(t *testing.T) {
	tester.CheckN(t, 4, 7, func(rt *rapid.T) {
		c := &contest{Memory: newStore(), t: rt, results: map[string]error{}}
		_, c.results["riders"] = operator(c.Memory, "first").Submit(t.Context(), note(0, "riders", 0))
		for range rapid.IntRange(1, 12).Draw(rt, "changes") {
			c.submit(t.Context())
		}
		c.check(t.Context())
	})
}

var _ storer.Store = (*contest)(nil)
