package filter_test

import (
	"context"
	"fmt"
	"slices"
	"testing"

	"toucanhitch.example/toucanhitch/internal/filter"
)

// step is a filter that logs when it runs and when its clean-up runs.
type step struct {
	name    string
	log     *[]string
	verdict filter.Verdict
	panics  bool
}

func (s step) Filter(context.Context, *filter.Request) filter.Verdict {
	*s.log = append(*s.log, s.name)
	if s.panics {
		panic("fault in a filter")
	}
	if s.verdict != nil {
		return s.verdict
	}
	return filter.Pass{CleanUp: func(outcome filter.Outcome) {
		reason := "answered"
		if outcome.Refusal != nil {
			reason = string(outcome.Refusal.Reason) + ", " + string(outcome.Refusal.Run)
		}
		*s.log = append(*s.log, fmt.Sprintf("clean up %s: %s, %d", s.name, reason, outcome.Used))
	}}
}

// Guards against filters that run out of order or after a verdict, and against
// clean-ups that are omitted, run in the wrong order, or get an outcome that
// differs from the one of the caller, also if a filter panics.
func TestFiltersRunAndCleanUpInOrder(t *testing.T) {
	refused := filter.Refuse{Refusal: filter.Refusal{Reason: filter.RateLimited, Run: filter.NotRun}, Used: 2}
	for name, test := range map[string]struct {
		third step
		want  []string
	}{
		"accept": {step{verdict: filter.Accept{Used: 7}}, []string{"a", "b", "c", "clean up b: answered, 7", "clean up a: answered, 7"}},
		"refuse": {step{verdict: refused}, []string{
			"a", "b", "c", "clean up b: rate-limited, not run, 2", "clean up a: rate-limited, not run, 2",
		}},
		"panic": {step{panics: true}, []string{
			"a", "b", "c", "clean up b: outcome-unknown, unknown, 0", "clean up a: outcome-unknown, unknown, 0",
		}},
	} {
		t.Run(name, func(t *testing.T) {
			var log []string
			third := test.third
			third.name, third.log = "c", &log
			chain := filter.Chain{step{name: "a", log: &log}, step{name: "b", log: &log}, third, step{name: "d", log: &log}}
			panicked := runPanics(t, chain)
			if !slices.Equal(log, test.want) {
				t.Errorf("got %q; want %q", log, test.want)
			}
			if panicked != third.panics {
				t.Errorf("panicked: %t; want %t", panicked, third.panics)
			}
		})
	}
}

// runPanics reports whether the chain panicked.
func runPanics(t *testing.T, chain filter.Chain) (panicked bool) {
	t.Helper()
	defer func() { panicked = recover() != nil }()
	chain.Run(t.Context(), &filter.Request{})
	return false
}
