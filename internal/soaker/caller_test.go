package soaker

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"toucanhitch.example/toucanhitch/internal/emulator"
)

// outcome is the result of one request as a caller observed it.
type outcome struct {
	attempt, path, key string
	// promptPrefix lists the parts of the prompt; "" sends none.
	promptPrefix string
	// requestBody is the body of the request; "" stands for one that names the attempt.
	requestBody string
	// framing is how the replica ends its answer: "chunks", "close", or "" for the usual way.
	framing    string
	sentAt     time.Time
	status     int
	seal, body string
	complete   bool
	// node is the address to which the request was sent. leaving is set if the answer,
	// which arrived at endedAt, announced that its replica leaves.
	node    string
	leaving bool
	endedAt time.Time
}

// outcomeLog collects the outcomes of all callers.
type outcomeLog struct {
	mu       sync.Mutex
	outcomes []outcome
}

func (r *outcomeLog) add(o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes = append(r.outcomes, o)
}

// runCaller runs a caller until ctx ends. It resolves the host name every 2 s,
// keeps its connections open, and sends requests to random addresses of the last
// successful resolution.
func (d *deployment) runCaller(ctx context.Context, random *rand.Rand, callerIndex int, results *outcomeLog) {
	client := &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}, Timeout: 6 * time.Second}
	var addresses []string
	var resolveAgainAt time.Time
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
		if time.Now().After(resolveAgainAt) {
			if resolved := d.resolve(random); len(resolved) > 0 {
				addresses = resolved
			}
			resolveAgainAt = time.Now().Add(2 * time.Second)
		}
		if len(addresses) == 0 {
			continue
		}
		path := []string{"/once/", "/safe/", "/stream/", "/resume/"}[random.IntN(4)]
		key := []string{"key-a", "key-b"}[random.IntN(2)]
		o := outcome{attempt: fmt.Sprintf("a-%d-%d", callerIndex, i), path: path, key: key, sentAt: time.Now()}
		d.send(client, addresses[random.IntN(len(addresses))], random, &o)
		results.add(o)
	}
}

func (d *deployment) resolve(random *rand.Rand) []string {
	node := d.nodes[random.IntN(len(d.nodes))]
	client := &http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + node.address(directoryPort) + "/toucanhitch/resolve?name=" + soakHost + "&region=r1&zone=z1")
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	var result struct {
		Addresses []string `json:"addresses"`
	}
	_ = json.NewDecoder(response.Body).Decode(&result)
	return result.Addresses
}

