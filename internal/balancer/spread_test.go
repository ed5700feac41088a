package balancer

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"toucanhitch.example/toucanhitch/internal/cacher"
	"toucanhitch.example/toucanhitch/internal/estimator"
	"toucanhitch.example/toucanhitch/internal/runner"
	"toucanhitch.example/toucanhitch/internal/surveyor"
	"toucanhitch.example/toucanhitch/internal/tester"
)

const (
	spreadNodes, spreadReplicas, spreadModels = 87, 90, 274
	// spreadRate is the requests a second, with a skew of 1/sqrt(rank) over the models.
	spreadRate = 450.0
	spreadTime = 25 * time.Second
	// warmUp is left out of the figures: nothing has been learnt yet.
	warmUp = 5 * time.Second
	// Nodes hear of each other every reportInterval, of what was reportDelay ago: 0.4 s late
	// in the mean.
	reportInterval, reportDelay = 200 * time.Millisecond, 300 * time.Millisecond
	// spreadWindow is the time in which the arrivals at a replica are compared.
	spreadWindow = 400 * time.Millisecond
	slowSpeed    = 0.45
	spreadSlots  = 12
	// maxBusiest is the target: the arrivals at the busiest of the replicas with the same
	// models, relative to their mean.
	maxBusiest = 1.5
)

// TestRequestsAreSpread guards against nodes that all send to the replica that looks best
// until they hear of each other's requests, and against slow replicas that get as many
// requests as the others. Pattern: 87 nodes, 45 pairs of replicas with 12 slots and the same
// 6 or 7 of 274 models, a quarter of the replicas at 0.45 of the pace, skewed demand, a burst
// for one model every second, and reports that are 0.3 to 0.5 s late.
func TestRequestsAreSpread(t *testing.T) {
	w := newSpreadWorld(2)
	w.run()
	busiest, mean := 0.0, 0.0
	slow, fast := 0.0, 0.0
	for pair := range spreadReplicas / 2 {
		a, b := w.replicas[2*pair], w.replicas[2*pair+1]
		if a.speed != b.speed {
			slow, fast = slow+float64(a.arrivals), fast+float64(b.arrivals)
			continue
		}
		if ratio := 2 * float64(max(a.arrivals, b.arrivals)) / float64(a.arrivals+b.arrivals); ratio > maxBusiest {
			t.Errorf("replicas %d and %d got %d and %d requests", 2*pair, 2*pair+1, a.arrivals, b.arrivals)
		}
		for window, inA := range a.windows {
			// With fewer arrivals even a fair draw exceeds the target often.
			if inB := b.windows[window]; inA+inB >= 10 {
				busiest, mean = busiest+float64(max(inA, inB)), mean+float64(inA+inB)/2
			}
		}
	}
	if busiest > maxBusiest*mean {
		t.Errorf("in windows of 0.4 s the busiest replica of a pair got %.2f times the mean, want at most %.1f", busiest/mean, maxBusiest)
	}
	if share := slow / fast; share > maxBusiest*slowSpeed || share < slowSpeed/maxBusiest {
		t.Errorf("slow replicas got %.2f times the requests of the fast ones beside them, want about %.2f", share, slowSpeed)
	}
	slices.Sort(w.firstEvents)
	p := func(q float64) time.Duration { return w.firstEvents[int(q*float64(len(w.firstEvents)-1))] }
	t.Logf("busiest to mean %.2f, slow to fast %.2f; first event: median %s, 95%% %s, 99%% %s; %d of %d waited at a replica, %d refused; ratio of estimate: %s",
		busiest/mean, slow/fast, p(0.5), p(0.95), p(0.99), w.queued, len(w.firstEvents), w.refused, w.ratios())
}

// spreadWorld is a fleet in virtual time.
type spreadWorld struct {
	random      *rand.Rand
	now         time.Time
	nodes       []*Controller
	running     [][]int // by node and replica
	replicas    []*spreadReplica
	listed      []surveyor.Replica
	events      spreadEvents
	requests    map[runner.Call]*spreadRequest
	pool        estimator.Pool
	version     uint64
	known       uint64
	queued      int
	refused     int
	firstEvents []time.Duration
	errors      []float64
	// group is the number of replicas with the same models. cached is nil unless prompts
	// have shared beginnings.
	group    int
	duration time.Duration
	cached   *cachedWorld
}

type spreadReplica struct {
	speed             float64
	running, arrivals int
	queue             []*spreadRequest
	// windows counts the arrivals in each spreadWindow.
	windows map[int]int
	cache   engineCache
}

