package soaker

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

var (
	firstSilenceSeed = flag.Uint64("silence.first", 1, "first seed of silent replicas")
	silenceSeeds     = flag.Uint64("silence.seeds", 1, "number of seeds of silent replicas")
	silenceLoads     = flag.Bool("silence.loads", false, "let models be loaded and unloaded beside the silence; TestRefusedSuccessorKeepsStream shows a fault of that")
	silenceDuration  = flag.Duration("silence.for", 6*time.Second, "time with silent replicas for each seed")
)

const (
	// singlePath is the prefix of streams that may be resumed, with a single attempt.
	singlePath = "/single/"
	// secondService is a plain service to which routes are moved.
	secondService = "app-2"
	// longBodyBytes is the size of what fills long bodies, which do not fit the buffers of a
	// connection.
	longBodyBytes = 200 << 10
	// silenceNetwork is the network of the first deployment with silent replicas.
	silenceNetwork = 220
	// minSilence and maxSilence bound one silence of a sound replica.
	minSilence, maxSilence = 300 * time.Millisecond, 1500 * time.Millisecond
	// minRouteTimeout is the shortest timeout of a route in any configuration. A request that
	// ends endSlack before it has not used its time.
	minRouteTimeout, endSlack = 3 * time.Second, 200 * time.Millisecond
	silentCallers             = 16
	// minServed is the number of served requests below which a run shows nothing.
	minServed = 50
)

// silenceFaults makes sound replicas silent beside planned work.
type silenceFaults struct {
	*deployment
	random *rand.Rand
	log    []string
	// terminatedAt holds the times at which nodes were terminated, by their address.
	terminatedAt map[string]time.Time
}

// TestSilentReplicas guards against requests that are lost because sound replicas send nothing
// for up to 1.5 s, one or all of them, at any point of a request, also beside changes of the
// configuration, reloads, terminations and nodes that can open no connections to replicas. See
// checkLost for what counts as lost.
func TestSilentReplicas(t *testing.T) {
	binary := buildPartitionable(t)
	for seed := *firstSilenceSeed; seed < *firstSilenceSeed+*silenceSeeds; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			runSilence(t, binary, seed, silenceNetwork+int(seed%30))
		})
	}
}

func runSilence(t *testing.T, binary string, seed uint64, network int) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d := newDeployment(ctx, t, binary, network, 3)
	for i := range 2 {
		settings := engineSettings(fmt.Sprintf("s-%d", i))
		settings.Service, settings.ModelSizesMB = secondService, nil
		d.addReplica(ctx, settings, len(d.replicas))
	}
	faults := &silenceFaults{deployment: d, random: rand.New(rand.NewPCG(seed, 0)), terminatedAt: map[string]time.Time{}}
	if !*silenceLoads {
		d.preloadAll()
	}
	d.configure(func() { d.adjust = adjustFirst })
	for _, n := range d.nodes {
		d.startPartitionable(n)
		defer n.stop()
	}
	d.awaitReady()
	results := &outcomeLog{}
	callersCtx, stopCallers := context.WithCancel(ctx)
	var callerGroup sync.WaitGroup
	for i := range silentCallers {
		random := rand.New(rand.NewPCG(seed, uint64(i)+1))
		callerGroup.Go(func() { d.runSilentCaller(callersCtx, random, i, results) })
	}
	time.Sleep(time.Second) // until the nodes know the replicas
	faults.run(time.Now().Add(*silenceDuration))
	time.Sleep(maxSilence)
	stopCallers()
	callerGroup.Wait()
	t.Logf("%d requests, faults: %v", len(results.outcomes), faults.log)
	problems := append(d.checkInvariants(results.outcomes, nil, nil), faults.checkLost(results.outcomes)...)
	for _, problem := range problems {
		t.Error(problem)
	}
	if t.Failed() {
		d.saveLogs(uint64(network))
	}
}

// preloadAll puts all models into the memory of all engines.
func (d *deployment) preloadAll() {
	for _, r := range d.replicas {
		for _, model := range modelNames {
			r.emulated.Preload(model)
		}
	}
}

