package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	// silentSlots is the number of streams that a replica runs, and silentQueue that of further ones
	// that it lets wait.
	silentSlots, silentQueue = 8, 1
	// silentStreams are judged. They leave room at both replicas, which burstStreams at another node
	// fill. Each stream has silentEvents events, one each silentInterval.
	silentStreams, burstStreams = 10, 14
	silentEvents                = 60
	silentInterval              = 100 * time.Millisecond
	// silentAfter is the event of the first replica after which its streams pause for silence.
	silentAfter = 15
	silence     = 3 * time.Second
)

// batch is what a replica runs at a time.
type batch struct {
	mutex   sync.Mutex
	running int
	waiting int
	freed   chan struct{}
	// pauses is set at the replica whose streams pause.
	pauses bool
}

// enter takes a place, or waits for one. It returns false if there is no room to wait.
func (b *batch) enter(ctx context.Context) bool {
	b.mutex.Lock()
	if b.running < silentSlots {
		b.running++
		b.mutex.Unlock()
		return true
	}
	if b.waiting >= silentQueue {
		b.mutex.Unlock()
		return false
	}
	b.waiting++
	b.mutex.Unlock()
	defer func() {
		b.mutex.Lock()
		b.waiting--
		b.mutex.Unlock()
	}()
	select {
	case <-b.freed:
		return true
	case <-ctx.Done():
		return false
	}
}

// leave passes the place on to a stream that waits.
func (b *batch) leave() {
	select {
	case b.freed <- struct{}{}:
	default:
		b.mutex.Lock()
		b.running--
		b.mutex.Unlock()
	}
}

// answer streams events at a replica with a bounded number of places.
func (b *batch) answer(r *replica, w http.ResponseWriter, request *http.Request, _ string) {
	attempt := request.Header.Get("Attempt-Id")
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	w.Header().Set("Attempt-Id", attempt)
	if !b.enter(request.Context()) {
		r.record.write("replica %s is full: turns %s away", r.id, attempt)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer b.leave()
	r.record.write("replica %s runs %s after event %d", r.id, attempt, last)
	w.Header().Set("Response-Seal", "seal-"+r.id+"-"+attempt)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	control := http.NewResponseController(w)
	for id := last + 1; id <= silentEvents; id++ {
		pause := silentInterval
		if b.pauses && id == silentAfter+1 {
			pause += silence
			r.record.write("replica %s: %s pauses after event %d", r.id, attempt, id-1)
		}
		select {
		case <-request.Context().Done():
			r.record.write("replica %s: %s was broken off after event %d", r.id, attempt, id-1)
			return
		case <-time.After(pause):
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: v1 %s\n\n", id, r.id); err != nil || control.Flush() != nil {
			return
		}
	}
}

// silent plays a replica whose streams pause while the other replica is full, after a SIGHUP of the
// node that has these streams.
func silent(ctx context.Context, w *world) (int, error) {
	w.store.put("config", "main", streamConfiguration())
	for i := range 2 {
		r := newReplica(fmt.Sprintf("i-%d", i), streamService, w.store, w.record)
		b := &batch{freed: make(chan struct{}), pauses: i == 0 && w.trouble}
		r.slots, r.serve = silentSlots, b.answer
		if err := r.start("v1"); err != nil {
			return notRun, err
		}
		defer r.crash()
	}
	if err := w.startNodes(2); err != nil {
		return notRun, err
	}
	time.Sleep(4 * time.Second)
	w.record.write("SIGHUP to %s", w.nodes[0].name)
	_ = w.nodes[0].command.Process.Signal(syscall.SIGHUP)
	time.Sleep(200 * time.Millisecond)
	newCaller := func(n *node) *caller {
		// What is judged is the first channel of each stream.
		return &caller{nodes: []*node{n}, record: w.record, path: "/lohu930/2f", key: callerKey, deadline: 12 * time.Second, retries: 0}
	}
	results := make([]streamResult, silentStreams)
	var group sync.WaitGroup
	for i := range results {
		group.Go(func() { results[i] = newCaller(w.nodes[0]).run(ctx, fmt.Sprintf("s%02d", i)) })
		time.Sleep(40 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	for i := range burstStreams {
		group.Go(func() { newCaller(w.nodes[1]).run(ctx, fmt.Sprintf("burst%02d", i)) })
	}
	group.Wait()
	cut := 0
	for _, result := range results {
		w.record.write("stream %s: %d events, %s", result.name, result.events, result.ended)
		if result.events > 0 && result.ended != "complete" {
			cut++
		}
	}
	w.say("%d of %d streams were cut by the node, although no replica broke off", cut, silentStreams)
	if cut > 0 {
		return broken, nil
	}
	return held, nil
}
