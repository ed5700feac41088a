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

// contendedStore is a store in which other operators submit changes while a
// change is being written.
type contendedStore struct {
	*storer.Memory
	t *rapid.T
	// depth is the number of submissions in progress, one inside the other.
	depth     int
	submitted int
	results   map[string]error // by the change's name
}

// Put may submit changes of other operators before the write, or after it if it
// fails, and draws a fault.
func (c *contendedStore) Put(ctx context.Context, id storer.ID, ifVersion uint64, data []byte) (storer.Object, error) {
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

func (c *contendedStore) submit(ctx context.Context) {
	c.SetFaults(storer.MemoryFaults{})
	c.depth++
	defer func() { c.depth-- }()
	c.submitted++
	name := fmt.Sprint("c", c.submitted)
	_, err := newOperator(c, name).Submit(ctx, c.drawBody(ctx, name))
	c.results[name] = err
}

func (c *contendedStore) drawBody(ctx context.Context, name string) releaser.Body {
	log, err := publisher.Publisher{Store: c.Memory}.Read(ctx)
	if err != nil {
		c.t.Fatal(err)
	}
	switch rapid.IntRange(0, 5).Draw(c.t, "body") {
	case 0:
		return newNote(log.Configuration.NoteVersion, name, 0)
	case 1:
		// A large change, so that a few of them trigger a compaction.
		return newGrant(name + strings.Repeat("x", 30<<10))
	default:
		return newGrant(name)
	}
}

// changeName returns the name that drawBody put into the body of a change.
func changeName(change releaser.Change) string {
	switch body := change.Body.(type) {
	case releaser.ApplyNote:
		return body.Note.Name
	case releaser.GrantKey:
		return strings.TrimRight(body.Grant.ID, "x")
	default:
		return ""
	}
}

func (c *contendedStore) checkResults(ctx context.Context) {
	c.SetFaults(storer.MemoryFaults{})
	reader := publisher.Publisher{Store: c.Memory}
	changes, err := reader.Audit(ctx, 0)
	if err != nil {
		c.t.Fatal(err)
	}
	occurrences := map[string]int{}
	replayed := releaser.Empty()
	for number, change := range changes {
		occurrences[changeName(change)]++
		if change.Version != uint64(number+1) {
			c.t.Fatalf("change %d of the audit has version %d", number+1, change.Version)
		}
		if replayed, err = releaser.Apply(replayed, change.Body); err != nil {
			c.t.Fatal(err)
		}
	}
	for name, result := range c.results {
		switch count := occurrences[name]; {
		case result == nil && count != 1:
			c.t.Fatalf("%s was accepted and is in the log %d times", name, count)
		case errors.Is(result, storer.ErrUncertain) && count > 1:
			c.t.Fatalf("%s is in the log %d times", name, count)
		case result != nil && !errors.Is(result, storer.ErrUncertain) && count > 0:
			c.t.Fatalf("%s was refused (%v) and is in the log", name, result)
		}
	}
	log, err := reader.Read(ctx)
	if err != nil {
		c.t.Fatal(err)
	}
	if string(parser.EncodeConfiguration(log.Configuration)) != string(parser.EncodeConfiguration(replayed)) {
		c.t.Fatalf("the log's configuration at version %d differs from the replay of all changes", log.Configuration.Version)
	}
}

// Guards against changes that are lost, applied twice, applied out of order or
// reported wrongly when operators submit concurrently and the object API fails,
// with compactions in between.
func TestRacingOperators(t *testing.T) {
	tester.CheckN(t, 4, 7, func(rt *rapid.T) {
		c := &contendedStore{Memory: newStore(), t: rt, results: map[string]error{}}
		_, c.results["riders"] = newOperator(c.Memory, "first").Submit(t.Context(), newNote(0, "riders", 0))
		for range rapid.IntRange(1, 12).Draw(rt, "changes") {
			c.submit(t.Context())
		}
		c.checkResults(t.Context())
	})
}

var _ storer.Store = (*contendedStore)(nil)
