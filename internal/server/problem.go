package server

import (
	"math"
	"net/http"
	"strconv"

	"toucanhitch.example/toucanhitch/internal/encoder"
	"toucanhitch.example/toucanhitch/internal/filter"
)

// problem is an RFC 9457 problem detail with the extension member run.
type problem struct {
	Type     string     `json:"type"`
	Title    string     `json:"title"`
	Status   int        `json:"status"`
	Detail   string     `json:"detail,omitempty"`
	Instance string     `json:"instance,omitempty"`
	Run      filter.Run `json:"run"`
}

const problemTypePrefix = "urn:toucanhitch:"

// problemKind is the HTTP status and the title of a refusal reason.
type problemKind struct {
	status int
	title  string
}

var problemKinds = map[filter.Reason]problemKind{
	filter.MalformedRequest:    {http.StatusBadRequest, "Malformed request"},
	filter.MissingKey:          {http.StatusUnauthorized, "Missing key"},
	filter.UnknownKey:          {http.StatusUnauthorized, "Unknown key"},
	filter.KeyWithdrawn:        {http.StatusUnauthorized, "Key withdrawn"},
	filter.UnknownModel:        {http.StatusNotFound, "Unknown model"},
	filter.UnknownService:      {http.StatusNotFound, "Unknown service"},
	filter.UnknownRoute:        {http.StatusNotFound, "Unknown route"},
	filter.TooLarge:            {http.StatusRequestEntityTooLarge, "Request too large"},
	filter.IdentityReused:      {http.StatusUnprocessableEntity, "Idempotency key reused for another request"},
	filter.MissingIdentity:     {http.StatusBadRequest, "Missing Idempotency-Key"},
	filter.RateLimited:         {http.StatusTooManyRequests, "Rate limit reached"},
	filter.Overloaded:          {http.StatusServiceUnavailable, "Overloaded"},
	filter.DeadlineUnreachable: {http.StatusServiceUnavailable, "Deadline cannot be met"},
	filter.DeadlinePassed:      {http.StatusServiceUnavailable, "Deadline passed"},
	filter.Draining:            {http.StatusServiceUnavailable, "Node is leaving"},
	filter.NotCurrent:          {http.StatusServiceUnavailable, "Node is not up to date"},
	filter.NoEndpoint:          {http.StatusServiceUnavailable, "No endpoint available"},
	filter.JournalUnavailable:  {http.StatusServiceUnavailable, "Call cannot be recorded"},
	filter.OutcomeUnknown:      {http.StatusBadGateway, "Outcome unknown"},
	filter.EndpointFailed:      {http.StatusBadGateway, "Endpoint failed"},
	filter.StreamBroken:        {http.StatusBadGateway, "Stream broke off"},
	filter.CallerGone:          {http.StatusBadGateway, "Caller gone"},
}

func newProblem(identity string, refusal filter.Refusal) problem {
	kind := problemKinds[refusal.Reason]
	return problem{
		Type:     problemTypePrefix + string(refusal.Reason),
		Title:    kind.title,
		Status:   kind.status,
		Detail:   refusal.Detail,
		Instance: identity,
		Run:      refusal.Run,
	}
}

func writeProblem(w http.ResponseWriter, identity string, refusal filter.Refusal) {
	body := newProblem(identity, refusal)
	w.Header().Set("Content-Type", "application/problem+json")
	w.Header().Set("Cache-Control", "no-store")
	switch {
	case refusal.RetryAfter > 0:
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(refusal.RetryAfter.Seconds()))))
	case body.Status == http.StatusTooManyRequests, body.Status == http.StatusServiceUnavailable:
		w.Header().Set("Retry-After", "1")
	}
	w.WriteHeader(body.Status)
	_, _ = w.Write(encoder.Encode(body))
}

// newRefusal returns a refusal of a request that certainly did not run.
func newRefusal(reason filter.Reason, detail string) filter.Refusal {
	return filter.Refusal{Reason: reason, Detail: detail, Run: filter.NotRun}
}
