package main

import (
	"os"
	"sync"
	"time"
)

const (
	revokedKey = "r5t1hh2b9wu3fexd9dn"
	// The key is taken away revokeAfter the copy of the store is made, and the store comes back
	// from the copy after that. The operator writes again rewriteTime later.
	revokeAfter  = 2 * time.Second
	revokeTime   = 5 * time.Second
	restoreAfter = revokeAfter + revokeTime + 500*time.Millisecond
	awayTime     = 300 * time.Millisecond
	rewriteTime  = 1500 * time.Millisecond
	askInterval  = 25 * time.Millisecond
	askTime      = 5 * time.Second
	shortTimeout = time.Second
)

// playRestored takes a key away, has the store come back from a copy that still has it, and kills
// a node at the same moment, which is started again at once. Requests with the key must not run.
func playRestored(play *Play) int {
	replica := &Replica{
		ID: "i-a", Service: "llm", Zone: "a", Version: "v1", Slots: 24, EventInterval: 10 * time.Millisecond,
		MemoryMB: replicaMB, Held: map[string]float64{model: newSizeMB},
	}
	fleet, err := play.NewFleet(3, []*Replica{replica}, revokedState(7, true))
	if err != nil {
		play.Record.Printf("the case cannot run: %v", err)
		return failed
	}
	time.Sleep(contactTime)
	if fleet.AwaitDirectory() == nil {
		play.Record.Printf("the case cannot run: the directory does not name all nodes")
		return failed
	}
	restarted := fleet.Nodes[0]
	clients := &Clients{record: play.Record, key: revokedKey, timeout: shortTimeout}
	clients.Send([]string{restarted.Front}, careful, model, false)
	fleet.Store.Copy()
	time.Sleep(revokeAfter)
	fleet.Store.Write("config", "main", revokedState(9, false))
	revokedAt := time.Now()
	play.Record.Printf("desired state 9: the key is taken away")
	time.Sleep(restoreAfter - revokeAfter)
	if play.Trouble {
		play.Record.Printf("the store is away, and %s is killed", restarted.Name)
		fleet.Store.SetAway(true)
		<-restarted.Signal(os.Kill)
		time.Sleep(awayTime)
		fleet.Store.Restore()
		play.Record.Printf("the store is back from a copy")
		if err := restarted.Start(false); err != nil {
			play.Record.Printf("the case cannot run: %v", err)
			return failed
		}
		time.AfterFunc(rewriteTime, func() {
			fleet.Store.Write("config", "main", revokedState(9, false))
			play.Record.Printf("the operator has written desired state 9 again")
		})
	}
	var requests sync.WaitGroup
	for started := time.Now(); time.Since(started) < askTime; time.Sleep(askInterval) {
		requests.Go(func() { clients.Send([]string{restarted.Front}, careful, model, false) })
	}
	requests.Wait()
	return judgeRestored(play, clients, revokedAt)
}

// judgeRestored applies the rule CONFIG: no request runs that was sent later than revoke-ms after
// the acknowledgement of the desired state that took its key away.
func judgeRestored(play *Play, clients *Clients, revokedAt time.Time) int {
	late, ran := 0, 0
	for _, try := range clients.tries {
		if try.SentAt.Sub(revokedAt) <= revokeTime {
			continue
		}
		late++
		if _, ok := play.Record.RunOf(try.Attempt); ok {
			ran++
		}
	}
	play.Record.Printf("%d of %d requests ran that were sent later than revoke-ms after the key was taken away", ran, late)
	if ran > 0 {
		play.Record.Printf("CONFIG is broken")
		return broken
	}
	return held
}

// revokedState is a desired state with or without the key.
func revokedState(version int, withKey bool) map[string]any {
	state := resizedState(version, newSizeMB, false)
	keys := []string{key}
	if withKey {
		keys = append(keys, revokedKey)
	}
	state["tenants"] = []any{map[string]any{"name": "tenant-a", "api-keys": keys, "priority": 0, "unit": "token_stream", "plain-tokens": 200}}
	return state
}
