package benchmarker

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jonboulle/clockwork"
)

// loadPattern is a load pattern: openLoop or closedLoop.
type loadPattern interface{ isLoad() }

// openLoop sends requests at times drawn in advance, independently of the
// answers. Latencies count from these times, so that a stall shows in every
// request that it delays.
type openLoop struct {
	RequestsPerSecond float64
}

// closedLoop keeps a fixed number of requests in progress.
type closedLoop struct{ Callers int }

func (openLoop) isLoad()   {}
func (closedLoop) isLoad() {}

// phase is a load on one target for a fixed time.
type phase struct {
	Target target
	Load   loadPattern
	Time   time.Duration
	Tokens int
	Seed   uint64
}

// phaseResult is the result of a phase.
type phaseResult struct {
	Requests   int
	Failures   int
	FirstError error
	Tokens     int
	Elapsed    time.Duration
	Usage      Usage
	FirstToken *hdrhistogram.Histogram
	Total      *hdrhistogram.Histogram
}

// Bounds and precision of the latency histograms.
const (
	minLatency               = int64(time.Microsecond)
	maxLatency               = int64(time.Minute)
	latencySignificantDigits = 3
)

func newLatencyHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatency, maxLatency, latencySignificantDigits)
}

// sample is the outcome of one request. Its latencies count from dueAt.
type sample struct {
	dueAt  time.Time
	answer answer
	err    error
}

// runPhase runs a phase and returns its result.
func runPhase(ctx context.Context, clock clockwork.Clock, phase phase) phaseResult {
	transport := &http.Transport{MaxIdleConnsPerHost: maxCallers, DisableCompression: true}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	samples := make(chan sample, maxCallers)
	result := phaseResult{FirstToken: newLatencyHistogram(), Total: newLatencyHistogram()}
	usageBefore, start := readUsage(), clock.Now()
	send := func(due time.Time) {
		answer, err := sendRequest(ctx, clock, client, phase.Target, phase.Tokens)
		samples <- sample{dueAt: due, answer: answer, err: err}
	}
	switch load := phase.Load.(type) {
	case openLoop:
		for _, at := range poissonArrivals(phase.Seed, load.RequestsPerSecond, phase.Time) {
			due := start.Add(at)
			go func() {
				<-clock.After(due.Sub(clock.Now()))
				send(due)
			}()
			result.Requests++
		}
		for range result.Requests {
			result.addSample(<-samples)
		}
	case closedLoop:
		end := start.Add(phase.Time)
		for range load.Callers {
			go send(start)
		}
		for running := load.Callers; running > 0; {
			result.addSample(<-samples)
			result.Requests++
			if now := clock.Now(); now.Before(end) {
				go send(now)
			} else {
				running--
			}
		}
	}
	result.Elapsed = clock.Since(start)
	result.Usage = readUsage().since(usageBefore)
	return result
}

// maxCallers is the number of concurrent requests for which connection pools,
// buffers and the engine of a phase are sized.
const maxCallers = 1024

// poissonArrivals draws the arrival times of a Poisson process.
func poissonArrivals(seed uint64, rate float64, length time.Duration) []time.Duration {
	random := rand.New(rand.NewPCG(seed, 0))
	var times []time.Duration
	at := time.Duration(0)
	for {
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= length {
			return times
		}
		times = append(times, at)
	}
}

func (r *phaseResult) addSample(sample sample) {
	if sample.err != nil {
		r.Failures++
		if r.FirstError == nil {
			r.FirstError = sample.err
		}
		return
	}
	r.Tokens += sample.answer.Tokens
	// The error is ignored: a value above the bound would be an answer later
	// than a minute, which the deadline of the class rules out.
	_ = r.FirstToken.RecordValue(int64(sample.answer.FirstToken.Sub(sample.dueAt)))
	_ = r.Total.RecordValue(int64(sample.answer.Ended.Sub(sample.dueAt)))
}
