package main

import (
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	nodeCount      = 7
	streamInterval = 25 * time.Millisecond
	// Nodes are killed killCount times, each time all but one, and started again after
	// restartAfter. They have been in touch for long enough before the next time.
	killCount    = 3
	killInterval = 9 * time.Second
	restartAfter = 2 * time.Second
	contactTime  = 3 * time.Second
	// minTakenUp is the number of streams taken up from which the rule judges.
	minTakenUp = 12
)

// window is the time after a kill with the node that was spared, which is in touch all the time.
type window struct {
	from, to time.Time
	spared   *Node
}

// playStreams has replicas of two software versions side by side, and kills all nodes but one
// at the same moment while streams run. Requesters take their streams up again at the node that
// is left.
func playStreams(play *Play) int {
	var replicas []*Replica
	for i, version := range []string{"v1", "v1", "v1", "v1", "v2", "v2", "v2", "v2"} {
		replicas = append(replicas, &Replica{
			ID: "i-" + string(rune('a'+i)), Service: "llm", Zone: string(rune('a' + i%3)), Version: version, Slots: 24,
			MemoryMB: 200000, Held: map[string]float64{model: 42700},
		})
	}
	fleet, err := play.NewFleet(nodeCount, replicas, streamState())
	if err != nil {
		play.Record.Printf("the case cannot run: %v", err)
		return failed
	}
	time.Sleep(contactTime)
	addresses := fleet.AwaitDirectory()
	if addresses == nil {
		play.Record.Printf("the case cannot run: the directory does not name all nodes")
		return failed
	}
	clients := &Clients{record: play.Record}
	var streams sync.WaitGroup
	var windows []window
	started := time.Now()
	for time.Since(started) < (killCount+1)*killInterval {
		if next := len(windows); next < killCount && time.Since(started) >= time.Duration(next+1)*killInterval {
			spared := fleet.Nodes[2*next]
			now := time.Now()
			windows = append(windows, window{now, now.Add(killInterval), spared})
			if play.Trouble {
				killAllBut(play, fleet, spared)
			}
		}
		streams.Go(func() { clients.Stream(addresses) })
		time.Sleep(streamInterval)
	}
	streams.Wait()
	return judgeStreams(play, clients, windows)
}

// killAllBut kills all nodes but one, and starts them again later.
func killAllBut(play *Play, fleet *Fleet, spared *Node) {
	play.Record.Printf("SIGKILL for all nodes but %s", spared.Name)
	killed := map[*Node]<-chan struct{}{}
	for _, node := range fleet.Nodes {
		if node != spared {
			killed[node] = node.Signal(os.Kill)
		}
	}
	time.AfterFunc(restartAfter, func() {
		for node, ended := range killed {
			<-ended
			if err := node.Start(false); err == nil {
				play.Record.Printf("%s started again", node.Name)
			}
		}
	})
}

// judgeStreams applies the rule LOST for streams that are taken up: of 12 or more at machines in
// touch, while two replicas of their version serve, the share that goes on is not under half of
// the share of new streams that begin. Only the nodes that were spared count, until the next
// kill. All replicas serve all the time.
func judgeStreams(play *Play, clients *Clients, windows []window) int {
	takenUp, goneOn, fresh, begun := 0, 0, 0, 0
	for _, try := range clients.tries {
		for _, w := range windows {
			if try.Front != w.spared.Front || try.SentAt.Before(w.from) || !try.SentAt.Before(w.to) {
				continue
			}
			began := try.Status == http.StatusOK && (try.Events > 0 || try.Complete)
			switch {
			case try.Resumes != "":
				takenUp++
				if began {
					goneOn++
				}
			default:
				fresh++
				if began {
					begun++
				}
			}
		}
	}
	play.Record.Printf("at the nodes in touch: %d of %d streams that were taken up again went on, %d of %d new ones began", goneOn, takenUp, begun, fresh)
	if takenUp >= minTakenUp && float64(goneOn)/float64(takenUp) < 0.5*float64(begun)/float64(max(1, fresh)) {
		play.Record.Printf("LOST is broken")
		return broken
	}
	play.Record.Printf("LOST holds")
	return held
}

// streamState is a desired state with one resumable route to a service of model replicas.
func streamState() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-brief", "host": host, "path-prefix": "/brief/", "route-kind": "streaming", "timeout-ms": 6000, "target-latency-ms": 500,
			"priority": 0, "service": "llm", "max-attempts": 2, "public": false, "sticky": true, "resumable": true, "target-gap-ms": 600,
		}},
		"services": []any{map[string]any{
			"name": "llm", "health-path": "/healthz", "max-conns": 200, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": 24, "kv-capacity": 200000, "weights-mb": 200000, "adapter-slots": 8, "loads-per-s": 15,
				"models": []any{map[string]any{"name": model, "weights-mb": 42700, "load-s": 6, "adapters": 0, "adapter-size-mb": 66}},
			},
		}},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 5000, "idle-timeout-ms": 10000},
		"tenants": []any{map[string]any{"name": "tenant-a", "api-keys": []string{key}, "priority": 0, "unit": "token_stream", "plain-tokens": 200}},
	}
}
