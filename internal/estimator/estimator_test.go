package estimator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// engine answers requests with the given pace of its model and speed factor.
type engine struct {
	model  string
	pace   float64
	random *rand.Rand
}

// answer returns the time to the first event and the duration of an answer of 12 events.
func (g engine) answer(work Work, factor float64) (first, duration time.Duration) {
	noise := math.Exp(0.2 * g.random.NormFloat64())
	first = Scale(6*time.Millisecond+Scale(time.Millisecond, float64(work.PromptTokens-work.CachedTokens)/38), factor*g.pace*noise)
	return first, first + 11*Scale(40*time.Millisecond, factor*g.pace)
}

func observe(e *Estimator, now time.Time, replica string, work Work, first, duration time.Duration) {
	e.Observe(now, Observation{Replica: replica, Work: work, Load: Load{Running: 4, Slots: 12}, FirstEvent: first, Duration: duration, Events: 12})
}

func within(got, want time.Duration, factor float64) bool {
	ratio := float64(got) / float64(want)
	return ratio <= factor && ratio >= 1/factor
}

// TestLearnsSpeedsAndPaces guards against estimates that do not separate the speeds of
// replicas from the paces of models: a model must be estimated right at a replica that has
// never answered a request for it.
func TestLearnsSpeedsAndPaces(t *testing.T) {
	e, random := New(), rand.New(rand.NewPCG(1, 1))
	engines := []engine{{"small", 0.7, random}, {"medium", 1, random}, {"large", 1.8, random}}
	factors := map[string]float64{"r1": 1, "r2": 1, "r3": 1 / 0.45, "r4": 1}
	for id := range factors {
		e.Replica(id, 0)
	}
	now := start
	for i := range 400 {
		now = now.Add(50 * time.Millisecond)
		g, id := engines[random.IntN(3)], fmt.Sprintf("r%d", 1+i%4)
		if id == "r3" && g.model == "large" {
			continue
		}
		work := Work{Service: "llm", Model: g.model, PromptTokens: 200 + random.IntN(1500), OutputTokens: 96}
		first, duration := g.answer(work, factors[id])
		observe(e, now, id, work, first, duration)
	}
	for _, g := range engines {
		for id, factor := range factors {
			work := Work{Service: "llm", Model: g.model, PromptTokens: 1000, CachedTokens: 200, OutputTokens: 96}
			got := e.Estimate(now, id, work, Load{Running: 4, Slots: 12})
			want := Scale(6*time.Millisecond+Scale(time.Millisecond, 800.0/38), factor*g.pace)
			end := want + 12*Scale(40*time.Millisecond, factor*g.pace)
			if !got.Known || !within(got.FirstEvent, want, 1.35) || !within(got.End, end, 1.35) {
				t.Errorf("model %s at %s: %v, want about %s and %s", g.model, id, got, want, end)
			}
		}
	}
}

// TestNoticesSlowReplica guards against a replica at less than half of its usual speed that
// is not noticed within a second of its own answers, and against one that counts as slow
// for long after it has recovered.
func TestNoticesSlowReplica(t *testing.T) {
	e, random := New(), rand.New(rand.NewPCG(2, 2))
	e.Replica("r1", 0)
	e.Replica("r2", 0)
	g, now := engine{"m", 1, random}, start
	work := Work{Service: "llm", Model: "m", PromptTokens: 500, OutputTokens: 96}
	run := func(seconds int, factor float64) {
		for range 4 * seconds {
			now = now.Add(250 * time.Millisecond)
			first, duration := g.answer(work, factor)
			observe(e, now, "r1", work, first, duration)
			first, duration = g.answer(work, 1)
			observe(e, now, "r2", work, first, duration)
		}
	}
	ratio := func() float64 {
		load := Load{Running: 4, Slots: 12}
		return float64(e.Estimate(now, "r1", work, load).FirstEvent) / float64(e.Estimate(now, "r2", work, load).FirstEvent)
	}
	run(30, 1)
	for _, step := range []struct{ factor, low, high float64 }{{1 / 0.45, 1.8, 2.7}, {1, 0.8, 1.25}, {3, 2.3, 3.8}} {
		run(1, step.factor)
		if got := ratio(); got < step.low || got > step.high {
			t.Errorf("one second after the factor became %.2f the estimate is %.2f times that of another replica", step.factor, got)
		}
		run(20, step.factor)
	}
}

