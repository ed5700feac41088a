package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// digestLimit is the time limit of the requests and the timeout of their route, which is
	// like season-digest.
	digestLimit = 5 * time.Second
	// digestTokens are the output tokens of one of its largest streams (41 events).
	digestTokens = 205
	// rareInterval is the time between two requests for a rare model.
	rareInterval = 560 * time.Millisecond
	// beginMargin is the time before the loss from which no request for a rare model is
	// sent, so that all of them have begun.
	beginMargin = 700 * time.Millisecond
	// minTakenUp is the number of streams that are taken up from which the rule counts.
	minTakenUp = 12
	// maxTakeUps is how often a requester takes up a stream, and takeUpInterval the time
	// between two tries.
	maxTakeUps     = 3
	takeUpInterval = 300 * time.Millisecond
)

// rareModels are those that one replica holds.
var rareModels = []string{"m0", "m3", "m5", "m6"}

// streamCounts counts the streams of lostHolder.
type streamCounts struct {
	mutex                         sync.Mutex
	takenUp, goneOn, asked, begun int
}

// lostHolder checks LOST for streams that requesters take up again after the only replica
// with their models is lost, while two others of its software version serve.
func lostHolder(f *fleet, trouble bool) verdict {
	models := slices.Concat(rareModels, []string{"m1", "m2"})
	for _, start := range []struct {
		name   string
		loaded []string
	}{
		{"a", rareModels},
		{"b", []string{"m1", "m2"}},
		{"c", []string{"m1", "m2"}},
		{"d", []string{"m1", "m2"}},
	} {
		err := f.addReplica(start.name, replicaSettings{
			Service: engineService, Zone: "gdansk-a", Slots: 64, MemoryMB: engineMemoryMB, SizesMB: modelSizesMB,
			Loaded: start.loaded, OnDisk: models, TokenTime: streamTokenTime,
		})
		if err != nil {
			return verdict{Err: err}
		}
	}
	f.store.put("config", "main", configuration{Version: 3, Models: models}.spec())
	for _, name := range []string{"frontend-gdansk-a-1", "frontend-gdansk-a-2", "frontend-gdansk-a-3"} {
		if _, err := f.addNode(name, "gdansk-a"); err != nil {
			return verdict{Err: err}
		}
	}
	if err := f.awaitReady(20 * time.Second); err != nil {
		return verdict{Err: err}
	}
	time.Sleep(8 * time.Second)
	counts := &streamCounts{}
	lostAt := time.Now().Add(6 * time.Second)
	var group sync.WaitGroup
	// Requests for the rare models, until their replica is lost.
	for m, model := range rareModels {
		group.Go(func() {
			for i := 0; time.Until(lostAt) > beginMargin; i++ {
				group.Go(func() { f.followStream(f.nodes[(i+m)%3], model, counts) })
				time.Sleep(rareInterval)
			}
		})
	}
	// Requests for a model that other replicas have, before and after.
	for i := range 100 {
		group.Go(func() {
			time.Sleep(time.Duration(i) * 120 * time.Millisecond)
			transport := newTransport()
			defer transport.CloseIdleConnections()
			res := send(transport, f.nodes[i%3], digest("m2", digestLimit))
			counts.mutex.Lock()
			defer counts.mutex.Unlock()
			counts.asked++
			if res.Status == http.StatusOK && res.Events > 0 {
				counts.begun++
			}
		})
	}
	time.Sleep(time.Until(lostAt))
	if trouble {
		f.replicas[0].loseForGood()
	}
	group.Wait()
	takenUp, goneOn, asked, begun := counts.takenUp, counts.goneOn, counts.asked, counts.begun
	f.record.printf("%d streams were taken up again, %d of them went on; %d of %d new streams of another model began", takenUp, goneOn, begun, asked)
	switch {
	case begun < asked/2:
		return verdict{Err: fmt.Errorf("only %d of %d new streams began", begun, asked)}
	case trouble && takenUp < minTakenUp:
		return verdict{Err: fmt.Errorf("only %d streams were taken up again", takenUp)}
	case takenUp >= minTakenUp && float64(goneOn)/float64(takenUp) < 0.5*float64(begun)/float64(asked):
		return verdict{Broken: []string{fmt.Sprintf("LOST: of %d streams that requesters took up again, %d went on, though three replicas of their version served; of %d new ones %d began", takenUp, goneOn, asked, begun)}}
	}
	return verdict{}
}

func digest(model string, deadline time.Duration) request {
	return request{Method: http.MethodPost, Path: digestPath + "x", Model: model, OutputTokens: digestTokens, Deadline: deadline, Body: "prompt"}
}

// followStream sends a request for a stream and takes the stream up again if it breaks off.
func (f *fleet) followStream(n *node, model string, counts *streamCounts) {
	sentAt := time.Now()
	transport := newTransport()
	first := send(transport, n, digest(model, digestLimit))
	transport.CloseIdleConnections()
	f.record.printf("stream of %s: %v", model, first)
	if first.Complete || first.Status != http.StatusOK || first.Events == 0 {
		return
	}
	went := false
	for try := range maxTakeUps {
		again := digest(model, digestLimit-time.Since(sentAt))
		again.LastEventID, again.Resumes = first.LastEventID, first.Attempt
		if again.Deadline <= 0 {
			break
		}
		transport := newTransport()
		res := send(transport, f.nodes[(int(first.SentAt.UnixMilli())+try)%3], again)
		transport.CloseIdleConnections()
		f.record.printf("%s taken up after event %d: %v", first.Attempt, first.LastEventID, res)
		if res.Status == http.StatusOK && res.Events > 0 {
			went = true
			break
		}
		time.Sleep(takeUpInterval)
	}
	counts.mutex.Lock()
	defer counts.mutex.Unlock()
	counts.takenUp++
	if went {
		counts.goneOn++
	}
}
