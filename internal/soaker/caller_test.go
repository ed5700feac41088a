package soaker

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"toucanhitch.example/toucanhitch/internal/emulator"
)

// outcome is what a caller saw of one request.
type outcome struct {
	attempt, path, key string
	sentAt             time.Time
	status             int
	seal, body         string
	whole              bool
}

// record collects outcomes.
type record struct {
	mu       sync.Mutex
	outcomes []outcome
}

func (r *record) add(o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes = append(r.outcomes, o)
}

// call is a caller: it asks where to connect, keeps the answer and its open
// connections, and sends requests until ctx ends.
func (w *world) call(ctx context.Context, random *rand.Rand, number int, found *record) {
	client := &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}, Timeout: 6 * time.Second}
	var addresses []string
	var until time.Time
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
		if time.Now().After(until) {
			if fresh := w.resolve(random); len(fresh) > 0 {
				addresses = fresh
			}
			until = time.Now().Add(2 * time.Second)
		}
		if len(addresses) == 0 {
			continue
		}
		path := []string{"/once/", "/safe/", "/stream/", "/resume/"}[random.IntN(4)]
		key := []string{"key-a", "key-b"}[random.IntN(2)]
		o := outcome{attempt: fmt.Sprintf("a-%d-%d", number, i), path: path, key: key, sentAt: time.Now()}
		w.send(client, addresses[random.IntN(len(addresses))], random, &o)
		found.add(o)
	}
}

func (w *world) resolve(random *rand.Rand) []string {
	node := w.nodes[random.IntN(len(w.nodes))]
	client := &http.Client{Timeout: time.Second}
	answer, err := client.Get("http://" + node.address(directoryPort) + "/toucanhitch/resolve?name=" + soakHost + "&region=r1&zone=z1")
	if err != nil {
		return nil
	}
	defer answer.Body.Close()
	var told struct {
		Addresses []string `json:"addresses"`
	}
	_ = json.NewDecoder(answer.Body).Decode(&told)
	return told.Addresses
}

func (w *world) send(client *http.Client, address string, random *rand.Rand, o *outcome) {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+o.path+"x?y=1", bytes.NewReader([]byte("body of "+o.attempt)))
	if err != nil {
		return
	}
	request.GetBody = nil // the client must not repeat a request by itself
	request.Host = soakHost
	request.Header.Set("Attempt-Id", o.attempt)
	request.Header.Set("Key", o.key)
	request.Header.Set("Deadline-Ms", "4000")
	if strings.Contains("/stream//resume/", o.path) {
		request.Header.Set("Model", soakModels[random.IntN(len(soakModels))])
		request.Header.Set("Token-Usage", "100,20")
	}
	answer, err := client.Do(request)
	if err != nil {
		return
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	o.status, o.seal, o.body, o.whole = answer.StatusCode, answer.Header.Get("Response-Seal"), string(body), err == nil
}

// check compares what callers and replicas saw. Withdrawn holds the time of the
// store's acknowledgement by key, and paused the times at which processes were
// resumed.
func (w *world) check(outcomes []outcome, withdrawn map[string]time.Time, resumed []time.Time) []string {
	var problems []string
	problem := func(format string, values ...any) { problems = append(problems, fmt.Sprintf(format, values...)) }
	runs := map[string][]emulator.FleetRun{}
	for _, r := range w.replicas {
		for _, run := range r.stand.Runs() {
			runs[run.Attempt] = append(runs[run.Attempt], run)
			if run.HasKey || run.Tenant != "tenant-1" {
				problem("UNASKED: %s ran with key %v and workspace %q", run.Attempt, run.HasKey, run.Tenant)
			}
			if run.Body != "body of "+run.Attempt || !strings.HasSuffix(run.Target, "/x?y=1") {
				problem("UNASKED: %s ran with %s %q", run.Attempt, run.Target, run.Body)
			}
		}
		for _, text := range r.stand.Violations() {
			problem("LIMIT: %s", text)
		}
		problems = append(problems, checkOrders(r.stand.Orders(), resumed)...)
	}
	for _, o := range outcomes {
		ran := runs[o.attempt]
		once := o.path == "/once/" || o.path == "/stream/"
		switch {
		case once && len(ran) > 1:
			problem("TWICE: %s %s ran %d times", o.attempt, o.path, len(ran))
		case once && len(ran) > 0 && (o.status == http.StatusServiceUnavailable || o.status == http.StatusTooManyRequests):
			problem("REFUSED: %s %s got %d and has run", o.attempt, o.path, o.status)
		}
		if at, ok := withdrawn[o.key]; ok && o.sentAt.Sub(at) > revokeWithin && len(ran) > 0 {
			problem("CONFIG: %s ran %v after its key was withdrawn", o.attempt, o.sentAt.Sub(at))
		}
		if o.status == http.StatusOK && o.whole {
			if text := checkAnswer(o, ran); text != "" {
				problem("%s", text)
			}
		}
	}
	return problems
}

// checkAnswer judges a success: it must be the whole answer of a replica that
// ran the request.
func checkAnswer(o outcome, ran []emulator.FleetRun) string {
	sealed := false
	for _, run := range ran {
		sealed = sealed || o.seal == emulator.Seal(run.Replica, o.attempt)
	}
	if !sealed {
		return fmt.Sprintf("MIXED: %s has the seal %q", o.attempt, o.seal)
	}
	want := "answer to " + o.attempt
	if strings.Contains("/stream//resume/", o.path) {
		want = ""
		for id := 1; id <= soakEvents; id++ {
			want += fmt.Sprintf("id: %d\ndata: %s-%d\n\n", id, o.attempt, id)
		}
	}
	if o.body != want {
		return fmt.Sprintf("ORDER: %s got %q", o.attempt, o.body)
	}
	return ""
}

// thaw is how long after a pause the orders of a resumed process do not count.
const thaw = 300 * time.Millisecond

// checkOrders looks for orders of two holders within the spacing.
func checkOrders(orders []emulator.FleetOrder, resumed []time.Time) []string {
	var problems []string
	for i := 1; i < len(orders); i++ {
		before, order := orders[i-1], orders[i]
		excused := false
		for _, at := range resumed {
			since := order.At.Sub(at)
			excused = excused || since >= 0 && since < thaw
		}
		if before.Holder != order.Holder && order.At.Sub(before.At) < orderSpacing && !excused {
			problems = append(problems, fmt.Sprintf("ONE: %s had orders of %s and %s within %v", order.Replica, before.Holder, order.Holder, order.At.Sub(before.At)))
		}
	}
	return problems
}