// TestOverdueRequestsCount guards against a replica that goes on to look fast because it
// answers nothing, and against a request that is overdue for long after its answer.
func TestOverdueRequestsCount(t *testing.T) {
	e, now := New(), start
	e.Replica("r1", 7)
	work := Work{Service: "llm", Model: "m", PromptTokens: 500, OutputTokens: 96}
	o := Observation{Replica: "r1", StartedMS: 7, Work: work, FirstEvent: 40 * time.Millisecond}
	for range 10 {
		now = now.Add(time.Second)
		e.Observe(now, o)
	}
	usual := e.Estimate(now, "r1", work, Load{}).FirstEvent
	o.FirstEvent = 0
	e.ClearOverdue()
	e.ObserveOverdue(now, o, 45*time.Millisecond)
	if got := e.Estimate(now, "r1", work, Load{}).FirstEvent; got != usual {
		t.Errorf("estimate is %s with a request that is hardly late, want %s", got, usual)
	}
	e.ObserveOverdue(now, o, 200*time.Millisecond)
	if got := e.Estimate(now, "r1", work, Load{}).FirstEvent; !within(got, 200*time.Millisecond, 1.01) {
		t.Errorf("estimate is %s after a request has waited 200 ms", got)
	}
	e.ClearOverdue()
	if got := e.Estimate(now, "r1", work, Load{}).FirstEvent; got != usual {
		t.Errorf("estimate is %s after the request has ended, want %s", got, usual)
	}
}

// TestForgets guards against estimates that are based on an earlier start of a replica, or
// that count as known although they are old.
func TestForgets(t *testing.T) {
	e, now := New(), start
	work := Work{Service: "llm", Model: "m", PromptTokens: 500}
	e.Replica("r1", 1)
	e.Replica("r2", 1)
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		e.Observe(now, Observation{Replica: "r1", StartedMS: 1, Work: work, FirstEvent: 200 * time.Millisecond})
		e.Observe(now, Observation{Replica: "r2", StartedMS: 1, Work: work, FirstEvent: 50 * time.Millisecond})
	}
	before := e.Estimate(now, "r1", work, Load{})
	if later := e.Estimate(now.Add(11*time.Second), "r1", work, Load{}); !before.Known || later.Known {
		t.Errorf("known: %v, 11 s later: %v", before.Known, later.Known)
	}
	e.Replica("r1", 2)
	e.Observe(now, Observation{Replica: "r1", StartedMS: 1, Work: work, FirstEvent: 200 * time.Millisecond})
	if after := e.Estimate(now, "r1", work, Load{}); after.Known || float64(after.FirstEvent) > 0.8*float64(before.FirstEvent) {
		t.Errorf("estimate after a restart is %v, before it was %v", after, before)
	}
}

// TestUnknownModel guards against a model without observations that gets the service's mean
// although models of similar size are known.
func TestUnknownModel(t *testing.T) {
	e, now, random := New(), start, rand.New(rand.NewPCG(3, 3))
	e.Replica("r1", 0)
	e.Sizes = map[string]map[string]float64{"llm": {"small": 1000, "large": 8000, "new": 7000, "odd": 90000}}
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		for _, g := range []engine{{"small", 0.6, random}, {"large", 2, random}} {
			work := Work{Service: "llm", Model: g.model, PromptTokens: 500, OutputTokens: 96}
			first, duration := g.answer(work, 1)
			observe(e, now, "r1", work, first, duration)
		}
	}
	estimate := func(model string) time.Duration {
		return e.Estimate(now, "r1", Work{Service: "llm", Model: model, PromptTokens: 500}, Load{}).FirstEvent
	}
	if estimate("new") != estimate("large") {
		t.Errorf("new model: %s, model of similar size: %s", estimate("new"), estimate("large"))
	}
	if odd := estimate("odd"); odd >= estimate("large") || odd <= estimate("small") {
		t.Errorf("model of unknown size: %s, want between %s and %s", odd, estimate("small"), estimate("large"))
	}
}

