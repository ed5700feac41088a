package leaser_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"toucanhitch.example/toucanhitch/internal/leaser"
	"toucanhitch.example/toucanhitch/internal/tester"
)

const (
	leaseName   = "Limits"
	callTimeout = 1200 * time.Millisecond
)

// world runs controllers with skewed clocks against one lease object, in
// virtual time. checkTenure is the oracle: at no point in real time may two
// nodes consider themselves valid holders.
type world struct {
	now    time.Duration
	events events
	random *rand.Rand
	nodes  []*node

	// era is that of the object API, 0 if it names none. written are the versions that
	// the object has had in the history of the present era.
	era     uint64
	version uint64
	lease   leaser.Lease
	written []writtenLease
	calls   int

	// Faults, as shares of the calls or as times in real time.
	outageUntil                                time.Duration
	faultyUntil                                time.Duration
	requestLoss, replyLoss, lateWrites, stalls float64
	latency                                    time.Duration
	tenures                                    map[uint64]string // run of the holder, by epoch
	lastEpoch                                  uint64
	violations                                 []string
	// lastRequestedData is the latest data that a holder requested to store,
	// and lastStoredData the latest that was reported as stored.
	lastRequestedData, lastStoredData int
	lastTenureStart                   time.Duration // start of the latest tenure
}

// node is one run of a process with its own clock.
type node struct {
	name        string
	run         int
	rate        float64
	offset      time.Duration
	controller  *leaser.Controller
	pausedUntil time.Duration
	ticks       int
	// releaseData is the data with which a valid tenure was released.
	releaseData []byte

	// held is the latest published tenure, and validUntil its end in real time.
	held       leaser.Held
	validUntil time.Duration
}

type event struct {
	at    time.Duration
	order int
	run   func()
}

type events struct {
	queue []event
	count int
}

func (e *events) Len() int { return len(e.queue) }
func (e *events) Less(i, j int) bool {
	a, b := e.queue[i], e.queue[j]
	return a.at < b.at || a.at == b.at && a.order < b.order
}
func (e *events) Swap(i, j int) { e.queue[i], e.queue[j] = e.queue[j], e.queue[i] }
func (e *events) Push(x any)    { e.queue = append(e.queue, x.(event)) }
func (e *events) Pop() any {
	last := e.queue[len(e.queue)-1]
	e.queue = e.queue[:len(e.queue)-1]
	return last
}

// newWorld starts one node for each clock rate, where 1 is the rate of real
// time.
func newWorld(seed uint64, rates []float64, latency time.Duration) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 1)), tenures: map[uint64]string{}, latency: latency}
	for i, rate := range rates {
		n := &node{name: fmt.Sprintf("n%d", i+1), rate: rate, offset: w.randomUpTo(time.Hour)}
		w.nodes = append(w.nodes, n)
		w.after(w.randomUpTo(time.Second), func() { w.start(n) })
	}
	return w
}

func (w *world) randomUpTo(limit time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(limit) + 1))
}

func (w *world) after(delay time.Duration, run func()) {
	w.events.count++
	heap.Push(&w.events, event{w.now + delay, w.events.count, run})
}

// runUntil runs the events up to the given real time, or until stop returns
// true.
func (w *world) runUntil(end time.Duration, stop func() bool) {
	for len(w.events.queue) > 0 && w.events.queue[0].at <= end && !stop() {
		next := heap.Pop(&w.events).(event)
		w.now = next.at
		next.run()
	}
	if !stop() {
		w.now = end
	}
}

func never() bool { return false }

func (n *node) localTime(real time.Duration) time.Time {
	return tester.Start.Add(n.offset + time.Duration(float64(real)*n.rate))
}

func (n *node) realTime(local time.Time) time.Duration {
	return time.Duration(float64(local.Sub(tester.Start)-n.offset) / n.rate)
}

func (w *world) names() []string {
	var names []string
	for _, n := range w.nodes {
		names = append(names, n.name)
	}
	return names
}

// start starts a new run of a node.
func (w *world) start(n *node) {
	n.run++
	n.validUntil, n.pausedUntil, n.releaseData = 0, 0, nil
	n.controller = leaser.NewController(n.name, fmt.Sprintf("%s/%d", n.name, n.run), []string{leaseName}, leaser.DefaultTiming)
	n.controller.FirstStart = n.run == 1
	w.deliver(n, n.run, leaser.SetNodes{Names: w.names()})
}

// crash ends the current run of a node.
func (w *world) crash(n *node) {
	n.run++
	n.controller, n.validUntil = nil, 0
}

