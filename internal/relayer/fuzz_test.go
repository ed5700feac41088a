package relayer

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"toucanhitch.example/toucanhitch/internal/runner"
	"toucanhitch.example/toucanhitch/internal/tester"
)

const (
	// detectionTime is within which a partition is found while requests come, and
	// recoveryTime within which its end is.
	detectionTime = 1500 * time.Millisecond
	recoveryTime  = 3 * time.Second
	loadInterval  = 100 * time.Millisecond
)

// world knows which replicas and peers work and whether the node reaches the replicas. Connects
// take no time in it.
type world struct {
	t           *rapid.T
	controller  *Controller
	now         time.Time
	routes      Routes
	replicas    []string
	peers       []string
	crashed     map[string]bool
	refusing    map[string]bool
	partitioned bool
	// wasPartitioned is set once the node was partitioned.
	wasPartitioned bool
	lastRead       time.Time
	ticks          int
}

func (w *world) step(message Message) {
	for _, effect := range w.controller.Step(w.now, message) {
		switch effect := effect.(type) {
		case PublishRoutes:
			w.routes = effect.Routes
		case Probe:
			w.step(ProbeDone{Address: effect.Address, Reached: w.isReached(effect.Address)})
		case Check:
			w.connect(effect.Replica.Address)
			w.step(CheckDone{})
		}
	}
}

func (w *world) isReached(address string) bool { return !w.partitioned && !w.crashed[address] }

// connect does what Task.Connect does.
func (w *world) connect(address string) {
	relayed := w.routes.Partitioned || w.routes.Relayed[address]
	if !relayed && w.isReached(address) {
		w.step(Reached{address})
		return
	}
	var peers []string
	for _, effect := range w.controller.Step(w.now, Choose{Call: runner.Call(1), Address: address}) {
		peers = effect.(AnswerChoose).Peers
	}
	for _, peer := range peers {
		switch {
		case w.refusing[peer]:
			w.step(PeerFailed{peer})
		case w.crashed[address]:
			w.step(Unreachable{address})
			return
		default:
			w.step(Relayed{Address: address, Peer: peer, DirectFailed: !relayed, StartedAt: w.now})
			return
		}
	}
}

// advance lets time pass with the controller's ticks.
func (w *world) advance(duration time.Duration) {
	until := w.now.Add(duration)
	for wake := w.controller.Wake(); !wake.IsZero() && !wake.After(until); wake = w.controller.Wake() {
		if wake.After(w.now) {
			w.now = wake
		}
		w.step(Tick{})
		if w.ticks++; w.ticks > 100_000 {
			w.t.Fatal("ticks do not end")
		}
	}
	w.now = until
}

// load sends requests to all replicas in turn for some time, on new connections or only on kept
// ones.
func (w *world) load(duration time.Duration, kept bool) {
	end := w.now.Add(duration)
	for i := rapid.IntRange(0, len(w.replicas)-1).Draw(w.t, "first"); w.now.Before(end); i++ {
		address := w.replicas[i%len(w.replicas)]
		if w.isReached(address) {
			w.lastRead = w.now
		} else if quiet := w.now.Sub(w.lastRead); quiet >= quietTime {
			w.step(Suspected{Address: address, QuietFor: quiet})
		}
		if !kept {
			w.connect(address)
		}
		w.advance(loadInterval)
	}
}

func (w *world) live() int {
	live := 0
	for _, address := range w.replicas {
		if !w.crashed[address] {
			live++
		}
	}
	return live
}

// TestPartitionIsFoundAndLeft guards against a partition that is not found while requests come,
// one that is found where replicas have crashed or nothing has failed, and one that does not end.
func TestPartitionIsFoundAndLeft(t *testing.T) {
	tester.Check(t, 20, func(t *rapid.T) {
		w := &world{
			t: t, controller: NewController(rapid.Uint64().Draw(t, "seed")), now: tester.Start, lastRead: tester.Start,
			crashed: map[string]bool{}, refusing: map[string]bool{},
		}
		var replicas []Replica
		for i := range rapid.IntRange(2, 6).Draw(t, "replicas") {
			address := fmt.Sprintf("r%d:1", i)
			w.replicas = append(w.replicas, address)
			replicas = append(replicas, Replica{ID: fmt.Sprint("r", i), Address: address, DataCentre: fmt.Sprint("d", i%2)})
		}
		var peers []Peer
		for i := range rapid.IntRange(1, 8).Draw(t, "peers") {
			w.peers = append(w.peers, fmt.Sprint("n", i))
			peers = append(peers, Peer{Address: fmt.Sprint("n", i), DataCentre: fmt.Sprint("d", i%3)})
		}
		w.step(SetReplicas{replicas})
		w.step(SetPeers{peers})
		t.Repeat(map[string]func(*rapid.T){
			"cut":  func(*rapid.T) { w.partitioned, w.wasPartitioned = true, true },
			"heal": func(*rapid.T) { w.partitioned = false },
			"pause": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
			},
			"wait": func(t *rapid.T) {
				w.advance(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"crash": func(t *rapid.T) { w.crashed[rapid.SampledFrom(w.replicas).Draw(t, "crashed")] = true },
			"start": func(t *rapid.T) { w.crashed[rapid.SampledFrom(w.replicas).Draw(t, "started")] = false },
			"turn": func(t *rapid.T) {
				// One peer always relays.
				if peer := rapid.SampledFrom(w.peers).Draw(t, "peer"); peer != w.peers[0] {
					w.refusing[peer] = !w.refusing[peer]
				}
			},
			"load": func(t *rapid.T) {
				kept := rapid.Bool().Draw(t, "kept")
				if kept && w.live() < len(w.replicas) {
					// Only some checks then show a partition.
					kept = false
				}
				duration := recoveryTime
				if w.partitioned {
					duration = detectionTime
				}
				// Peers that refused before, and replicas that have started again, are left out
				// for a second.
				w.advance(max(peerAvoidance, unreachableTime))
				w.load(duration, kept)
				switch {
				case w.live() < evidenceReplicas:
				case w.partitioned != w.routes.Partitioned:
					t.Fatalf("partitioned: %v, believed: %v", w.partitioned, w.routes.Partitioned)
				case !w.partitioned:
					for address := range w.routes.Relayed {
						if !w.crashed[address] {
							t.Fatalf("%s is reached directly, and relayed", address)
						}
					}
				}
			},
			"": func(t *rapid.T) {
				if !w.wasPartitioned && (w.routes.Partitioned || len(w.routes.Relayed) > 0) {
					t.Fatalf("never partitioned, but %+v", w.routes)
				}
			},
		})
	})
}
