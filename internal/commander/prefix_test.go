package commander_test

import (
	"context"
	"strconv"

	"github.com/jonboulle/clockwork"
	"github.com/rogpeppe/go-internal/testscript"

	"toucanhitch.example/toucanhitch/internal/poller"
)

// prefixes checks the total number of prefixes that engines have stored. An
// engine stores a prefix once, so the total equals the number of different
// prompts if every repeated prompt was routed to the engine that had its prefix.
func prefixes(ts *testscript.TestScript, _ bool, arguments []string) {
	want, err := strconv.Atoi(arguments[0])
	ts.Check(err)
	engines, cleanUp := poller.New(clockwork.NewRealClock())
	defer cleanUp()
	stored := 0
	for _, address := range arguments[1:] {
		events, err := engines.PollEvents(context.Background(), address, address, 0)
		ts.Check(err)
		ts.Logf("%s has stored %d prefixes", address, len(events.Events))
		stored += len(events.Events)
	}
	if stored != want {
		ts.Fatalf("the engines have stored %d prefixes; want %d", stored, want)
	}
}
