// Package poller reads load reports and prefix-cache events from engines.
//
// It is the only package that depends on the wire format of load reports and
// events, so that support for an engine with another format can be added here.
package poller

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/encoder"
	"toucanhitch.example/toucanhitch/internal/tracker"
	"toucanhitch.example/toucanhitch/internal/validator"
	"toucanhitch.example/toucanhitch/pkg/releaser"
)

// ErrNoReport reports that an engine did not return a valid load report, or
// its events, in time.
var ErrNoReport = merry.Sentinel("no load report")

const (
	pollTimeout    = time.Second
	idleTimeout    = 5 * time.Second
	maxReportBytes = 1 << 20
)

// report is the wire format of a load report, see docs/protocols.md.
type report struct {
	Sequence        uint64
	Age             string
	Queued          int
	Running         int
	Slots           int
	TokensPerSecond float64
	MemoryMB        int
	UsedMB          int
	Fence           uint64
	Models          []modelState
	Cached          []cachedModel
	Leaving         bool
}

type modelState struct {
	Model    string
	Version  string
	State    tracker.State
	Fence    uint64
	Running  int
	Served   uint64
	Adapters []adapterState
}

type adapterState struct {
	Adapter string
	Version string
	State   tracker.State
	Running int
	Served  uint64
}

type cachedModel struct {
	Model   string
	Version string
	Tier    tracker.Tier
}

// Poller reads load reports and prefix-cache events from engines.
type Poller struct {
	clock     clockwork.Clock
	transport validator.Transport
}

// New returns a poller and a function that closes its connections.
func New(clock clockwork.Clock) (*Poller, func()) {
	transport := validator.NewTransport(&http.Transport{
		DialContext:            (&net.Dialer{Timeout: pollTimeout}).DialContext,
		MaxResponseHeaderBytes: encoder.MaxHeadBytes,
		IdleConnTimeout:        idleTimeout,
		MaxIdleConnsPerHost:    1,
	})
	return &Poller{clock: clock, transport: transport}, transport.CloseIdleConnections
}

// PollReport reads the load report of the engine at an address. Its errors wrap
// ErrNoReport.
func (p *Poller) PollReport(ctx context.Context, endpoint, address string) (tracker.Report, error) {
	started := p.clock.Now()
	wireReport, err := get[report](ctx, p, endpoint, address, "/v1/load")
	if err != nil {
		return tracker.Report{}, err
	}
	return wireReport.decode(endpoint, started)
}

// get reads a JSON value from an engine. Its errors wrap ErrNoReport.
func get[T any](ctx context.Context, p *Poller, endpoint, address, path string) (T, error) {
	var zero T
	ctx, cancel := clockwork.WithTimeout(ctx, p.clock, pollTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return zero, merry.Wrap(ErrNoReport, merry.AppendMessagef("address %q: %v", address, err))
	}
	response, err := p.transport.RoundTrip(request)
	if err != nil {
		// The connection may be unresponsive. Closing it makes the next poll
		// dial a new one.
		p.transport.CloseIdleAfter(err)
		return zero, merry.Wrap(ErrNoReport, merry.AppendMessagef("%s: %v", endpoint, err))
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return zero, merry.Wrap(ErrNoReport, merry.AppendMessagef("%s: %s", endpoint, response.Status))
	}
	value, err := decode[T](response.Body)
	if err != nil {
		return zero, merry.Wrap(ErrNoReport, merry.AppendMessagef("%s: %v", endpoint, err))
	}
	return value, nil
}

// decode decodes a report or events. Unknown fields are ignored, since engines
// are updated independently of nodes: a strict decoder made every engine that
// sent a new field appear unresponsive.
func decode[T any](body io.Reader) (T, error) {
	data, err := encoder.Read(body, maxReportBytes)
	if err != nil {
		var zero T
		return zero, err
	}
	return encoder.DecodeLenient[T](data)
}

// decode converts the report from its wire format. The report's age is
// subtracted from the start of the poll, so that the time of measurement may be
// too early but never too late.
func (r report) decode(endpoint string, started time.Time) (tracker.Report, error) {
	age := time.Duration(0)
	if r.Age != "" {
		parsed, err := time.ParseDuration(r.Age)
		if err != nil || parsed < 0 {
			return tracker.Report{}, merry.Wrap(ErrNoReport, merry.AppendMessagef("%s: Age %q is not a duration", endpoint, r.Age))
		}
		age = parsed
	}
	result := tracker.Report{
		Endpoint:        endpoint,
		Sequence:        r.Sequence,
		Measured:        started.Add(-age),
		Queued:          r.Queued,
		Running:         r.Running,
		Slots:           r.Slots,
		TokensPerSecond: r.TokensPerSecond,
		MemoryMB:        r.MemoryMB,
		UsedMB:          r.UsedMB,
		Fence:           r.Fence,
		Leaving:         r.Leaving,
	}
	for _, model := range r.Models {
		result.Models = append(result.Models, model.decode())
	}
	for _, cached := range r.Cached {
		result.Cached = append(result.Cached, tracker.CachedModel{
			Model: releaser.Key(cached.Model, cached.Version),
			Tier:  cached.Tier,
		})
	}
	return result, nil
}

func (m modelState) decode() tracker.ModelState {
	state := tracker.ModelState{Model: releaser.Key(m.Model, m.Version), State: m.State, Fence: m.Fence, Running: m.Running, Served: m.Served}
	for _, adapter := range m.Adapters {
		state.Adapters = append(state.Adapters, tracker.AdapterState{
			Adapter: releaser.Key(adapter.Adapter, adapter.Version),
			State:   adapter.State,
			Running: adapter.Running,
			Served:  adapter.Served,
		})
	}
	return state
}
