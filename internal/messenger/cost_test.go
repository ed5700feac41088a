package messenger

import (
	"fmt"
	"testing"
	"time"

	"toucanhitch.example/toucanhitch/internal/encoder"
	"toucanhitch.example/toucanhitch/internal/limiter"
	"toucanhitch.example/toucanhitch/internal/router"
	"toucanhitch.example/toucanhitch/internal/spreader"
	"toucanhitch.example/toucanhitch/internal/tracker"
)

// Guards against control messages that outgrow what docs/scheduling.md says
// they cost a node. With -v it prints the sizes.
func TestControlMessagesAreSmall(t *testing.T) {
	var accounts, told int
	for index := range 5 {
		name := fmt.Sprint("workspace-", index)
		account := limitsAccount{Workspace: name, Need: 1}
		before := len(encoder.Encode(account))
		account.Used = 1234567.25
		accounts += len(encoder.Encode(account)) - before
		answer := limiter.Answer{Attained: []limiter.AttainedService{{Workspace: name, Tokens: 1234567.25}}}
		told += len(encoder.Encode(encodeAnswer(answer))) - len(encoder.Encode(encodeAnswer(limiter.Answer{})))
	}
	t.Logf("5 workspaces: %d bytes in a report, %d in an answer", accounts, told)
	if accounts > 100 || told > 400 {
		t.Errorf("5 workspaces take %d bytes in a report and %d in an answer; want at most 100 and 400", accounts, told)
	}
	empty, full := pushedEvents(0), pushedEvents(tracker.MaxEvents)
	each := (full - empty) / tracker.MaxEvents
	t.Logf("an item of cache events: %d bytes and %d for each event", empty, each)
	if empty > 300 || each > 150 {
		t.Errorf("an item takes %d bytes and %d for each event; want at most 300 and 150", empty, each)
	}
}

// pushedEvents returns the size of a push with one item of cache events.
func pushedEvents(count int) int {
	events := tracker.CacheEvents{Endpoint: "engine-1234", Last: 1 << 20}
	for index := range count {
		events.Events = append(events.Events, router.CacheEvent{
			Sequence: 1<<20 + uint64(index), Model: "forecast-large@12", Prefix: 1<<63 + uint64(index), Stored: true,
		})
	}
	return len(encoder.Encode(pushRequest{Items: []pushedItem{{
		Kind: spreader.Events, Name: events.Endpoint, Version: uint64(time.Hour * 500000), Origin: "node-1234",
		Scope: spreader.Region, Value: encoder.Encode(events),
	}}}))
}
