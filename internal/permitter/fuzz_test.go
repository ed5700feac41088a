package permitter

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"toucanhitch.example/toucanhitch/internal/tester"
)

// TestPermitsStayWithinCapacity guards against more permits in use than a replica runs, and
// against permits that are never free again.
func TestPermitsStayWithinCapacity(t *testing.T) {
	tester.Check(t, 5, func(t *rapid.T) {
		const capacity = 3
		c, now := NewController(rapid.Uint64().Draw(t, "seed")), tester.Start
		expiries := map[Permit]time.Time{}
		count := 0
		inUse := func() int {
			used := 0
			for _, expiresAt := range expiries {
				if now.Before(expiresAt) {
					used++
				}
			}
			return used
		}
		acquire := func(active int) bool {
			count++
			permit := Permit{ID: string(rune('a' + count)), Replica: "r1", StartedMS: 1}
			request := Request{Permit: permit, Node: "n1", Capacity: capacity, Active: active, TTL: time.Second}
			granted := c.Step(now, Acquire{Request: request})[0].(AnswerAcquire).Decision.Granted
			if granted {
				expiries[permit] = now.Add(request.TTL)
			}
			return granted
		}
		t.Repeat(map[string]func(*rapid.T){
			"acquire": func(t *rapid.T) { acquire(rapid.IntRange(0, capacity).Draw(t, "active")) },
			"release": func(t *rapid.T) {
				if len(expiries) == 0 {
					t.Skip()
				}
				permit := Permit{ID: string(rune('a' + rapid.IntRange(1, count).Draw(t, "permit"))), Replica: "r1", StartedMS: 1}
				c.Step(now, Release{Permit: permit, Refused: rapid.Bool().Draw(t, "refused")})
				delete(expiries, permit)
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
				c.Step(now, Tick{})
			},
			"": func(t *rapid.T) {
				if used := inUse(); used > capacity {
					t.Fatalf("%d permits are in use, want at most %d", used, capacity)
				}
			},
		})
		now = now.Add(settleTime + capacity*recoveryTime)
		for i := range capacity {
			if !acquire(0) {
				t.Fatalf("only %d permits are granted although none is in use, want %d", i, capacity)
			}
		}
	})
}
