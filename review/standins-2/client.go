package main

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	host          = "site.example"
	streamPath    = "/brief/2f"
	key           = "k9n73hh2b9wu3fexd9dn"
	model         = "m0"
	streamTimeout = 6 * time.Second
	// retryLimit is the number of new channels that a requester opens for a request after
	// the first one.
	retryLimit = 3
)

// Try is one attempt of a requester.
type Try struct {
	Attempt, Front, Model, Resumes string
	SentAt                         time.Time
	Status                         int
	// Events is the number of events that it brought, and Complete is set if the stream
	// ended in order.
	Events   int
	Complete bool
	// Versions are the software versions of the replicas that made the events.
	Versions map[string]bool
	// RetryAfter is the time that a refusal names.
	RetryAfter time.Duration
}

var (
	idMutex sync.Mutex
	nextID  int
)

// Clients send streams and keep what became of each attempt.
type Clients struct {
	record *Record
	// key is the key of the requests, and timeout their time limit, streamTimeout if it is 0.
	key     string
	timeout time.Duration
	mu      sync.Mutex
	tries   []Try
}

// resolve asks the directories for addresses, as requesters do.
func resolve(directories []string) []string {
	for _, index := range rand.Perm(len(directories))[:min(3, len(directories))] {
		client := http.Client{Timeout: time.Second}
		response, err := client.Get(fmt.Sprintf("http://%s/toucanhitch/resolve?name=%s&region=north&zone=a", directories[index], host))
		if err != nil {
			continue
		}
		var body struct {
			Addresses []string `json:"addresses"`
		}
		err = json.NewDecoder(response.Body).Decode(&body)
		response.Body.Close()
		if err == nil && len(body.Addresses) > 0 {
			return body.Addresses
		}
	}
	return nil
}

// Stream sends one request of the resumable route.
func (c *Clients) Stream(addresses []string) { c.Send(addresses, streamPath, model, true) }

// Send sends a request for a model. One that is resumable is taken up again after a broken
// channel, and any is sent again after a promise that it has not run, each time on a new channel to
// an address that has not failed it.
func (c *Clients) Send(addresses []string, path, model string, resumable bool) {
	deadline := time.Now().Add(cmp.Or(c.timeout, streamTimeout))
	var failed []string
	origin, last := "", -1
	for range retryLimit + 1 {
		var usable []string
		for _, address := range addresses {
			if !slices.Contains(failed, address) {
				usable = append(usable, address)
			}
		}
		left := time.Until(deadline)
		if len(usable) == 0 || left <= 0 {
			return
		}
		front := usable[rand.IntN(len(usable))]
		try := c.send(front, path, model, origin, last, left)
		if try.Events > 0 && origin == "" {
			origin = try.Attempt
		}
		last += try.Events
		if try.Complete || try.Status == http.StatusBadRequest || try.Status == http.StatusUnauthorized || try.Status == http.StatusNotFound {
			return
		}
		if !resumable && try.Status != http.StatusServiceUnavailable && try.Status != http.StatusTooManyRequests {
			return
		}
		failed = append(failed, front)
	}
}

func (c *Clients) send(front, path, model, origin string, last int, left time.Duration) Try {
	idMutex.Lock()
	nextID++
	attempt := fmt.Sprintf("%08x", 0x1000000+nextID)
	idMutex.Unlock()
	try := Try{Attempt: attempt, Front: front, Model: model, SentAt: time.Now(), Versions: map[string]bool{}}
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+front+path, strings.NewReader(strings.Repeat("x", 1300)))
	if err != nil {
		panic(err)
	}
	request.Host = host
	request.Header.Set("Attempt-Id", attempt)
	request.Header.Set("Key", cmp.Or(c.key, key))
	request.Header.Set("Model", model)
	request.Header.Set("Token-Usage", "646,70")
	request.Header.Set("Prompt-Prefix", "5c1e07a2:155,"+attempt+":491")
	request.Header.Set("Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	if origin != "" && last >= 0 {
		try.Resumes = origin
		request.Header.Set("Resumes", origin)
		request.Header.Set("Last-Event-Id", strconv.Itoa(last))
		c.record.Printf("request %s sent to %s: takes up %s after event %d", attempt, front, origin, last)
	} else {
		c.record.Printf("request %s sent to %s for %s: new stream", attempt, front, model)
	}
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	if err != nil {
		c.record.Printf("request %s: no answer: %v", attempt, err)
		c.keep(try)
		return try
	}
	defer response.Body.Close()
	try.Status = response.StatusCode
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		try.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	detail := ""
	reader := bufio.NewReader(response.Body)
	for {
		line, err := reader.ReadString('\n')
		if strings.HasPrefix(line, "id:") {
			try.Events++
		}
		if version, ok := strings.CutPrefix(strings.TrimSpace(line), "data: "); ok {
			try.Versions[version] = true
		}
		if try.Status != http.StatusOK {
			detail += strings.TrimSpace(line)
		}
		if err != nil {
			try.Complete = err.Error() == "EOF" && try.Status == http.StatusOK
			break
		}
	}
	c.record.Printf("request %s: status %d, %d events, complete %t %s", attempt, try.Status, try.Events, try.Complete, detail)
	c.keep(try)
	return try
}

func (c *Clients) keep(try Try) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tries = append(c.tries, try)
}
