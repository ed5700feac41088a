package recorder

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/tester"
)

func (w *world) step(t *rapid.T, number int, message Message) {
	for _, effect := range w.writers[number].Step(w.now, message) {
		reply, ok := effect.(AnswerCall)
		if !ok {
			w.accesses = append(w.accesses, access{writer: number, writerRun: w.writerRuns[number], effect: effect})
			continue
		}
		request, outstanding := w.calls[reply.Call]
		if !outstanding {
			t.Fatalf("call %d is answered twice", reply.Call)
		}
		delete(w.calls, reply.Call)
		w.checkResult(t, request, reply.Result)
		w.results = append(w.results, operationResult{request.attempt, reply.Result})
	}
}

// recordIsLive reports whether the record of an attempt cannot have expired
// yet.
func (w *world) recordIsLive(a *attempt) bool { return w.now.Sub(a.startedAt) <= RecordLifetime }

func drawOne[T any](t *rapid.T, list []T, name string) (int, T) {
	if len(list) == 0 {
		t.Skip("none")
	}
	index := rapid.IntRange(0, len(list)-1).Draw(t, name)
	return index, list[index]
}

func (w *world) queueRequest(t *rapid.T, a *attempt, action Action) {
	operation := a.operation
	operation.Action = action
	writer := rapid.IntRange(0, len(w.writers)-1).Draw(t, "writer")
	w.requests = append(w.requests, operationRequest{writer, operation, a})
}

func (w *world) startAttempt(t *rapid.T) {
	a := &attempt{startedAt: w.now, operation: Operation{
		Key:    rapid.SampledFrom(w.keys).Draw(t, "key"),
		ID:     fmt.Sprintf("op%d", len(w.attempts)),
		Digest: rapid.SampledFrom([]string{"d", "d", "d", "e"}).Draw(t, "digest"),
	}}
	w.attempts = append(w.attempts, a)
	w.queueRequest(t, a, Begin{})
}

// retryBegin sends Begin again, to any writer, as after a timeout.
func (w *world) retryBegin(t *rapid.T) {
	if _, a := drawOne(t, w.attempts, "attempt"); !a.ended && !a.fresh && !a.sent {
		w.queueRequest(t, a, Begin{})
	}
}

func (w *world) abandonAny(t *rapid.T) {
	if _, a := drawOne(t, w.attempts, "attempt"); !a.ended && !a.sent && rapid.IntRange(0, 3).Draw(t, "give up") == 0 {
		w.abandon(t, a)
	}
}

func (w *world) abandon(t *rapid.T, a *attempt) {
	a.ended, a.abandoned = true, true
	if w.owners[a.operation.Key] == a {
		delete(w.owners, a.operation.Key)
	}
	w.queueRequest(t, a, Abandon{})
}

func (w *world) crashNode(t *rapid.T) {
	if _, a := drawOne(t, w.attempts, "attempt"); rapid.IntRange(0, 3).Draw(t, "crash") == 0 {
		a.ended = true
	}
}

func (w *world) sendAny(t *rapid.T) {
	ready := slices.DeleteFunc(slices.Clone(w.attempts), func(a *attempt) bool { return !w.canSend(a) })
	_, a := drawOne(t, ready, "attempt")
	w.send(t, a)
}

func (w *world) canSend(a *attempt) bool {
	return !a.ended && a.fresh && !a.sent && w.now.Sub(a.startedAt) <= sendWindow
}

// send sends a call whose node has received Fresh. The endpoint may reject it
// without running it.
func (w *world) send(t *rapid.T, a *attempt) {
	a.sent = true
	key := a.operation.Key
	if other := w.executed[key]; other != nil && w.recordIsLive(other) {
		t.Fatalf("%s and %s were both sent for key %s", other.operation.ID, a.operation.ID, key)
	}
	switch rapid.IntRange(0, 4).Draw(t, "endpoint") {
	case 0:
		w.abandon(t, a)
	case 1:
		w.executed[key] = a // no answer
		a.ended = true
	default:
		w.executed[key] = a
		a.hasOutcome = true
		w.finish(t, a)
	}
}

func (w *world) retryFinish(t *rapid.T) {
	ready := slices.DeleteFunc(slices.Clone(w.attempts), func(a *attempt) bool { return a.ended || !a.hasOutcome })
	_, a := drawOne(t, ready, "attempt")
	w.finish(t, a)
}

func (w *world) finish(t *rapid.T, a *attempt) {
	w.queueRequest(t, a, Finish{Reply: filter.Reply{Status: 200, Body: []byte(a.operation.ID)}})
}

func (w *world) deliverAnyRequest(t *rapid.T) {
	index, _ := drawOne(t, w.requests, "question")
	if rapid.IntRange(0, 5).Draw(t, "duplicate") == 0 {
		w.requests = append(w.requests, w.requests[index])
	}
	w.deliverRequest(t, index)
}

func (w *world) deliverRequest(t *rapid.T, index int) {
	request := w.requests[index]
	w.requests = slices.Delete(w.requests, index, index+1)
	w.nextCall++
	w.calls[w.nextCall] = request
	w.step(t, request.writer, OperationRequested{Call: w.nextCall, Operation: request.operation})
}

