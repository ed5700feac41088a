package benchmarker

import (
	"math/rand/v2"
	"time"

	"toucanhitch.example/toucanhitch/internal/limiter"
)

const (
	limitsNodes    = 7
	limitsDelay    = time.Millisecond
	limitsRate     = 2000.0 // tokens per second of each workspace
	limitsBurst    = 8000.0 // tokens of each workspace
	limitsWarmUp   = 15 * time.Second
	limitsDuration = 2 * time.Minute
	// limitsTimeout is the time allowed for an interactive request.
	limitsTimeout = 10 * time.Second
	// limitsLoadShare is the share of each rate that the demand uses, in tokens
	// actually used.
	limitsLoadShare = 0.8
	// limitsMinTokens and limitsMaxTokens bound a reservation. A request uses a
	// share of it between limitsMinUsed and 1.
	limitsMinTokens = 50.0
	limitsMaxTokens = 400.0
	limitsMinUsed   = 0.3
	// limitsMaxQueueTime is the longest time that a request waits for an
	// endpoint.
	limitsMaxQueueTime = 100 * time.Millisecond
	// limitsMinRunTime and limitsMaxRunTime bound the run time of a request.
	limitsMinRunTime = 200 * time.Millisecond
	limitsMaxRunTime = 4 * time.Second
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
	arrivesAt          time.Duration
	node               int
	workspace          string
	tokens, used       float64
	queueTime, runTime time.Duration
}

// limitsDemand describes at which nodes requests arrive and which failures
// occur.
type limitsDemand struct {
	name string
	// drawNode chooses the node at which a request arrives.
	drawNode func(random *rand.Rand, at time.Duration) int
	// bursts compresses the requests that each workspace sends in 4 s into half
	// a second, at one node.
	bursts bool
	// loadShare is the share of the rate that is used; 0 means limitsLoadShare.
	loadShare float64
	// heavyWorkspace is the workspace that sends at 4 times its rate, or empty.
	heavyWorkspace string
	injectFailures func(*LimitsFleet)
}

var limitsDemands = []limitsDemand{
	{name: "even", drawNode: drawEvenNode},
	{name: "one at 4 times its rate", drawNode: drawEvenNode, heavyWorkspace: "a"},
	{name: "moving", drawNode: drawMovingNode},
	{name: "skewed", drawNode: drawSkewedNode},
	{name: "bursty", drawNode: drawEvenNode, bursts: true},
	{name: "even, owner shuts down", drawNode: drawEvenNode, injectFailures: scheduleOwnerShutdown},
	{name: "even, owner crashes", drawNode: drawEvenNode, injectFailures: scheduleOwnerCrash},
	{name: "skewed, owner crashes", drawNode: drawSkewedNode, injectFailures: scheduleOwnerCrash},
	{name: "even, API down for 60 s", drawNode: drawEvenNode, injectFailures: scheduleAPIOutage},
	{name: "even at 35%, API down for 60 s", drawNode: drawEvenNode, loadShare: 0.35, injectFailures: scheduleAPIOutage},
	{name: "skewed, API down for 60 s", drawNode: drawSkewedNode, injectFailures: scheduleAPIOutage},
}

func drawEvenNode(random *rand.Rand, _ time.Duration) int { return random.IntN(limitsNodes) }

// drawSkewedNode sends 7 of 10 requests to one node.
func drawSkewedNode(random *rand.Rand, _ time.Duration) int {
	if random.IntN(10) < 7 {
		return 0
	}
	return random.IntN(limitsNodes)
}

// drawMovingNode sends 9 of 10 requests to a node that changes every 5 s.
func drawMovingNode(random *rand.Rand, at time.Duration) int {
	if random.IntN(10) < 9 {
		return int(at/(5*time.Second)) % limitsNodes
	}
	return random.IntN(limitsNodes)
}

// scheduleOwnerCrash kills the owner halfway through the measurement and
// restarts the node 20 s later.
func scheduleOwnerCrash(f *LimitsFleet) {
	f.After(limitsWarmUp+limitsDuration/2, func() {
		index := f.OwnerIndex()
		f.Kill(index)
		f.After(20*time.Second, func() { f.Restart(index) })
	})
}

// scheduleOwnerShutdown hands over the lease halfway through the measurement
// and stops the node 5 s later.
func scheduleOwnerShutdown(f *LimitsFleet) {
	f.After(limitsWarmUp+limitsDuration/2, func() {
		index := f.OwnerIndex()
		f.HandOver()
		f.After(5*time.Second, func() { f.Kill(index) })
	})
}

func scheduleAPIOutage(f *LimitsFleet) {
	f.After(limitsWarmUp+30*time.Second, func() { f.APIDown = true })
	f.After(limitsWarmUp+90*time.Second, func() { f.APIDown = false })
}

// newRequests draws the requests of the demand from a seed.
func (d limitsDemand) newRequests(seed uint64) []limitsRequest {
	random := rand.New(rand.NewPCG(seed, 0))
	load := d.loadShare
	if load == 0 {
		load = limitsLoadShare
	}
	average := (limitsMinTokens + limitsMaxTokens) / 2 * (limitsMinUsed + 1) / 2
	var requests []limitsRequest
	for _, workspace := range limitsWorkspaces {
		rate := load * workspace.Rate / average
		if workspace.Workspace == d.heavyWorkspace {
			rate *= 4 / load
		}
		for at := 0.0; at < limitsDuration.Seconds(); at += random.ExpFloat64() / rate {
			sent := time.Duration(at * float64(time.Second))
			requests = append(requests, d.newRequest(random, sent, workspace.Workspace))
		}
	}
	return requests
}

func (d limitsDemand) newRequest(random *rand.Rand, at time.Duration, workspace string) limitsRequest {
	drawUniform := func(low, high float64) float64 { return low + (high-low)*random.Float64() }
	request := limitsRequest{
		arrivesAt: limitsWarmUp + at,
		node:      d.drawNode(random, at),
		workspace: workspace,
		tokens:    float64(int(drawUniform(limitsMinTokens, limitsMaxTokens))),
		queueTime: time.Duration(drawUniform(0, float64(limitsMaxQueueTime))),
		runTime:   time.Duration(drawUniform(float64(limitsMinRunTime), float64(limitsMaxRunTime))),
	}
	request.used = float64(int(request.tokens * drawUniform(limitsMinUsed, 1)))
	if d.bursts {
		const period, width = 4 * time.Second, 500 * time.Millisecond
		index := at / period
		request.arrivesAt = limitsWarmUp + index*period + at%period*width/period
		request.node = (int(index)*3 + int(workspace[0])) % limitsNodes
	}
	return request
}
