package explainer

import (
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"toucanhitch.example/toucanhitch/internal/balancer"
	"toucanhitch.example/toucanhitch/internal/cacher"
	"toucanhitch.example/toucanhitch/internal/planner"
	"toucanhitch.example/toucanhitch/internal/rationer"
)

// Errors of questions, for errors.Is.
var (
	// ErrInvalid reports a question that is incomplete or contradicts itself.
	ErrInvalid = merry.Sentinel("invalid question")
	// ErrUnknown reports a route, workspace or model that the configuration lacks.
	ErrUnknown = merry.Sentinel("not in the configuration")
	// ErrNotReady reports a node that does not know the configuration yet.
	ErrNotReady = merry.Sentinel("node does not know the configuration yet")
)

// Question describes a request. It names its workspace and holds no key.
type Question struct {
	// Route names the route. If it is empty, Host and Path select it as for a request.
	Route, Host, Path string `json:",omitempty"`
	// Workspace is needed unless the route is public.
	Workspace      string `json:",omitempty"`
	Model, Adapter string `json:",omitempty"`
	// PromptTokens is the length of the prompt, and OutputTokens that of the answer.
	PromptTokens, OutputTokens int `json:",omitempty"`
	// Prefix holds the parts at the beginning of the prompt, in order.
	Prefix []Part `json:",omitempty"`
}

// Part is a part of a prompt that other requests may have as well.
type Part struct {
	ID     string
	Tokens int
}

// maxParts bounds the parts of a question.
const maxParts = 64

// Check returns ErrInvalid for a question that is incomplete or contradicts itself.
func (q Question) Check() error {
	invalid := func(format string, arguments ...any) error {
		return merry.Wrap(ErrInvalid, merry.AppendMessagef(format, arguments...))
	}
	switch {
	case q.Route == "" && (q.Host == "" || q.Path == ""):
		return invalid("Route, or Host and Path, must be given")
	case q.Route != "" && (q.Host != "" || q.Path != ""):
		return invalid("Route cannot be given together with Host or Path")
	case q.Adapter != "" && q.Model == "":
		return invalid("Adapter %q needs a Model", q.Adapter)
	case q.PromptTokens < 0 || q.OutputTokens < 0:
		return invalid("PromptTokens and OutputTokens must be at least 0; got %d and %d", q.PromptTokens, q.OutputTokens)
	case len(q.Prefix) > maxParts:
		return invalid("Prefix has %d parts; at most %d are allowed", len(q.Prefix), maxParts)
	}
	for index, part := range q.Prefix {
		if part.ID == "" || strings.ContainsAny(part.ID, ":, ") || part.Tokens <= 0 {
			return invalid("Prefix[%d]: got ID %q and Tokens %d; want an ID without colon, comma and space, and at least 1 token", index, part.ID, part.Tokens)
		}
	}
	return nil
}

// ParsePrefix parses "ID:TOKENS,...". It returns ErrInvalid.
func ParsePrefix(text string) ([]Part, error) {
	if text == "" {
		return nil, nil
	}
	var parts []Part
	for item := range strings.SplitSeq(text, ",") {
		id, count, _ := strings.Cut(item, ":")
		tokens, err := strconv.Atoi(count)
		if err != nil || id == "" {
			return nil, merry.Wrap(ErrInvalid, merry.AppendMessagef("prefix part %q: want ID:TOKENS", item))
		}
		parts = append(parts, Part{id, tokens})
	}
	return parts, nil
}

// promptParts returns the parts of the prompt and the IDs of those that other requests may
// share, all but the last one.
func (q Question) promptParts() (parts []cacher.Part, shared []string) {
	for _, part := range q.Prefix {
		parts = append(parts, cacher.Part{ID: part.ID, Tokens: part.Tokens})
		shared = append(shared, part.ID)
	}
	return parts, shared[:max(0, len(shared)-1)]
}

// Answer is where the request would go now and why. Durations are in nanoseconds on the
// wire, as everywhere between nodes.
type Answer struct {
	Node, Route string
	// Public is set for routes without keys. Their requests belong to no workspace.
	Public    bool   `json:",omitempty"`
	Workspace string `json:",omitempty"`
	Rank      int
	// Draining is set while the node shuts down, and KeysNotCurrent while it refuses requests
	// with keys because it cannot know that they are granted.
	Draining       bool `json:",omitempty"`
	KeysNotCurrent bool `json:",omitempty"`
	// DataCentres are those whose replicas may run the request, nil for all. NoRegion is the
	// reason if there is none: the request is refused.
	DataCentres []string `json:",omitempty"`
	NoRegion    string   `json:",omitempty"`
	Quota       rationer.Inspection
	// Services holds the targets of the route.
	Services []Service `json:",omitempty"`
	// ConfigurationAge is the time since the configuration was known to be the newest, and
	// ReplicasAge that since the list of replicas was known to be current, if ReplicasKnown
	// is set.
	ConfigurationVersion uint64
	ConfigurationAge     time.Duration
	ReplicasKnown        bool
	ReplicasAge          time.Duration `json:",omitempty"`
}

// Service is what would happen to the requests of a route that go to one of its targets.
type Service struct {
	Name string
	// Share is the part of the route's requests that go to the service.
	Share  float64
	Choice balancer.Explanation
	// Load is set if no replica that may run the request has the model and adapter.
	Load *Load `json:",omitempty"`
}

// Load is where the holder of the placement lease would load the model now.
type Load struct {
	planner.Explanation
	// Holder names the holder if that is another node, as far as this node knows it: only the
	// holder knows where it would load a model. HolderAddress is its peer address.
	Holder, HolderAddress string `json:",omitempty"`
}
