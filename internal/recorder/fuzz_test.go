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
	"toucanhitch.example/toucanhitch/internal/runner"
	"toucanhitch.example/toucanhitch/internal/tester"
)

// patience is how long after its first question a node may still send a call.
const patience = time.Hour

// attempt is a node's request, as the oracle sees it.
type attempt struct {
	operation Operation
	asked     time.Time
	fresh     bool // the node was told Fresh
	over      bool // the node has crashed, given up or finished
	abandoned bool // the node has given up and asked to abandon the intent
	released  bool // a writer has answered that the intent is abandoned
	sent      bool
	outcome   bool // the endpoint answered
}

// question is an operation on its way to a writer.
type question struct {
	writer    int
	operation Operation
	attempt   *attempt
}

// answer is a result on its way to a node.
type answer struct {
	attempt *attempt
	result  Result
}

// access is a read or a write on its way to the store.
type access struct {
	writer, run int
	effect      Effect
	gaveUp      bool // its writer was told that it failed
}

// news is a result of the store on its way to a writer.
type news struct {
	writer, run int
	message     Message
}

// world holds two or three writers of one bucket, a store, and the messages
// between them and the nodes.
type world struct {
	now       time.Time
	writers   []*Writer
	runs      []int
	version   uint64
	content   Content
	segments  map[string][]Record
	questions []question
	answers   []answer
	accesses  []access
	news      []news
	attempts  []*attempt
	calls     map[runner.Call]question
	nextCall  runner.Call
	// holder is the attempt of each key that was told Fresh and has not
	// abandoned its intent, running the one whose call may have run.
	holder  map[Key]*attempt
	running map[Key]*attempt
	keys    []Key
}

// sealBytes makes a bucket of a few records large.
const sealBytes = 4 * recordBytes

func newWorld(t *rapid.T) *world {
	w := &world{
		now: tester.Start, segments: map[string][]Record{}, calls: map[runner.Call]question{},
		holder: map[Key]*attempt{}, running: map[Key]*attempt{},
	}
	for number := 0; len(w.keys) < 6; number++ {
		if key := Key(fmt.Sprint(number)); BucketOf(key) == 0 {
			w.keys = append(w.keys, key)
		}
	}
	w.runs = make([]int, rapid.IntRange(2, 3).Draw(t, "writers"))
	for i := range w.runs {
		w.writers = append(w.writers, newSmallWriter(i))
	}
	return w
}

func newSmallWriter(number int) *Writer {
	writer := NewWriter(fmt.Sprintf("n%d", number))
	writer.SealBytes = sealBytes
	return writer
}

func (w *world) step(t *rapid.T, number int, message Message) {
	for _, effect := range w.writers[number].Step(w.now, message) {
		answered, ok := effect.(AnswerCall)
		if !ok {
			w.accesses = append(w.accesses, access{writer: number, run: w.runs[number], effect: effect})
			continue
		}
		asked, waits := w.calls[answered.Call]
		if !waits {
			t.Fatalf("call %d is answered twice", answered.Call)
		}
		delete(w.calls, answered.Call)
		w.check(t, asked, answered.Result)
		w.answers = append(w.answers, answer{asked.attempt, answered.Result})
	}
}

// check compares an answer to Begin with what the oracle knows.
func (w *world) check(t *rapid.T, asked question, result Result) {
	done, ok := result.(Done)
	if _, abandons := asked.operation.Action.(Abandon); abandons && ok {
		asked.attempt.released = true
	}
	if _, begins := asked.operation.Action.(Begin); !ok || !begins {
		return
	}
	holder := w.holder[asked.operation.Key]
	switch record := done.Record.(type) {
	case filter.Fresh:
		if asked.attempt.abandoned {
			return
		}
		if holder != nil && holder != asked.attempt && w.lives(holder) {
			t.Fatalf("%s is fresh while %s holds key %s", asked.operation.ID, holder.operation.ID, asked.operation.Key)
		}
		w.holder[asked.operation.Key] = asked.attempt
	case filter.Uncertain:
		if blocker := w.recorded(asked.operation.Key); blocker != nil && blocker.released {
			t.Fatalf("%s is uncertain because of %s, which was abandoned", asked.operation.ID, blocker.operation.ID)
		}
	case filter.Known:
		if holder == nil || !holder.outcome || string(record.Reply.Body) != holder.operation.ID {
			t.Fatalf("%s got the reply %q, which is not the outcome of the call that ran", asked.operation.ID, record.Reply.Body)
		}
		if holder.operation.Digest != asked.operation.Digest {
			t.Fatalf("%s got the reply of another call", asked.operation.ID)
		}
	}
}

