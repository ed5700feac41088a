package benchmarker

import (
	"math/rand/v2"
	"time"

	"toucanhitch.example/toucanhitch/internal/limiter"
)

const (
	limitsNodes    = 7
	limitsDelay    = time.Millisecond
	limitsRate     = 2000.0 // tokens a second of each workspace
	limitsBurst    = 8000.0 // tokens of each workspace
	limitsWarmUp   = 15 * time.Second
	limitsDuration = 2 * time.Minute
	// limitsPatience is the deadline of interactive requests.
	limitsPatience = 10 * time.Second
	// limitsLoad is the part of each rate that the demand uses in actual
	// tokens.
	limitsLoad = 0.8
	// limitsMinTokens and limitsMaxTokens bound a reservation, of which a
	// request uses limitsMinUsed to 1.
	limitsMinTokens = 50.0
	limitsMaxTokens = 400.0
	limitsMinUsed   = 0.3
	// limitsMaxQueued is the longest wait for an endpoint.
	limitsMaxQueued = 100 * time.Millisecond
	// limitsMinRun and limitsMaxRun bound the duration of a request.
	limitsMinRun = 200 * time.Millisecond
	limitsMaxRun = 4 * time.Second
)

var limitsWorkspaces = []limiter.Limit{
	{Workspace: "a", Rate: limitsRate, Burst: limitsBurst},
	{Workspace: "b", Rate: limitsRate, Burst: limitsBurst},
	{Workspace: "c", Rate: limitsRate, Burst: limitsBurst},
	{Workspace: "d", Rate: limitsRate, Burst: limitsBurst},
	{Workspace: "e", Rate: limitsRate, Burst: limitsBurst},
}

// limitsRequest is one request of a demand.
type limitsRequest struct {
	at           time.Duration
	node         int
	workspace    string
	tokens, used float64
	queued, runs time.Duration
}

// limitsDemand describes where requests come from and what fails.
type limitsDemand struct {
	name string
	// node chooses a request's node.
	node func(random *rand.Rand, at time.Duration) int
	// bursts sends each workspace's requests of 4 s within half a second, at
	// one node.
	bursts bool
	// load is the part of the rate that is used, if not limitsLoad.
	load float64
	// heavy sends 4 times its rate.
	heavy    string
	failures func(*LimitsFleet)
}

var limitsDemands = []limitsDemand{
	{name: "even", node: evenNode},
	{name: "one at 4 times its rate", node: evenNode, heavy: "a"},
	{name: "moving", node: movingNode},
	{name: "skewed", node: skewedNode},
	{name: "bursty", node: evenNode, bursts: true},
	{name: "even, owner shuts down", node: evenNode, failures: shutOwnerDown},
	{name: "even, owner crashes", node: evenNode, failures: crashOwner},
	{name: "skewed, owner crashes", node: skewedNode, failures: crashOwner},
	{name: "even, API down for 60 s", node: evenNode, failures: stopAPI},
	{name: "even at 35%, API down for 60 s", node: evenNode, load: 0.35, failures: stopAPI},
	{name: "skewed, API down for 60 s", node: skewedNode, failures: stopAPI},
}

func evenNode(random *rand.Rand, _ time.Duration) int { return random.IntN(limitsNodes) }

// skewedNode sends 7 of 10 requests to one node.
func skewedNode(random *rand.Rand, _ time.Duration) int {
	if random.IntN(10) < 7 {
		return 0
	}
	return random.IntN(limitsNodes)
}

// movingNode sends 9 of 10 requests to a node that changes every 5 s.
func movingNode(random *rand.Rand, at time.Duration) int {
	if random.IntN(10) < 9 {
		return int(at/(5*time.Second)) % limitsNodes
	}
	return random.IntN(limitsNodes)
}

// crashOwner kills the owner in the middle; a new run of the node comes 20 s
// later.
func crashOwner(f *LimitsFleet) {
	f.After(limitsWarmUp+limitsDuration/2, func() {
		index := f.OwnerIndex()
		f.Kill(index)
		f.After(20*time.Second, func() { f.Revive(index) })
	})
}

// shutOwnerDown hands the lease over; the node ends 5 s later.
func shutOwnerDown(f *LimitsFleet) {
	f.After(limitsWarmUp+limitsDuration/2, func() {
		index := f.OwnerIndex()
		f.HandOver()
		f.After(5*time.Second, func() { f.Kill(index) })
	})
}

func stopAPI(f *LimitsFleet) {
	f.After(limitsWarmUp+30*time.Second, func() { f.APIDown = true })
	f.After(limitsWarmUp+90*time.Second, func() { f.APIDown = false })
}

// requests returns the demand's requests for a seed.
func (d limitsDemand) requests(seed uint64) []limitsRequest {
	random := rand.New(rand.NewPCG(seed, 0))
	load := d.load
	if load == 0 {
		load = limitsLoad
	}
	average := (limitsMinTokens + limitsMaxTokens) / 2 * (limitsMinUsed + 1) / 2
	var requests []limitsRequest
	for _, workspace := range limitsWorkspaces {
		rate := load * workspace.Rate / average
		if workspace.Workspace == d.heavy {
			rate *= 4 / load
		}
		for at := 0.0; at < limitsDuration.Seconds(); at += random.ExpFloat64() / rate {
			sent := time.Duration(at * float64(time.Second))
			requests = append(requests, d.request(random, sent, workspace.Workspace))
		}
	}
	return requests
}

func (d limitsDemand) request(random *rand.Rand, at time.Duration, workspace string) limitsRequest {
	between := func(low, high float64) float64 { return low + (high-low)*random.Float64() }
	request := limitsRequest{
		at:        limitsWarmUp + at,
		node:      d.node(random, at),
		workspace: workspace,
		tokens:    float64(int(between(limitsMinTokens, limitsMaxTokens))),
		queued:    time.Duration(between(0, float64(limitsMaxQueued))),
		runs:      time.Duration(between(float64(limitsMinRun), float64(limitsMaxRun))),
	}
	request.used = float64(int(request.tokens * between(limitsMinUsed, 1)))
	if d.bursts {
		const period, width = 4 * time.Second, 500 * time.Millisecond
		index := at / period
		request.at = limitsWarmUp + index*period + at%period*width/period
		request.node = (int(index)*3 + int(workspace[0])) % limitsNodes
	}
	return request
}