type spreadRequest struct {
	node, replica  int
	call           runner.Call
	prompt, output int
	// noise is the factor of this request's time to the first event.
	noise      float64
	sentAt     time.Time
	firstEvent time.Duration
	expected   time.Duration
	model      string
	parts      []cacher.Part
}

type spreadEvent struct {
	at    time.Time
	order int
	act   func()
}

type spreadEvents []spreadEvent

func (e spreadEvents) Len() int { return len(e) }
func (e spreadEvents) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].order < e[j].order
}
func (e spreadEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *spreadEvents) Push(x any)   { *e = append(*e, x.(spreadEvent)) }
func (e *spreadEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newSpreadWorld(group int) *spreadWorld {
	w := &spreadWorld{group: group, duration: spreadTime, random: rand.New(rand.NewPCG(5, 5)), now: tester.Start, requests: map[runner.Call]*spreadRequest{}}
	var listed []surveyor.Replica
	for i := range spreadReplicas {
		replica := &spreadReplica{speed: 1, windows: map[int]int{}}
		if pair := i / 2; pair%4 == 0 && i%2 == 0 || pair%9 == 7 {
			replica.speed = slowSpeed
		}
		w.replicas = append(w.replicas, replica)
		entry := surveyor.Replica{ID: fmt.Sprintf("r%02d", i), Service: "llm", Slots: spreadSlots}
		for model := i / group; model < spreadModels; model += spreadReplicas / group {
			entry.Models = append(entry.Models, surveyor.LoadedModel{Name: fmt.Sprint(model)})
		}
		listed = append(listed, entry)
	}
	w.listed = listed
	for i := range spreadNodes {
		node := NewController(uint64(i))
		node.Step(w.now, SetReplicas{Replicas: listed})
		w.nodes, w.running = append(w.nodes, node), append(w.running, make([]int, spreadReplicas))
	}
	return w
}

func (w *spreadWorld) after(delay time.Duration, act func()) {
	heap.Push(&w.events, spreadEvent{w.now.Add(delay), len(w.events), act})
}

func (w *spreadWorld) run() {
	weights, total := make([]float64, spreadModels), 0.0
	for rank := range weights {
		// The ranks are spread over the pairs.
		model := rank * 101 % spreadModels
		weights[model] = 1 / math.Sqrt(float64(rank+1))
		total += weights[model]
	}
	var arrive, publish, burst func()
	arrive = func() {
		model, rest := 0, w.random.Float64()*total
		for rest -= weights[model]; rest > 0 && model < spreadModels-1; rest -= weights[model] {
			model++
		}
		w.request(model)
		w.after(time.Duration(w.random.ExpFloat64()/spreadRate*float64(time.Second)), arrive)
	}
	burst = func() {
		model := w.random.IntN(spreadModels)
		for range 15 {
			w.after(time.Duration(w.random.Int64N(int64(400*time.Millisecond))), func() { w.request(model) })
		}
		w.after(time.Second, burst)
	}
	publish = func() {
		w.publish()
		w.after(reportInterval, publish)
	}
	arrive()
	burst()
	publish()
	for end := w.now.Add(w.duration); w.now.Before(end); {
		event := heap.Pop(&w.events).(spreadEvent)
		w.now = event.at
		event.act()
	}
}

// request sends a request through a random node.
func (w *spreadWorld) request(model int) {
	r := &spreadRequest{node: w.random.IntN(spreadNodes), call: runner.Call(len(w.requests) + 1), prompt: 100 + w.random.IntN(1400), output: 30 + w.random.IntN(140), noise: math.Exp(0.15 * w.random.NormFloat64())}
	w.requests[r.call] = r
	need := r.need(model, w.now)
	if w.cached != nil {
		w.cached.begin(w, r, &need)
	}
	w.step(r.node, Place{Call: r.call, Need: need})
}

// step delivers a message to a node, and sends the requests to which replicas were assigned.
func (w *spreadWorld) step(node int, message Message) {
	for _, effect := range w.nodes[node].Step(w.now, message) {
		placed, ok := effect.(AnswerPlace)
		if !ok {
			continue
		}
		if placed.Placement.Refused != nil {
			w.refused++
			continue
		}
		r := w.requests[placed.Call]
		_, _ = fmt.Sscanf(placed.Placement.Replica, "r%d", &r.replica)
		r.sentAt, r.expected = w.now, placed.Placement.Expected
		w.running[node][r.replica]++
		w.send(r)
	}
}

func (w *spreadWorld) measuring() bool { return w.now.Sub(tester.Start) > warmUp }

func (w *spreadWorld) send(r *spreadRequest) {
	replica := w.replicas[r.replica]
	if w.measuring() {
		replica.arrivals++
		replica.windows[int(w.now.Sub(tester.Start)/spreadWindow)]++
	}
	if replica.running == spreadSlots {
		if w.measuring() {
			w.queued++
		}
		replica.queue = append(replica.queue, r)
		return
	}
	w.start(r)
}

func (w *spreadWorld) start(r *spreadRequest) {
	replica := w.replicas[r.replica]
	replica.running++
	pace := r.noise / replica.speed
	read := r.prompt
	if w.cached != nil {
		read -= w.cached.read(w, r)
	}
	first := 8 + float64(read)/38 + 4*float64(replica.running)/spreadSlots
	w.after(time.Duration(first*pace*float64(time.Millisecond)), func() {
		r.firstEvent = w.now.Sub(r.sentAt)
		if w.measuring() {
			w.firstEvents = append(w.firstEvents, r.firstEvent)
			w.errors = append(w.errors, float64(r.expected)/float64(r.firstEvent))
		}
		w.begun(r)
		events := 1 + r.output/8
		interval := time.Duration(43 / replica.speed * float64(time.Millisecond))
		if events > 5 {
			w.after(4*interval, func() {
				w.step(r.node, AnswerProgressed{PlacementID: r.call, Elapsed: w.now.Sub(r.sentAt), Events: 5})
			})
		}
		w.after(time.Duration(events-1)*interval, func() { w.end(r, events) })
	})
}

func (w *spreadWorld) end(r *spreadRequest, events int) {
	replica := w.replicas[r.replica]
	replica.running--
	w.running[r.node][r.replica]--
	w.step(r.node, r.ended(w.now, events))
	if len(replica.queue) > 0 {
		next := replica.queue[0]
		replica.queue = replica.queue[1:]
		w.start(next)
	}
}

// publish delivers the present counts of running requests to all nodes, after reportDelay.
func (w *spreadWorld) publish() {
	own := make([][]int, spreadNodes)
	total := make([]int, spreadReplicas)
	for node, counts := range w.running {
		own[node] = slices.Clone(counts)
		for replica, count := range counts {
			total[replica] += count
		}
	}
	message := w.exchange()
	w.after(reportDelay, func() {
		for node := range w.nodes {
			message.Active = map[string]int{}
			for replica, count := range total {
				if others := count - own[node][replica]; others > 0 {
					message.Active[fmt.Sprintf("r%02d", replica)] = others
				}
			}
			w.step(node, message)
		}
	})
}

// ratios describes the ratios of estimate to measurement.
func (w *spreadWorld) ratios() string {
	slices.Sort(w.errors)
	q := func(q float64) float64 { return w.errors[int(q*float64(len(w.errors)-1))] }
	return fmt.Sprintf("10%% %.2f, median %.2f, 90%% %.2f", q(0.1), q(0.5), q(0.9))
}

func (r *spreadRequest) need(model int, now time.Time) Need {
	return Need{
		Service: "llm", Model: fmt.Sprint(model), PromptTokens: r.prompt, OutputTokens: r.output,
		LateAt: now.Add(300 * time.Millisecond), GiveUpAt: now.Add(time.Second),
	}
}

func (w *spreadWorld) begun(r *spreadRequest) {
	w.step(r.node, AnswerBegun{PlacementID: r.call, FirstEvent: r.firstEvent})
}

func (r *spreadRequest) ended(now time.Time, events int) Message {
	return AttemptEnded{PlacementID: r.call, Result: Answered, FirstByte: r.firstEvent, Duration: now.Sub(r.sentAt), Events: events}
}

// exchange collects what the nodes have measured and returns what has changed.
func (w *spreadWorld) exchange() SetPeerState {
	for _, node := range w.nodes {
		speeds, paces := node.Estimator.Collect()
		w.pool.Record(w.now, speeds, paces)
	}
	changed := w.pool.Publish(w.version + 1)
	if w.cached != nil {
		changed = w.cached.exchange(w) || changed
	}
	if changed {
		w.version++
	}
	var message SetPeerState
	message.Speeds, message.Paces = w.pool.Since(w.known)
	if w.cached != nil {
		message.Cached = w.cached.pool.Since(w.known)
		w.cached.published += len(message.Cached)
	}
	w.known = w.version
	return message
}