// deliver delivers a message to a run of a node, after any pause.
func (w *world) deliver(n *node, run int, message leaser.Message) {
	switch {
	case n.controller == nil || n.run != run:
		return
	case n.pausedUntil > w.now:
		w.after(n.pausedUntil-w.now, func() { w.deliver(n, run, message) })
		return
	}
	for _, effect := range n.controller.Step(n.localTime(w.now), message) {
		w.perform(n, effect)
	}
	w.scheduleTick(n)
}

func (w *world) scheduleTick(n *node) {
	n.ticks++
	ticks, run := n.ticks, n.run
	wake := n.controller.Wake()
	if wake.IsZero() {
		return
	}
	// Timers never fire early; the added nanosecond makes up for rounding.
	w.after(max(0, n.realTime(wake)-w.now)+1, func() {
		if n.ticks == ticks {
			w.deliver(n, run, leaser.Tick{})
		}
	})
}

func (w *world) perform(n *node, effect leaser.Effect) {
	switch effect := effect.(type) {
	case leaser.Read:
		w.read(n)
	case leaser.Write:
		w.write(n, effect)
	case leaser.Held:
		w.checkTenure(n, effect)
	case leaser.Lost:
		n.validUntil = 0
	case leaser.Stored:
		w.setStoredData(effect.Data)
	case leaser.AnswerRelease:
		if effect.Released && n.releaseData != nil {
			w.setStoredData(n.releaseData)
		}
	}
}

// checkTenure compares a new or renewed tenure with those of all other nodes.
func (w *world) checkTenure(n *node, held leaser.Held) {
	holder := fmt.Sprintf("%s/%d", n.name, n.run)
	for _, other := range w.nodes {
		if other != n && other.validUntil > w.now {
			w.violate("%s holds epoch %d while %s is valid until %s with epoch %d",
				holder, held.Epoch, other.name, other.validUntil, other.held.Epoch)
		}
	}
	switch previous, known := w.tenures[held.Epoch]; {
	case known && (previous != holder || n.validUntil == 0):
		w.violate("%s holds epoch %d, which was held by %s", holder, held.Epoch, previous)
	case !known && held.Epoch <= w.lastEpoch:
		w.violate("%s holds epoch %d after epoch %d", holder, held.Epoch, w.lastEpoch)
	case !known:
		w.checkData(held)
		w.tenures[held.Epoch] = holder
		w.lastEpoch = held.Epoch
		w.lastTenureStart = w.now
	}
	if !held.Valid(n.localTime(w.now)) {
		w.violate("%s gets Held for epoch %d after its end", holder, held.Epoch)
	}
	n.held, n.validUntil = held, n.realTime(held.Until)
}

// checkData compares the inherited data with what was stored. The data is a
// number that increases with every request to store or hand over data. A later
// holder must inherit the data that was reported as stored, or newer data.
func (w *world) checkData(held leaser.Held) {
	inherited, _ := strconv.Atoi(string(held.Data))
	if inherited < w.lastStoredData {
		w.violate("epoch %d inherits data %d after data %d was stored", held.Epoch, inherited, w.lastStoredData)
	}
}

// newData returns the next data to store or hand over.
func (w *world) newData() []byte {
	w.lastRequestedData++
	return []byte(strconv.Itoa(w.lastRequestedData))
}

func (w *world) setStoredData(data []byte) {
	w.lastStoredData, _ = strconv.Atoi(string(data))
}

func (w *world) violate(format string, arguments ...any) {
	w.violations = append(w.violations, w.now.String()+": "+fmt.Sprintf(format, arguments...))
}

// release makes a node hand over the lease.
func (w *world) release(n *node) {
	if n.controller == nil || n.pausedUntil > w.now {
		return
	}
	if n.validUntil > w.now {
		n.releaseData = w.newData()
	}
	w.deliver(n, n.run, leaser.Release{Name: leaseName, Data: n.releaseData})
}

// resume makes a run of a node a candidate again.
func (w *world) resume(n *node, run int) {
	w.deliver(n, run, leaser.Resume{Name: leaseName})
}

// setData makes a node store new data in the lease, if the node holds it.
func (w *world) setData(n *node) {
	if n.controller != nil && n.validUntil > w.now {
		w.deliver(n, n.run, leaser.SetData{Name: leaseName, Data: w.newData()})
	}
}

// holder returns the node whose tenure is valid now, or nil.
func (w *world) holder() *node {
	for _, n := range w.nodes {
		if n.validUntil > w.now {
			return n
		}
	}
	return nil
}
