package tester

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// defaultChecks is the default number of checks of rapid.
const defaultChecks = 100

// Check checks a rapid property with each of the seeds 1 to count, so that every
// test run generates the same cases. Each seed runs rapid's default number of
// checks.
func Check(t *testing.T, count int, property func(*rapid.T)) {
	t.Helper()
	CheckN(t, count, defaultChecks, property)
}

// CheckN is like Check but runs the given number of checks for each seed, for
// slow properties.
func CheckN(t *testing.T, count, checks int, property func(*rapid.T)) {
	t.Helper()
	setFlag(t, "rapid.nofailfile", "true")
	setFlag(t, "rapid.checks", fmt.Sprint(checks))
	for seed := 1; seed <= count; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			setFlag(t, "rapid.seed", fmt.Sprint(seed))
			rapid.Check(t, property)
		})
	}
}

func setFlag(t *testing.T, name, value string) {
	t.Helper()
	if err := flag.Set(name, value); err != nil {
		t.Fatal(err)
	}
}
