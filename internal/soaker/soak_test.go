package soaker

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"toucanhitch.example/toucanhitch/internal/emulator"
)

var (
	firstSeed = flag.Uint64("soak.first", 1, "first seed")
	seedCount = flag.Uint64("soak.seeds", 2, "number of seeds")
	soakFor   = flag.Duration("soak.for", 9*time.Second, "time with faults for each seed")
	nodeCount = flag.Int("soak.nodes", 3, "number of nodes")
	callers   = flag.Int("soak.callers", 6, "number of callers")
	plant     = flag.String("soak.plant", "", "fault planted in the check's own records: twice, refused, mixed, orders")
)

// failedSeeds holds every seed that ever failed, with its cause. They are played
// with the others.
var failedSeeds = []uint64{
	// With 150 nodes: spare replicas of busy models took every place, and both
	// plain replicas came back from leaving under their former start.
	102,
}

// settleFor is the time after the last fault: a lease, the spacing of orders
// and a load must fit in, and requests be served again.
const settleFor = 9 * time.Second

// TestSoak guards against broken promises under faults that overlap: processes
// that are killed, paused, told to leave or to reload, a store that is down,
// slow or loses answers, replicas that break, leave or go, and paths that
// delay, reset or swallow bytes.
func TestSoak(t *testing.T) {
	binary := build(t)
	seeds := slices.Clone(failedSeeds)
	for seed := *firstSeed; seed < *firstSeed+*seedCount; seed++ {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			soak(t, binary, seed)
		})
	}
}

func build(t *testing.T) string {
	binary := filepath.Join(t.TempDir(), "toucanhitch")
	output, err := exec.Command("go", "build", "-o", binary, "toucanhitch.example/toucanhitch/cmd/toucanhitch").CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, output)
	}
	return binary
}

// soak plays one seed.
func soak(t *testing.T, binary string, seed uint64) {
	ctx, end := context.WithCancel(context.Background())
	defer end()
	w := newWorld(ctx, t, binary, int(seed), *nodeCount)
	for _, n := range w.nodes {
		w.start(n)
		defer n.stop()
	}
	w.awaitReady()
	found := &record{}
	calling, stopCalling := context.WithCancel(ctx)
	var calls sync.WaitGroup
	for i := range *callers {
		calls.Go(func() { w.call(calling, rand.New(rand.NewPCG(seed, uint64(i)+1)), i, found) })
	}
	injector := &injector{world: w, random: rand.New(rand.NewPCG(seed, 0)), withdrawn: map[string]time.Time{}}
	injector.run(time.Now().Add(*soakFor))
	calmAt := time.Now().Add(settleFor)
	time.Sleep(settleFor + 2*time.Second)
	stopCalling()
	calls.Wait()
	outcomes := planted(w, found.outcomes)
	problems := w.check(outcomes, injector.withdrawn, injector.resumed)
	served, asked := recovered(outcomes, calmAt)
	if asked > 0 && served*4 < asked {
		problems = append(problems, fmt.Sprintf("RECOVER: %d of %d requests were served %v after the last fault", served, asked, settleFor))
	}
	t.Logf("%d requests, faults: %v", len(outcomes), injector.log)
	for _, text := range problems {
		t.Error(text)
	}
	if t.Failed() {
		w.keepLogs(seed)
	}
}

