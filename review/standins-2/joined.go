package main

import (
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"
)

const (
	// The store comes back from a copy that is older than the replicas of the second version.
	joinedNodes     = 6
	settleTime      = 4 * time.Second
	addVersionAfter = 1 * time.Second
	killAllAfter    = 7 * time.Second
	joinedLength    = 13 * time.Second
	// Replicas write their entries again within about two seconds of the store's return.
	reregisterTime = 1900 * time.Millisecond
	startDelay     = 200 * time.Millisecond
	// maxJoined is the number of streams with events of two versions that the rule allows.
	maxJoined = 2
	// The tries of a requester after a broken channel, and the first pause between two of them,
	// which doubles.
	patientTries = 5
	firstPause   = 300 * time.Millisecond
)

// playJoined adds replicas of a second software version, and later has the store come back from a
// copy that has neither them nor what the nodes knew of them, while all nodes are killed. Streams
// that the second version began must not go on at the first one.
func playJoined(play *Play) int {
	var replicas []*Replica
	for i := range 6 {
		version := "v1"
		if i >= 3 {
			version = "v2"
		}
		replicas = append(replicas, &Replica{
			ID: "i-" + string(rune('a'+i)), Service: "llm", Zone: string(rune('a' + i%3)), Version: version, Slots: 24, EventInterval: 300 * time.Millisecond,
			MemoryMB: 200000, Held: map[string]float64{model: 42700}, silent: version == "v2",
		})
	}
	fleet, err := play.NewFleet(joinedNodes, replicas, streamState())
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
	time.Sleep(settleTime)
	fleet.Store.Copy()
	play.Record.Printf("the store is copied: %v", fleet.Store.Names("servers"))
	var streams sync.WaitGroup
	var mu sync.Mutex
	joined := 0
	started, added, killed := time.Now(), false, false
	for time.Since(started) < joinedLength {
		if !added && time.Since(started) >= addVersionAfter {
			added = true
			setSilent(replicas[3:], false)
			play.Record.Printf("replicas of version v2 are added")
		}
		if play.Trouble && !killed && time.Since(started) >= killAllAfter {
			killed = true
			restoreAndKill(play, fleet)
		}
		streams.Go(func() {
			if clients.follow(addresses) > 1 {
				mu.Lock()
				joined++
				mu.Unlock()
			}
		})
		time.Sleep(2 * streamInterval)
	}
	streams.Wait()
	play.Record.Printf("%d streams hold events of two versions", joined)
	if joined > maxJoined {
		play.Record.Printf("ORDER is broken")
		return broken
	}
	return held
}

// restoreAndKill has the store come back from its copy while all nodes are killed and started
// again.
func restoreAndKill(play *Play, fleet *Fleet) {
	play.Record.Printf("the store is away, and all nodes are killed")
	fleet.Store.SetAway(true)
	setSilent(fleet.Replicas, true)
	var ended []<-chan struct{}
	for _, node := range fleet.Nodes {
		ended = append(ended, node.Signal(os.Kill))
	}
	time.AfterFunc(awayTime, func() {
		fleet.Store.Restore()
		play.Record.Printf("the store is back from a copy: %v", fleet.Store.Names("servers"))
		time.AfterFunc(reregisterTime, func() {
			setSilent(fleet.Replicas, false)
			play.Record.Printf("the replicas have written their entries again")
		})
	})
	time.AfterFunc(startDelay, func() {
		for i, node := range fleet.Nodes {
			<-ended[i]
			if err := node.Start(false); err == nil {
				play.Record.Printf("%s started again", node.Name)
			}
		}
	})
}

// setSilent sets whether replicas write their entries, and has them write now if they do.
func setSilent(replicas []*Replica, silent bool) {
	for _, replica := range replicas {
		replica.mu.Lock()
		replica.silent = silent
		replica.mu.Unlock()
		replica.beatNow <- struct{}{}
	}
}

// follow sends one request and takes its stream up again after a broken channel, each time at another
// address, and returns the number of software versions of its events.
func (c *Clients) follow(addresses []string) int {
	deadline := time.Now().Add(streamTimeout)
	versions := map[string]bool{}
	origin, last, pause := "", -1, firstPause
	order := rand.Perm(len(addresses))
	for try := range min(patientTries, len(order)) {
		left := time.Until(deadline)
		if left <= 0 {
			break
		}
		result := c.send(addresses[order[try]], streamPath, model, origin, last, left)
		if result.Events > 0 && origin == "" {
			origin = result.Attempt
		}
		last += result.Events
		for version := range result.Versions {
			versions[version] = true
		}
		if result.Complete || result.Status == http.StatusUnauthorized {
			break
		}
		time.Sleep(max(pause, result.RetryAfter))
		pause *= 2
	}
	if len(versions) > 1 {
		names := []string{}
		for version := range versions {
			names = append(names, version)
		}
		slices.Sort(names)
		c.record.Printf("stream %s holds events of %v, up to event %d", origin, names, last)
	}
	return len(versions)
}
