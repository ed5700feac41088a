package main

import (
	"sync"
	"time"
)

const (
	movedKey  = "m2w8hh2b9wu3fexd9dn"
	slowEvent = 450 * time.Millisecond
	// The request is sent while others fill the replica, and the key is moved after that.
	sendAfter, moveAfter = 1 * time.Second, 1500 * time.Millisecond
	patience             = 15 * time.Second
	applyTime            = 2 * time.Second
)

// playMoved fills the replica with streams, so that a request waits at its node, and has the
// operator move the request's key to another tenant meanwhile. The replica must not run the
// request for the former tenant.
func playMoved(play *Play) int {
	replica := &Replica{
		ID: "i-a", Service: "llm", Zone: "a", Version: "v1", Slots: 4, EventInterval: slowEvent,
		MemoryMB: replicaMB, Held: map[string]float64{model: newSizeMB},
	}
	fleet, err := play.NewFleet(3, []*Replica{replica}, movedState(7, "tenant-a"))
	if err != nil {
		play.Record.Printf("the case cannot run: %v", err)
		return failed
	}
	time.Sleep(contactTime)
	if fleet.AwaitDirectory() == nil {
		play.Record.Printf("the case cannot run: the directory does not name all nodes")
		return failed
	}
	front := []string{fleet.Nodes[0].Front}
	others := &Clients{record: play.Record, timeout: patience}
	client := &Clients{record: play.Record, timeout: patience, key: movedKey}
	var requests sync.WaitGroup
	for range replica.Slots {
		requests.Go(func() { others.Send(front, careful, model, false) })
	}
	time.Sleep(sendAfter)
	sentAt := time.Now()
	requests.Go(func() { client.Send(front, careful, model, false) })
	time.Sleep(moveAfter - sendAfter)
	movedAt := time.Now()
	if play.Trouble {
		fleet.Store.Write("config", "main", movedState(9, "tenant-b"))
		play.Record.Printf("desired state 9: the key is moved from tenant-a to tenant-b")
	}
	requests.Wait()
	return judgeMoved(play, client, sentAt, movedAt)
}

// judgeMoved applies the rule UNASKED: the tenant named to a replica is the one that holds the
// key. A desired state may take config-apply-ms to be in force.
func judgeMoved(play *Play, client *Clients, sentAt, movedAt time.Time) int {
	run, ran := Run{}, false
	for _, try := range client.tries {
		if found, ok := play.Record.RunOf(try.Attempt); ok {
			run, ran = found, true
		}
	}
	if !ran || run.At.Sub(movedAt) < applyTime {
		play.Record.Printf("the case cannot run: the request ran %t, %v after it was sent", ran, run.At.Sub(sentAt))
		return failed
	}
	holder := "tenant-a"
	if play.Trouble {
		holder = "tenant-b"
	}
	play.Record.Printf("the request ran for %s, %v after the time of the move; the key is held by %s", run.Tenant, run.At.Sub(movedAt).Round(time.Millisecond), holder)
	if run.Tenant != holder {
		play.Record.Printf("UNASKED is broken")
		return broken
	}
	return held
}

// movedState is a desired state in which one of two tenants holds the key.
func movedState(version int, holder string) map[string]any {
	state := resizedState(version, newSizeMB, false)
	tenants := []any{map[string]any{"name": "tenant-c", "api-keys": []string{key}, "priority": 0, "unit": "token_stream", "plain-tokens": 200}}
	for _, name := range []string{"tenant-a", "tenant-b"} {
		keys := []string{"none-" + name}
		if name == holder {
			keys = append(keys, movedKey)
		}
		tenants = append(tenants, map[string]any{"name": name, "api-keys": keys, "priority": 0, "unit": "token_stream", "plain-tokens": 200})
	}
	state["tenants"] = tenants
	return state
}
