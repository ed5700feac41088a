package server

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/encoder"
	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/pkg/releaser"
)

// Headers of callers' requests.
const (
	classHeader    = "Toucanhitch-Class"
	deadlineHeader = "Toucanhitch-Deadline"
	identityHeader = "Idempotency-Key"
)

const (
	// maxBodyBytes limits the body of a caller's request.
	maxBodyBytes = 4 << 20
	maxKeyBytes  = 256
	bearerPrefix = "Bearer "
)

// readRequest reads the headers that all kinds of requests share, and the body.
// It removes the key from the HTTP request. The returned request is never nil;
// with an error, which is a Refusal, it may be incomplete.
func readRequest(clock clockwork.Clock, r *http.Request) (*filter.Request, []byte, error) {
	request := &filter.Request{
		Arrived:  clock.Now(),
		Class:    filter.Class(r.Header.Get(classHeader)),
		Identity: r.Header.Get(identityHeader),
	}
	request.IdentityGiven = len(r.Header.Values(identityHeader)) > 0
	if value := r.Header.Get(deadlineHeader); value != "" {
		timeout, err := time.ParseDuration(value)
		if err != nil || timeout <= 0 {
			return request, nil, newRefusal(filter.MalformedRequest,
				fmt.Sprintf("header %s: %q is not a positive duration such as 1.5s", deadlineHeader, value))
		}
		request.Timeout = timeout
	}
	key, err := extractKey(r)
	if err != nil {
		return request, nil, err
	}
	body, err := readBody(r)
	if err != nil {
		return request, nil, err
	}
	if err := rejectExposedKey(r, key, body); err != nil {
		// The identity may contain the key, so it must not be logged or returned.
		request.Identity = ""
		return request, nil, err
	}
	if key != "" {
		request.KeyDigest = releaser.Digest(key)
	}
	return request, body, nil
}

// extractKey removes the key from the request's header and returns it, or "" if
// there is none.
func extractKey(r *http.Request) (string, error) {
	values := r.Header.Values("Authorization")
	r.Header.Del("Authorization")
	if len(values) == 0 {
		return "", nil
	}
	key, ok := strings.CutPrefix(values[0], bearerPrefix)
	key = strings.TrimSpace(key)
	if !ok || len(values) > 1 || key == "" || len(key) > maxKeyBytes {
		return "", newRefusal(filter.MissingKey, "header Authorization is malformed; want \"Bearer <key>\", once")
	}
	return key, nil
}

// rejectExposedKey refuses a request that contains a key outside its
// Authorization header, because the other parts may reach an endpoint or a log.
func rejectExposedKey(r *http.Request, key string, body []byte) error {
	for _, value := range []string{r.URL.Path, r.URL.RawQuery, r.Header.Get(identityHeader), r.Header.Get("Content-Type")} {
		if strings.Contains(value, releaser.KeyPrefix) || (key != "" && strings.Contains(value, key)) {
			return newRefusal(filter.MalformedRequest, "a key may stand only in the Authorization header")
		}
	}
	if key != "" && bytes.Contains(body, []byte(key)) {
		return newRefusal(filter.MalformedRequest, "the body contains the key; it may stand only in the Authorization header")
	}
	return nil
}

func readBody(r *http.Request) ([]byte, error) {
	body, err := encoder.Read(r.Body, maxBodyBytes)
	switch {
	case errors.Is(err, encoder.ErrTooLarge):
		return nil, newRefusal(filter.TooLarge, fmt.Sprintf("the body is larger than %d bytes", maxBodyBytes))
	case err != nil:
		return nil, newRefusal(filter.MalformedRequest, "the body ends before its announced length")
	}
	return body, nil
}

// refusalFromError returns the Refusal in the chain of err, or a MalformedRequest
// refusal with the text of err if there is none.
func refusalFromError(err error) filter.Refusal {
	var refusal filter.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return newRefusal(filter.MalformedRequest, err.Error())
}