// runSilentCaller sends requests of all kinds, one after the other, over kept or new connections.
func (d *deployment) runSilentCaller(ctx context.Context, random *rand.Rand, index int, results *outcomeLog) {
	transport := &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableKeepAlives: index%4 == 0, MaxIdleConnsPerHost: 1,
		IdleConnTimeout: minIdleTimeout * 4 / 5,
	}
	client := &http.Client{Transport: transport}
	paths := []string{"/once/", "/safe/", "/stream/", "/resume/", singlePath}
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(time.Duration(random.IntN(40)) * time.Millisecond)
		o := outcome{attempt: fmt.Sprintf("s-%d-%d", index, i), path: paths[random.IntN(len(paths))], key: "key-a"}
		o.framing = []string{"", "chunks", "close"}[random.IntN(3)]
		if random.IntN(4) == 0 {
			o.requestBody = longBody(o.attempt)
		}
		node := d.nodes[random.IntN(len(d.nodes))]
		o.sentAt = time.Now()
		d.send(client, node.address(callersPort), random, &o)
		results.add(o)
	}
}

// longBody returns the long body of a request.
func longBody(attempt string) string {
	return "body of " + attempt + strings.Repeat(".", longBodyBytes)
}

// checkLost returns the requests that ended before their time with a closed connection, in the
// middle of an answer, or with a failure of the node. A request that may be repeated may end with
// 502 at a node that is partitioned: its connections are likely to be dead, and the caller can
// repeat it elsewhere.
func (f *silenceFaults) checkLost(outcomes []outcome) []string {
	ran := map[string]bool{}
	for _, r := range f.replicas {
		for _, run := range r.emulated.Runs() {
			ran[run.Attempt] = true
		}
	}
	var problems []string
	counts := map[string]int{}
	served := 0
	for _, o := range outcomes {
		took := o.endedAt.Sub(o.sentAt)
		result := fmt.Sprintf("status %d, complete: %v", o.status, o.complete)
		counts[o.path+" "+result]++
		switch {
		case o.status == http.StatusOK && o.complete:
			served++
		case o.status == http.StatusServiceUnavailable && o.complete, o.status == http.StatusTooManyRequests && o.complete:
			// checkInvariants checks that what may run once has not.
		case o.status == http.StatusBadGateway && o.complete && isRepeatable(o.path):
		case took > minRouteTimeout-endSlack:
		case o.status == 0 && !ran[o.attempt]:
			// The request crossed the end of its connection or of the node.
		case f.excused(o):
		default:
			problems = append(problems, fmt.Sprintf("LOST: %s %s %s at %s ended with %s after %v", o.attempt, o.path, o.framing, o.node, result, took.Round(time.Millisecond)))
		}
	}
	f.t.Logf("results: %v", counts)
	if served < minServed {
		problems = append(problems, fmt.Sprintf("%d requests were served, want %d or more", served, minServed))
	}
	return problems
}

// isRepeatable reports whether requests of a path may run more than once.
func isRepeatable(path string) bool {
	return slices.Contains([]string{"/safe/", "/resume/", singlePath}, path)
}

// excused reports whether the node was terminated and had no time left for the request.
func (f *silenceFaults) excused(o outcome) bool {
	at, ok := f.terminatedAt[o.node]
	return ok && o.sentAt.Before(at.Add(3*time.Second)) && o.endedAt.After(at.Add(drainGrace/6*5))
}