// TestExchange guards against a node that has just started and does not know what the others
// have learnt, and against a slow replica that the others do not hear of within a second.
func TestExchange(t *testing.T) {
	pool, random, now := &Pool{}, rand.New(rand.NewPCG(4, 4)), start
	var nodes []*Estimator
	for range 20 {
		e := New()
		e.Replica("r1", 0)
		e.Replica("r2", 0)
		nodes = append(nodes, e)
	}
	factor, version := 1.0, uint64(0)
	work := Work{Service: "llm", Model: "m", PromptTokens: 500, OutputTokens: 96}
	run := func(rounds int) {
		for range rounds {
			now = now.Add(250 * time.Millisecond)
			// Each node sees a few answers only, but together they see many.
			for range 3 {
				e := nodes[random.IntN(10)]
				g := engine{"m", 1.5, random}
				first, duration := g.answer(work, factor)
				observe(e, now, "r1", work, first, duration)
				first, duration = g.answer(work, 1)
				observe(e, now, "r2", work, first, duration)
			}
			known := version
			for _, e := range nodes {
				speeds, paces := e.Collect()
				pool.Record(now, speeds, paces)
			}
			if pool.Publish(version + 1) {
				version++
			}
			speeds, paces := pool.Since(known)
			for _, e := range nodes {
				e.Adopt(now, speeds, paces)
			}
		}
	}
	check := func(when string, low, high float64) {
		t.Helper()
		idle := nodes[19]
		r1, r2 := idle.Estimate(now, "r1", work, Load{}), idle.Estimate(now, "r2", work, Load{})
		if ratio := float64(r1.FirstEvent) / float64(r2.FirstEvent); !r1.Known || ratio < low || ratio > high {
			t.Errorf("%s: estimates of a node without answers are %v and %v", when, r1, r2)
		}
	}
	run(40)
	check("at equal speed", 0.8, 1.25)
	factor = 1 / 0.45
	run(4)
	check("a second after r1 turned slow", 1.7, 2.9)
	want := Scale(6*time.Millisecond+Scale(time.Millisecond, 500.0/38), 1.5)
	fresh := New()
	fresh.Replica("r2", 0)
	speeds, paces := pool.Since(0)
	fresh.Adopt(now, speeds, paces)
	if got := fresh.Estimate(now, "r2", work, Load{Running: 4, Slots: 12}); !within(got.FirstEvent, want, 1.35) {
		t.Errorf("estimate of a new node is %v, want about %s", got, want)
	}
}

// TestAllMeasurementsAreReported guards against replicas whose measurements are never reported
// because others have new ones in each report, and against measurements reported twice.
func TestAllMeasurementsAreReported(t *testing.T) {
	e, reported := New(), map[string]float64{}
	work := Work{Service: "llm", Model: "m"}
	for i := range 3 * maxReportedSpeeds {
		e.Replica(fmt.Sprintf("r%03d", i), 0)
	}
	observed := func(i, round int) {
		e.Observe(start.Add(time.Duration(round)*time.Second), Observation{Replica: fmt.Sprintf("r%03d", i), Work: work, FirstEvent: 30 * time.Millisecond})
	}
	for round := range 6 {
		for i := range 3 * maxReportedSpeeds {
			// The first replicas are the busiest.
			if round < 2 || i < maxReportedSpeeds {
				observed(i, round)
			}
		}
		speeds, _ := e.Collect()
		for _, speed := range speeds {
			reported[speed.Replica] += speed.Weight
		}
		if len(speeds) > maxReportedSpeeds {
			t.Fatalf("report has %d speeds", len(speeds))
		}
	}
	if len(reported) != 3*maxReportedSpeeds {
		t.Errorf("%d of %d replicas were reported", len(reported), 3*maxReportedSpeeds)
	}
	if reported["r191"] == 0 || reported["r191"] > 2 {
		t.Errorf("two first events have weight %v", reported["r191"])
	}
}