func (d *deployment) send(client *http.Client, address string, random *rand.Rand, o *outcome) {
	o.node = address
	defer func() { o.endedAt = time.Now() }()
	requestBody := cmp.Or(o.requestBody, "body of "+o.attempt)
	request, err := http.NewRequest(http.MethodPost, "http://"+address+o.path+"x?y=1", bytes.NewReader([]byte(requestBody)))
	if err != nil {
		return
	}
	request.GetBody = nil // prevents the client from retrying the request
	request.Host = soakHost
	request.Header.Set("Attempt-Id", o.attempt)
	request.Header.Set("Key", o.key)
	request.Header.Set("Deadline-Ms", "4000")
	if isStream(o.path) {
		request.Header.Set("Model", modelNames[random.IntN(len(modelNames))])
		request.Header.Set("Token-Usage", "100,20")
	}
	if o.framing != "" {
		request.Header.Set(framingHeader, o.framing)
	}
	if o.promptPrefix != "" {
		request.Header.Set("Prompt-Prefix", o.promptPrefix)
	}
	response, err := client.Do(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	o.status, o.seal, o.body, o.complete = response.StatusCode, response.Header.Get("Response-Seal"), string(body), err == nil
	o.leaving = response.Header.Get("Server-Leaving") != ""
}

// isStream reports whether the requests of a path are answered with streams.
func isStream(path string) bool {
	return slices.Contains([]string{"/stream/", "/resume/", singlePath}, path)
}

// checkInvariants compares the outcomes of callers with the runs and orders that
// replicas recorded, and returns the violations. withdrawnAt maps a key to the
// time at which the store acknowledged its withdrawal. resumeTimes are the times
// at which paused processes were resumed.
func (d *deployment) checkInvariants(outcomes []outcome, withdrawnAt map[string]time.Time, resumeTimes []time.Time) []string {
	var problems []string
	addProblem := func(format string, values ...any) { problems = append(problems, fmt.Sprintf(format, values...)) }
	runs := map[string][]emulator.FleetRun{}
	for _, r := range d.replicas {
		for _, run := range r.emulated.Runs() {
			runs[run.Attempt] = append(runs[run.Attempt], run)
			if run.HasKey || run.Tenant != "tenant-1" {
				addProblem("UNASKED: %s ran with the caller's key passed on: %v, workspace %q", run.Attempt, run.HasKey, run.Tenant)
			}
			if run.Body != "body of "+run.Attempt && run.Body != longBody(run.Attempt) || !strings.HasSuffix(run.Target, "/x?y=1") {
				addProblem("UNASKED: %s ran with target %s and body %q", run.Attempt, run.Target, run.Body)
			}
		}
		for _, problem := range r.emulated.Violations() {
			addProblem("LIMIT: %s", problem)
		}
		problems = append(problems, checkOrders(r.emulated.Orders(), resumeTimes)...)
	}
	for _, o := range outcomes {
		attemptRuns := runs[o.attempt]
		atMostOnce := o.path == "/once/" || o.path == "/stream/"
		switch {
		case atMostOnce && len(attemptRuns) > 1:
			addProblem("TWICE: %s %s ran %d times, want at most once", o.attempt, o.path, len(attemptRuns))
		case atMostOnce && len(attemptRuns) > 0 && (o.status == http.StatusServiceUnavailable || o.status == http.StatusTooManyRequests):
			addProblem("REFUSED: %s %s was refused with status %d but ran", o.attempt, o.path, o.status)
		}
		if at, ok := withdrawnAt[o.key]; ok && o.sentAt.Sub(at) > revocationBound && len(attemptRuns) > 0 {
			addProblem("CONFIG: %s was sent %v after its key was withdrawn and ran", o.attempt, o.sentAt.Sub(at))
		}
		if o.status == http.StatusOK && o.complete {
			if problem := checkResponse(o, attemptRuns); problem != "" {
				addProblem("%s", problem)
			}
		}
	}
	return problems
}

// checkResponse checks a successful response: it must be the complete response
// of one replica that ran the request. It returns "" or the violation.
func checkResponse(o outcome, runs []emulator.FleetRun) string {
	sealed := false
	for _, run := range runs {
		sealed = sealed || o.seal == emulator.Seal(run.Replica, o.attempt)
	}
	if !sealed {
		return fmt.Sprintf("MIXED: %s has seal %q, which belongs to no replica that ran it", o.attempt, o.seal)
	}
	want := "answer to " + o.attempt
	if isStream(o.path) {
		want = ""
		for id := 1; id <= eventsPerStream; id++ {
			want += fmt.Sprintf("id: %d\ndata: %s-%d\n\n", id, o.attempt, id)
		}
	}
	if o.body != want {
		return fmt.Sprintf("ORDER: %s got body %q, want %q", o.attempt, o.body, want)
	}
	return ""
}

// resumeGrace is the time after a process is resumed during which orders are not
// checked.
const resumeGrace = 300 * time.Millisecond

// checkOrders returns a violation for each two successive orders to a replica
// that came from different holders within orderSpacing.
func checkOrders(orders []emulator.FleetOrder, resumeTimes []time.Time) []string {
	var problems []string
	for i := 1; i < len(orders); i++ {
		previous, order := orders[i-1], orders[i]
		excused := false
		for _, at := range resumeTimes {
			since := order.At.Sub(at)
			excused = excused || since >= 0 && since < resumeGrace
		}
		if previous.Holder != order.Holder && order.At.Sub(previous.At) < orderSpacing && !excused {
			problems = append(problems, fmt.Sprintf("ONE: %s got orders from holders %s and %s within %v", order.Replica, previous.Holder, order.Holder, order.At.Sub(previous.At)))
		}
	}
	return problems
}
