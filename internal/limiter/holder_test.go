package limiter_test

import (
	"testing"
	"time"

	"toucanhitch.example/toucanhitch/internal/limiter"
	"toucanhitch.example/toucanhitch/internal/runner"
)

// Guards against a queue of waiting requests that grows without bound, and against
// requests with late deadlines that fill the queue so that requests with earlier
// ones are refused.
func TestFullQueueRefusesTheLatestTimeout(t *testing.T) {
	const bound = 1000
	holder := limiter.NewHolder("a", 1, limiter.DefaultSlots)
	holder.Step(benchStart, limiter.WorkspacesChanged{Limits: []limiter.Limit{{Workspace: "w", Rate: 1, Burst: 100}}})
	reserve := func(call runner.Call, timeout time.Duration) []limiter.HolderEffect {
		return holder.Step(benchStart, limiter.ReserveRequested{
			Call: call, Workspace: "w", Tokens: 10, Deadline: benchStart.Add(timeout), MaxWait: time.Hour,
		})
	}
	for call := range runner.Call(bound) {
		if effects := reserve(call+1, time.Minute+time.Duration(call)); len(effects) > 0 {
			t.Fatalf("request %d of %d: %v; want none", call+1, bound, effects)
		}
	}
	for _, test := range []struct {
		call    runner.Call
		timeout time.Duration
		refused runner.Call
	}{
		{bound + 1, time.Second, bound},
		{bound + 2, time.Hour, bound + 2},
	} {
		effects := reserve(test.call, test.timeout)
		if len(effects) != 1 {
			t.Fatalf("request %d: %v; want one refusal", test.call, effects)
		}
		refused, ok := effects[0].(limiter.Refused)
		if !ok || refused.Call != test.refused || refused.Reason != limiter.QueueFull {
			t.Errorf("request %d: %+v; want request %d refused as %s", test.call, effects[0], test.refused, limiter.QueueFull)
		}
	}
}