// recorded returns the attempt whose intent the store holds for a key.
func (w *world) recorded(key Key) *attempt {
	var records []Record
	for _, segment := range w.content.Segments {
		records = append(records, w.segments[segment.Name]...)
	}
	record := index(append(records, w.content.Records...))[key]
	for _, a := range w.attempts {
		if a.operation.ID == record.Operation {
			return a
		}
	}
	return nil
}

// lives says whether the record of an attempt cannot have expired.
func (w *world) lives(a *attempt) bool { return w.now.Sub(a.asked) <= Lifetime }

func pick[T any](t *rapid.T, list []T, name string) (int, T) {
	if len(list) == 0 {
		t.Skip("none")
	}
	at := rapid.IntRange(0, len(list)-1).Draw(t, name)
	return at, list[at]
}

func (w *world) ask(t *rapid.T, a *attempt, action Action) {
	operation := a.operation
	operation.Action = action
	writer := rapid.IntRange(0, len(w.writers)-1).Draw(t, "writer")
	w.questions = append(w.questions, question{writer, operation, a})
}

func (w *world) begin(t *rapid.T) {
	a := &attempt{asked: w.now, operation: Operation{
		Key:    rapid.SampledFrom(w.keys).Draw(t, "key"),
		ID:     fmt.Sprintf("op%d", len(w.attempts)),
		Digest: rapid.SampledFrom([]string{"d", "d", "d", "e"}).Draw(t, "digest"),
	}}
	w.attempts = append(w.attempts, a)
	w.ask(t, a, Begin{})
}

// askAgain repeats a question at any writer after a timeout.
func (w *world) askAgain(t *rapid.T) {
	if _, a := pick(t, w.attempts, "attempt"); !a.over && !a.fresh && !a.sent {
		w.ask(t, a, Begin{})
	}
}

func (w *world) giveUp(t *rapid.T) {
	if _, a := pick(t, w.attempts, "attempt"); !a.over && !a.sent && rapid.IntRange(0, 3).Draw(t, "give up") == 0 {
		w.abandon(t, a)
	}
}

func (w *world) abandon(t *rapid.T, a *attempt) {
	a.over, a.abandoned = true, true
	if w.holder[a.operation.Key] == a {
		delete(w.holder, a.operation.Key)
	}
	w.ask(t, a, Abandon{})
}

func (w *world) crashNode(t *rapid.T) {
	if _, a := pick(t, w.attempts, "attempt"); rapid.IntRange(0, 3).Draw(t, "crash") == 0 {
		a.over = true
	}
}

func (w *world) sendOne(t *rapid.T) {
	ready := slices.DeleteFunc(slices.Clone(w.attempts), func(a *attempt) bool { return !w.ready(a) })
	_, a := pick(t, ready, "attempt")
	w.send(t, a)
}

func (w *world) ready(a *attempt) bool {
	return !a.over && a.fresh && !a.sent && w.now.Sub(a.asked) <= patience
}

// send sends a call whose node was told Fresh. The endpoint may refuse it as
// not run.
func (w *world) send(t *rapid.T, a *attempt) {
	a.sent = true
	key := a.operation.Key
	if other := w.running[key]; other != nil && w.lives(other) {
		t.Fatalf("%s and %s were both sent for key %s", other.operation.ID, a.operation.ID, key)
	}
	switch rapid.IntRange(0, 4).Draw(t, "endpoint") {
	case 0:
		w.abandon(t, a)
	case 1:
		w.running[key] = a // no answer
		a.over = true
	default:
		w.running[key] = a
		a.outcome = true
		w.finish(t, a)
	}
}

