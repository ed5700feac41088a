package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	hostName = "review.example"
	apiKey   = "review-key-1"
)

var lastAttempt atomic.Int64

// request is what a requester sends.
type request struct {
	Method, Path, Model string
	OutputTokens        int
	Deadline            time.Duration
	Body                string
	// LastEventID and Resumes are set if the requester takes up a stream: the last event
	// that it has, and the attempt that brought the first one.
	LastEventID int
	Resumes     string
}

// result is what a requester has seen.
type result struct {
	Attempt, Node string
	Path          string
	SentAt        time.Time
	EndedAt       time.Time
	Status        int
	Seal          string
	Events        int
	LastEventID   int
	// Complete is set if the answer came to its end. Err is the error that ended it.
	Complete bool
	Body     string
	Err      error
}

func (r result) String() string {
	return fmt.Sprintf("%s to %s %s: status %d, %d events, complete %t, %.2f s, %v", r.Attempt, r.Node, r.Path, r.Status, r.Events, r.Complete, r.EndedAt.Sub(r.SentAt).Seconds(), r.Err)
}

// send sends a request on a channel of the transport and reads the answer to its end.
func send(transport *http.Transport, n *node, sent request) result {
	res := result{Attempt: fmt.Sprintf("a%06d", lastAttempt.Add(1)), Node: n.name, Path: sent.Path}
	httpRequest, err := http.NewRequest(sent.Method, "http://"+n.caller+sent.Path, strings.NewReader(sent.Body))
	if err != nil {
		panic(err) // requests are literals of this program
	}
	httpRequest.Host = hostName
	httpRequest.Header.Set("Attempt-Id", res.Attempt)
	httpRequest.Header.Set("Key", apiKey)
	httpRequest.Header.Set("Deadline-Ms", strconv.FormatInt(sent.Deadline.Milliseconds(), 10))
	if sent.Model != "" {
		httpRequest.Header.Set("Model", sent.Model)
		httpRequest.Header.Set("Token-Usage", fmt.Sprintf("490,%d", sent.OutputTokens))
		httpRequest.Header.Set("Prompt-Prefix", "5c1e07a2:93,"+res.Attempt[1:]+":397")
	}
	if sent.LastEventID > 0 {
		httpRequest.Header.Set("Last-Event-Id", strconv.Itoa(sent.LastEventID))
		httpRequest.Header.Set("Resumes", sent.Resumes)
	}
	client := http.Client{Transport: transport, Timeout: sent.Deadline}
	res.SentAt = time.Now()
	response, err := client.Do(httpRequest)
	if err != nil {
		res.EndedAt, res.Err = time.Now(), err
		return res
	}
	defer response.Body.Close()
	res.Status, res.Seal = response.StatusCode, response.Header.Get("Response-Seal")
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		res.Err = res.readEvents(response.Body)
	} else {
		var body []byte
		body, res.Err = io.ReadAll(response.Body)
		res.Body = string(body)
	}
	res.EndedAt = time.Now()
	res.Complete = res.Err == nil
	return res
}

// readEvents counts the events of a stream until its end.
func (r *result) readEvents(body io.Reader) error {
	reader := bufio.NewReader(body)
	for {
		line, err := reader.ReadString('\n')
		if err == io.EOF && line == "" {
			return nil
		}
		if err != nil {
			return err
		}
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			r.Events++
			r.LastEventID, _ = strconv.Atoi(strings.TrimSpace(id))
		}
	}
}

// newTransport returns a transport with channels of its own.
func newTransport() *http.Transport {
	return &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}
}