func (w *world) dropRequest(t *rapid.T) {
	index, _ := drawOne(t, w.requests, "question")
	w.requests = slices.Delete(w.requests, index, index+1)
}

func (w *world) deliverResult(t *rapid.T) {
	index, received := drawOne(t, w.results, "answer")
	w.results = slices.Delete(w.results, index, index+1)
	done, ok := received.result.(Done)
	if _, fresh := done.Record.(filter.Fresh); ok && fresh && !received.attempt.ended {
		received.attempt.fresh = true
		if w.canSend(received.attempt) && rapid.IntRange(0, 3).Draw(t, "at once") > 0 {
			w.send(t, received.attempt)
		}
	}
}

func (w *world) deliverStoreResult(t *rapid.T) {
	index, received := drawOne(t, w.storeResults, "news")
	w.storeResults = slices.Delete(w.storeResults, index, index+1)
	if w.writerRuns[received.writer] == received.writerRun {
		w.step(t, received.writer, received.message)
	}
}

func (w *world) restartWriter(t *rapid.T) {
	if rapid.IntRange(0, 3).Draw(t, "restart") > 0 {
		return
	}
	number := rapid.IntRange(0, len(w.writers)-1).Draw(t, "writer")
	w.writerRuns[number]++
	w.writers[number] = newSmallWriter(number)
	for call, request := range w.calls {
		if request.writer == number {
			delete(w.calls, call)
		}
	}
}

func (w *world) advanceTime(t *rapid.T, by time.Duration) {
	w.now = w.now.Add(by)
	for number, writer := range w.writers {
		if wake := writer.Wake(); !wake.IsZero() && !wake.After(w.now) {
			w.step(t, number, Tick{})
		}
	}
}

// checkCallsAnswered checks that every call at a running writer is answered
// once there are no more faults.
func (w *world) checkCallsAnswered(t *rapid.T) {
	w.settle(t, 200)
	if len(w.calls) > 0 {
		t.Fatalf("calls %v are never answered", slices.Sorted(maps.Keys(w.calls)))
	}
}

// settle delivers everything in transit between the writers and the store,
// without faults.
func (w *world) settle(t *rapid.T, rounds int) {
	for range rounds {
		for len(w.accesses) > 0 {
			next := w.accesses[0]
			w.accesses = w.accesses[1:]
			if result := w.perform(next.effect, false); !next.timedOut {
				w.queueStoreResult(next, result)
			}
		}
		for len(w.storeResults) > 0 {
			received := w.storeResults[0]
			w.storeResults = w.storeResults[1:]
			if w.writerRuns[received.writer] == received.writerRun {
				w.step(t, received.writer, received.message)
			}
		}
		w.advanceTime(t, CommitInterval)
	}
}

// checkRecovery checks that every writer records a call once there are no more
// faults.
func (w *world) checkRecovery(t *rapid.T) {
	w.checkCallsAnswered(t)
	w.results = nil
	for number := range w.writers {
		a := &attempt{startedAt: w.now, operation: Operation{Key: w.keys[0], ID: fmt.Sprintf("last%d", number), Action: Begin{}}}
		w.requests = []operationRequest{{number, a.operation, a}}
		w.deliverRequest(t, 0)
		w.checkCallsAnswered(t)
	}
	for _, received := range w.results {
		if failed, ok := received.result.(Failed); ok {
			t.Fatalf("%s failed without a fault: %s", received.attempt.operation.ID, failed.Detail)
		}
	}
}

// Guards against a call that runs twice, the reply of another call, and a
// request without a result, when nodes crash and messages are delayed,
// duplicated or lost. Several writers write the same bucket concurrently.
func TestCallsRunAtMostOnce(t *testing.T) {
	setSteps(t)
	tester.Check(t, 12, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"begin":           w.startAttempt,
			"askAgain":        w.retryBegin,
			"giveUp":          w.abandonAny,
			"crashNode":       w.crashNode,
			"send":            w.sendAny,
			"finishAgain":     w.retryFinish,
			"deliverQuestion": w.deliverAnyRequest,
			"deliverMore":     w.deliverAnyRequest,
			"loseQuestion":    w.dropRequest,
			"deliverAnswer":   w.deliverResult,
			"answerMore":      w.deliverResult,
			"answerMost":      w.deliverResult,
			"questionMost":    w.deliverAnyRequest,
			"act":             w.accessStore,
			"actMore":         w.accessStore,
			"deliverNews":     w.deliverStoreResult,
			"deliverMoreNews": w.deliverStoreResult,
			"restartWriter":   w.restartWriter,
			"settle":          func(t *rapid.T) { w.settle(t, 5) },
			"passShort":       func(t *rapid.T) { w.advanceTime(t, CommitInterval) },
			"passLong": func(t *rapid.T) {
				if rapid.IntRange(0, 7).Draw(t, "long") == 0 {
					w.advanceTime(t, time.Duration(rapid.IntRange(1, 13).Draw(t, "hours"))*time.Hour)
				}
			},
		})
		w.checkRecovery(t)
	})
}

// steps is the number of actions per run. With rapid's default of 30, a run
// rarely reaches a sealed bucket.
const steps = 150

func setSteps(t *testing.T) {
	t.Helper()
	if err := flag.Set("rapid.steps", fmt.Sprint(steps)); err != nil {
		t.Fatal(err)
	}
}