// awaitReady waits until all nodes say that they are ready.
func (w *world) awaitReady() {
	deadline := time.Now().Add(10 * time.Second)
	for _, n := range w.nodes {
		for {
			answer, err := http.Get("http://" + n.address(readinessPort) + "/toucanhitch/readyz")
			if err == nil {
				answer.Body.Close()
				if answer.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				w.t.Fatalf("%s is not ready: %s", n.name, n.logs)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(500 * time.Millisecond)
}

// keepLogs leaves the processes' logs for the trace of a failure.
func (w *world) keepLogs(seed uint64) {
	for _, n := range w.nodes {
		n.stop()
		path := filepath.Join(os.TempDir(), fmt.Sprintf("soak-%d-%s.log", seed, n.name))
		if err := os.WriteFile(path, n.logs.Bytes(), 0o600); err == nil {
			w.t.Logf("logs: %s", path)
		}
	}
}

// recovered counts the requests after the faults.
func recovered(outcomes []outcome, since time.Time) (served, asked int) {
	for _, o := range outcomes {
		if o.sentAt.After(since) && o.key == "key-a" {
			asked++
			if o.status == http.StatusOK && o.whole {
				served++
			}
		}
	}
	return served, asked
}

// planted falsifies the records, so that it can be seen that each check fails.
func planted(w *world, outcomes []outcome) []outcome {
	for i := range outcomes {
		o := &outcomes[i]
		switch {
		case *plant == "twice" && o.path == "/safe/" && o.whole:
			o.path = "/once/"
		case *plant == "refused" && o.path == "/once/" && o.whole:
			o.status = http.StatusServiceUnavailable
		case *plant == "mixed" && o.status == http.StatusOK:
			o.attempt = outcomes[0].attempt
		}
	}
	if *plant == "orders" {
		w.replicas[0].stand = w.replicas[0].stand.WithConflictingOrders()
	}
	return outcomes
}

// injector draws faults.
type injector struct {
	world     *world
	random    *rand.Rand
	withdrawn map[string]time.Time
	resumed   []time.Time
	log       []string
}

// run injects faults until a time, and undoes all of them. Faults overlap: each
// one ends by itself some time after it began.
func (in *injector) run(until time.Time) {
	type undo struct {
		at   time.Time
		call func()
	}
	var undos []undo
	for time.Now().Before(until) {
		call, lasts := in.fault()
		if call != nil {
			undos = append(undos, undo{time.Now().Add(lasts), call})
		}
		next := time.Now().Add(time.Duration(200+in.random.IntN(900)) * time.Millisecond)
		for time.Now().Before(next) {
			time.Sleep(20 * time.Millisecond)
			rest := undos[:0]
			for _, u := range undos {
				if time.Now().After(u.at) {
					u.call()
				} else {
					rest = append(rest, u)
				}
			}
			undos = rest
		}
	}
	for _, u := range undos {
		u.call()
	}
}

func (in *injector) note(format string, values ...any) {
	in.log = append(in.log, fmt.Sprintf(format, values...))
}

// fault begins one fault and returns what ends it, and after how long.
func (in *injector) fault() (func(), time.Duration) {
	w := in.world
	n := w.nodes[in.random.IntN(len(w.nodes))]
	r := w.replicas[in.random.IntN(len(w.replicas))]
	lasts := time.Duration(300+in.random.IntN(3500)) * time.Millisecond
	switch in.random.IntN(12) {
	case 0, 1:
		in.note("kill %s", n.name)
		n.stop()
		return func() { w.start(n) }, lasts / 2
	case 2, 3:
		in.note("pause %s for %v", n.name, lasts)
		n.signal(syscall.SIGSTOP)
		return func() {
			n.signal(syscall.SIGCONT)
			in.resumed = append(in.resumed, time.Now())
		}, lasts
	case 4:
		in.note("terminate %s", n.name)
		n.signal(syscall.SIGCONT)
		n.signal(syscall.SIGTERM)
		return func() {
			n.stop()
			w.start(n)
		}, drainGrace
	case 5:
		in.note("hang up %s", n.name)
		n.signal(syscall.SIGHUP)
		return nil, 0
	case 6:
		m := []mode{delay, silence, oneWay, reset}[in.random.IntN(4)]
		in.note("path to the store %d for %v", m, lasts)
		w.path.set(m)
		return func() { w.path.set(pass) }, lasts
	case 7:
		faults := []emulator.StoreFaults{{Busy: true}, {Silent: true}, {Delay: 150 * time.Millisecond}, {LoseEvery: 2}}[in.random.IntN(4)]
		in.note("store %+v for %v", faults, lasts)
		w.store.SetFaults(faults)
		return func() { w.store.SetFaults(emulator.StoreFaults{}) }, lasts
	case 8, 9:
		m := []mode{delay, silence, oneWay, reset}[in.random.IntN(4)]
		in.note("path to %s %d for %v", r.id, m, lasts)
		r.path.set(m)
		return func() { r.path.set(pass) }, lasts
	case 10:
		faults := []emulator.ReplicaFaults{{BreakEvery: 3}, {LoseEvery: 4}, {FailEvery: 2}, {Full: true}}[in.random.IntN(4)]
		in.note("%s %+v for %v", r.id, faults, lasts)
		r.stand.SetFaults(faults)
		return func() { r.stand.SetFaults(emulator.ReplicaFaults{}) }, lasts
	}
	if in.random.IntN(2) == 0 && len(w.keys) > 1 {
		in.note("withdraw key-b")
		w.keys = w.keys[:1]
		w.configure()
		in.withdrawn["key-b"] = time.Now()
		return nil, 0
	}
	in.note("%s leaves for %v", r.id, lasts)
	r.leaving.Store(true)
	// A replica that left ends; what comes back is a new start.
	return func() {
		r.stand.Restart()
		r.leaving.Store(false)
	}, lasts
}