func (w *world) finishAgain(t *rapid.T) {
	ready := slices.DeleteFunc(slices.Clone(w.attempts), func(a *attempt) bool { return a.over || !a.outcome })
	_, a := pick(t, ready, "attempt")
	w.finish(t, a)
}

func (w *world) finish(t *rapid.T, a *attempt) {
	w.ask(t, a, Finish{Reply: filter.Reply{Status: 200, Body: []byte(a.operation.ID)}})
}

func (w *world) deliverQuestion(t *rapid.T) {
	at, _ := pick(t, w.questions, "question")
	if rapid.IntRange(0, 5).Draw(t, "duplicate") == 0 {
		w.questions = append(w.questions, w.questions[at])
	}
	w.deliver(t, at)
}

func (w *world) deliver(t *rapid.T, at int) {
	asked := w.questions[at]
	w.questions = slices.Delete(w.questions, at, at+1)
	w.nextCall++
	w.calls[w.nextCall] = asked
	w.step(t, asked.writer, Asked{Call: w.nextCall, Operation: asked.operation})
}

func (w *world) loseQuestion(t *rapid.T) {
	at, _ := pick(t, w.questions, "question")
	w.questions = slices.Delete(w.questions, at, at+1)
}

func (w *world) deliverAnswer(t *rapid.T) {
	at, got := pick(t, w.answers, "answer")
	w.answers = slices.Delete(w.answers, at, at+1)
	done, ok := got.result.(Done)
	if _, fresh := done.Record.(filter.Fresh); ok && fresh && !got.attempt.over {
		got.attempt.fresh = true
		if w.ready(got.attempt) && rapid.IntRange(0, 3).Draw(t, "at once") > 0 {
			w.send(t, got.attempt)
		}
	}
}

// act carries out a read or write. Its reply may be lost, and a write whose
// reply is lost may take effect later.
func (w *world) act(t *rapid.T) {
	at, next := pick(t, w.accesses, "access")
	fault := rapid.IntRange(0, 9).Draw(t, "fault")
	if fault == 0 && !next.gaveUp {
		w.accesses[at].gaveUp = true
		w.tell(next, BucketFailed{Detail: "no reply"})
		return
	}
	w.accesses = slices.Delete(w.accesses, at, at+1)
	result := w.perform(next.effect, fault == 1)
	if fault == 2 {
		result = BucketFailed{Detail: "reply lost"}
	}
	if !next.gaveUp {
		w.tell(next, result)
	}
}

func (w *world) tell(to access, message Message) {
	w.news = append(w.news, news{to.writer, to.run, message})
}

func (w *world) perform(effect Effect, outage bool) Message {
	if outage {
		return BucketFailed{Detail: "outage"}
	}
	switch effect := effect.(type) {
	case ReadBucket:
		read := BucketRead{ObjectVersion: w.version, Content: w.content}
		for _, segment := range w.content.Segments {
			read.Sealed = append(read.Sealed, w.segments[segment.Name]...)
		}
		return read
	case WriteBucket:
		return w.write(effect)
	default:
		panic(fmt.Sprintf("unknown effect %T", effect))
	}
}

func (w *world) write(effect WriteBucket) Message {
	if sealing := effect.Sealing; sealing != nil {
		if _, exists := w.segments[sealing.Name]; exists {
			return BucketFailed{Detail: "segment exists"}
		}
		w.segments[sealing.Name] = sealing.Records
	}
	if effect.IfVersion != w.version {
		return BucketFailed{Conflict: true}
	}
	w.version++
	w.content = effect.Content
	for _, name := range effect.Expired {
		delete(w.segments, name)
	}
	return BucketWritten{ObjectVersion: w.version}
}

func (w *world) deliverNews(t *rapid.T) {
	at, got := pick(t, w.news, "news")
	w.news = slices.Delete(w.news, at, at+1)
	if w.runs[got.writer] == got.run {
		w.step(t, got.writer, got.message)
	}
}