// run makes replicas silent beside planned work until a time.
func (f *silenceFaults) run(until time.Time) {
	var pending []func()
	leavingNode := f.nodes[f.random.IntN(len(f.nodes))]
	leavesAt := time.Now().Add(time.Until(until) / 3)
	for time.Now().Before(until) {
		f.makeSilent()
		time.Sleep(time.Duration(100+f.random.IntN(500)) * time.Millisecond)
		if len(pending) > 0 && f.random.IntN(4) == 0 {
			pending[0]()
			pending = pending[1:]
		}
		n := f.nodes[f.random.IntN(len(f.nodes))]
		switch f.random.IntN(5) {
		case 0, 1:
			seed := f.random.Uint64()
			f.configure(func() {
				f.adjust = func(configuration map[string]any) {
					adjustFirst(configuration)
					adjustAtRandom(rand.New(rand.NewPCG(seed, 0)), configuration)
				}
			})
			f.log = append(f.log, "change of the configuration")
		case 2:
			if n != leavingNode {
				f.log = append(f.log, "reload "+n.name)
				n.signal(syscall.SIGHUP)
			}
		case 3:
			if n != leavingNode {
				f.log = append(f.log, n.name+" opens no connections to replicas")
				f.setNewConnections(n, "refuse")
				pending = append(pending, func() { f.setNewConnections(n, "live") })
			}
		}
		if time.Now().After(leavesAt) && len(f.terminatedAt) == 0 {
			f.log = append(f.log, "terminate "+leavingNode.name)
			f.terminatedAt[leavingNode.address(callersPort)] = time.Now()
			leavingNode.signal(syscall.SIGTERM)
		}
	}
	for _, undo := range pending {
		undo()
	}
}

// makeSilent makes one or all replicas silent.
func (f *silenceFaults) makeSilent() {
	duration := minSilence + time.Duration(f.random.Int64N(int64(maxSilence-minSilence)))
	silent := f.replicas
	if f.random.IntN(3) > 0 {
		i := f.random.IntN(len(f.replicas))
		silent = f.replicas[i : i+1]
	}
	for _, r := range silent {
		r.proxy.silence(duration)
	}
	f.log = append(f.log, fmt.Sprintf("%d replicas silent for %v", len(silent), duration.Round(time.Millisecond)))
}

// minIdleTimeout is the shortest idle timeout in any configuration.
const minIdleTimeout = 2 * time.Second

// adjustFirst adds a route with a single attempt and a second plain service.
func adjustFirst(configuration map[string]any) {
	routes := configuration["routes"].([]any)
	for _, route := range slices.Clone(routes) {
		route := route.(map[string]any)
		route["target-latency-ms"] = 400
		if route["path-prefix"] == "/resume/" {
			single := map[string]any{}
			for name, value := range route {
				single[name] = value
			}
			single["name"], single["path-prefix"], single["max-attempts"] = "single", singlePath, 1
			routes = append(routes, single)
		}
	}
	configuration["routes"] = routes
	if !*silenceLoads {
		for _, service := range configuration["services"].([]any) {
			if engine, ok := service.(map[string]any)["engine"]; ok {
				engine.(map[string]any)["weights-mb"] = modelMB * (len(modelNames) + 1)
			}
		}
	}
	configuration["services"] = append(configuration["services"].([]any), map[string]any{"name": secondService, "max-conns": 100})
	configuration["limits"].(map[string]any)["idle-timeout-ms"] = 4000
}

// adjustAtRandom changes timeouts, objectives, services and weights of routes, the idle timeout
// and the keys.
func adjustAtRandom(random *rand.Rand, configuration map[string]any) {
	for _, route := range configuration["routes"].([]any) {
		route := route.(map[string]any)
		route["timeout-ms"] = []int64{minRouteTimeout.Milliseconds(), 4000, 6000}[random.IntN(3)]
		route["target-latency-ms"] = []int{200, 400, 1000}[random.IntN(3)]
		if route["service"] != plainService {
			continue
		}
		switch random.IntN(3) {
		case 0:
			route["service"] = secondService
		case 1:
			delete(route, "service")
			route["split"] = []any{
				map[string]any{"service": plainService, "weight": 1 + random.IntN(9)},
				map[string]any{"service": secondService, "weight": 1 + random.IntN(9)},
			}
		}
	}
	configuration["limits"].(map[string]any)["idle-timeout-ms"] = []int64{minIdleTimeout.Milliseconds(), 4000, 15000}[random.IntN(3)]
	tenant := configuration["tenants"].([]any)[0].(map[string]any)
	tenant["api-keys"] = append(slices.Clone(tenant["api-keys"].([]string)), fmt.Sprintf("key-%d", random.IntN(4)+10))
}
