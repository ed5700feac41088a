package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// host is the host of the routes.
const host = "ficu95.example"

// streamResult is what a caller has of one stream, over all its requests for it.
type streamResult struct {
	name     string
	versions []string
	events   int
	requests int
	ended    string
}

// joined reports whether the stream holds events of two software versions.
func (s streamResult) joined() bool { return len(s.versions) > 1 }

// caller requests one stream and takes it up again after a broken channel. Each request has an
// Attempt-Id and a channel of its own.
type caller struct {
	nodes    []*node
	record   *record
	path     string
	key      string
	deadline time.Duration
	// pause is the time before a stream is taken up again, and retries how often that is done.
	pause   time.Duration
	retries int
}

func (c *caller) run(ctx context.Context, name string) streamResult {
	result := streamResult{name: name}
	until := time.Now().Add(c.deadline)
	first := ""
	var failed []*node
	for result.requests <= c.retries && time.Now().Before(until) && ctx.Err() == nil {
		n := c.choose(failed)
		attempt := fmt.Sprintf("%s-%d", name, result.requests)
		result.requests++
		before := result.events
		complete, retryAfter, err := c.request(ctx, n, attempt, first, until, &result)
		if first == "" && result.events > 0 {
			first = attempt
		}
		if complete {
			result.ended = "complete"
			return result
		}
		result.ended = fmt.Sprint(err)
		c.record.write("caller: %s at %s ended after event %d: %v", attempt, n.name, result.events, err)
		if result.events == before {
			failed = append(failed, n)
		}
		time.Sleep(max(c.pause, min(retryAfter, time.Until(until)/3)))
	}
	return result
}

// choose returns a node at random, except for those that have failed the caller.
func (c *caller) choose(failed []*node) *node {
	sound := slices.DeleteFunc(slices.Clone(c.nodes), func(n *node) bool { return slices.Contains(failed, n) })
	if len(sound) == 0 {
		sound = c.nodes
	}
	return sound[rand.IntN(len(sound))]
}

// request sends one request and adds the events of its answer to the result.
func (c *caller) request(ctx context.Context, n *node, attempt, first string, until time.Time, result *streamResult) (complete bool, retryAfter time.Duration, err error) {
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.frontAddress()+c.path, strings.NewReader("prompt"))
	if err != nil {
		return false, 0, err
	}
	request.Host = host
	request.Header.Set("Attempt-Id", attempt)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(time.Until(until).Milliseconds(), 10))
	request.Header.Set("Key", c.key)
	if first != "" {
		request.Header.Set("Last-Event-Id", strconv.Itoa(result.events))
		request.Header.Set("Resumes", first)
	}
	c.record.write("caller: %s sent to %s after event %d", attempt, n.name, result.events)
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return false, 0, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		body, _ := io.ReadAll(io.LimitReader(response.Body, 200))
		return false, time.Duration(seconds * float64(time.Second)), fmt.Errorf("status %d, %s", response.StatusCode, strings.TrimSpace(string(body)))
	}
	return c.readEvents(response.Body, attempt, result)
}

func (c *caller) readEvents(body io.Reader, attempt string, result *streamResult) (complete bool, retryAfter time.Duration, err error) {
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, found := strings.CutPrefix(scanner.Text(), "data: ")
		if !found {
			continue
		}
		result.events++
		version, replica, _ := strings.Cut(data, " ")
		if !slices.Contains(result.versions, version) {
			result.versions = append(result.versions, version)
			c.record.write("caller: %s: event %d is of %s, replica %s", attempt, result.events, version, replica)
		}
	}
	if err := scanner.Err(); err != nil {
		return false, 0, err
	}
	return true, 0, nil
}