func (w *world) restartWriter(t *rapid.T) {
	if rapid.IntRange(0, 3).Draw(t, "restart") > 0 {
		return
	}
	number := rapid.IntRange(0, len(w.writers)-1).Draw(t, "writer")
	w.runs[number]++
	w.writers[number] = newSmallWriter(number)
	for call, asked := range w.calls {
		if asked.writer == number {
			delete(w.calls, call)
		}
	}
}

func (w *world) pass(t *rapid.T, by time.Duration) {
	w.now = w.now.Add(by)
	for number, writer := range w.writers {
		if wake := writer.Wake(); !wake.IsZero() && !wake.After(w.now) {
			w.step(t, number, Tick{})
		}
	}
}

// drain shows that every call at a running writer is answered once the faults
// are over.
func (w *world) drain(t *rapid.T) {
	w.settle(t, 200)
	if len(w.calls) > 0 {
		t.Fatalf("calls %v are never answered", slices.Sorted(maps.Keys(w.calls)))
	}
}

// settle lets what is under way at the writers and the store arrive without
// faults.
func (w *world) settle(t *rapid.T, rounds int) {
	for range rounds {
		for len(w.accesses) > 0 {
			next := w.accesses[0]
			w.accesses = w.accesses[1:]
			if result := w.perform(next.effect, false); !next.gaveUp {
				w.tell(next, result)
			}
		}
		for len(w.news) > 0 {
			got := w.news[0]
			w.news = w.news[1:]
			if w.runs[got.writer] == got.run {
				w.step(t, got.writer, got.message)
			}
		}
		w.pass(t, CommitEvery)
	}
}

// serveAgain shows that every writer records a call once the faults are over.
func (w *world) serveAgain(t *rapid.T) {
	w.drain(t)
	w.answers = nil
	for number := range w.writers {
		a := &attempt{asked: w.now, operation: Operation{Key: w.keys[0], ID: fmt.Sprintf("last%d", number), Action: Begin{}}}
		w.questions = []question{{number, a.operation, a}}
		w.deliver(t, 0)
		w.drain(t)
	}
	for _, got := range w.answers {
		if failed, ok := got.result.(Failed); ok {
			t.Fatalf("%s failed without a fault: %s", got.attempt.operation.ID, failed.Detail)
		}
	}
}

// Guards against a call that runs twice, a reply of another call and a
// question without an answer, whatever crashes, arrives late, twice or never.
// Several writers believe to own the bucket.
func TestCallsRunAtMostOnce(t *testing.T) {
	setSteps(t)
	tester.Check(t, 12, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"begin":           w.begin,
			"askAgain":        w.askAgain,
			"giveUp":          w.giveUp,
			"crashNode":       w.crashNode,
			"send":            w.sendOne,
			"finishAgain":     w.finishAgain,
			"deliverQuestion": w.deliverQuestion,
			"deliverMore":     w.deliverQuestion,
			"loseQuestion":    w.loseQuestion,
			"deliverAnswer":   w.deliverAnswer,
			"answerMore":      w.deliverAnswer,
			"answerMost":      w.deliverAnswer,
			"questionMost":    w.deliverQuestion,
			"act":             w.act,
			"actMore":         w.act,
			"deliverNews":     w.deliverNews,
			"deliverMoreNews": w.deliverNews,
			"restartWriter":   w.restartWriter,
			"settle":          func(t *rapid.T) { w.settle(t, 5) },
			"passShort":       func(t *rapid.T) { w.pass(t, CommitEvery) },
			"passLong": func(t *rapid.T) {
				if rapid.IntRange(0, 7).Draw(t, "long") == 0 {
					w.pass(t, time.Duration(rapid.IntRange(1, 13).Draw(t, "hours"))*time.Hour)
				}
			},
		})
		w.serveAgain(t)
	})
}

// steps is the number of actions in a run. A run of rapid's default of 30
// rarely gets as far as a sealed bucket.
const steps = 150

func setSteps(t *testing.T) {
	t.Helper()
	if err := flag.Set("rapid.steps", fmt.Sprint(steps)); err != nil {
		t.Fatal(err)
	}
}
