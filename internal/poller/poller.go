// Package poller asks engines for their load and their prefix-cache events.
//
// It is the only place that knows how load reports and events are written, so
// that an engine with other ones can be adapted here.
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
	"toucanhitch.example/toucanhitch/pkg/releaser"
)

// ErrNoReport reports that an engine did not answer with a report, or with
// its events, in time.
var ErrNoReport = merry.Sentinel("no load report")

const (
	pollTimeout    = time.Second
	idleTimeout    = 5 * time.Second
	maxReportBytes = 1 << 20
)

// report is the load report of docs/protocols.md.
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

// Poller asks engines for load reports.
type Poller struct {
	clock     clockwork.Clock
	transport *http.Transport
}

// New returns a poller and a function that closes its connections.
func New(clock clockwork.Clock) (*Poller, func()) {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: pollTimeout}).DialContext,
		IdleConnTimeout:     idleTimeout,
		MaxIdleConnsPerHost: 1,
	}
	return &Poller{clock: clock, transport: transport}, transport.CloseIdleConnections
}

// Poll asks the engine at an address for its load. It returns ErrNoReport.
func (p *Poller) Poll(ctx context.Context, endpoint, address string) (tracker.Report, error) {
	started := p.clock.Now()
	wire, err := get[report](ctx, p, endpoint, address, "/v1/load")
	if err != nil {
		return tracker.Report{}, err
	}
	return wire.decode(endpoint, started)
}

// get reads a JSON value from an engine. It returns ErrNoReport.
func get[T any](ctx context.Context, p *Poller, endpoint, address, path string) (T, error) {
	var none T
	ctx, cancel := clockwork.WithTimeout(ctx, p.clock, pollTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return none, merry.Wrap(ErrNoReport, merry.AppendMessagef("address %q: %v", address, err))
	}
	response, err := p.transport.RoundTrip(request)
	if err != nil {
		// The connection may be silent; the next poll dials a new one.
		p.transport.CloseIdleConnections()
		return none, merry.Wrap(ErrNoReport, merry.AppendMessagef("%s: %v", endpoint, err))
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return none, merry.Wrap(ErrNoReport, merry.AppendMessagef("%s: %s", endpoint, response.Status))
	}
	wire, err := decode[T](response.Body)
	if err != nil {
		return none, merry.Wrap(ErrNoReport, merry.AppendMessagef("%s: %v", endpoint, err))
	}
	return wire, nil
}

// decode reads a report or events. Fields that this version does not know are ignored,
// since engines are updated independently of nodes: a strict reader once took
// every engine with a new field for silent.
func decode[T any](body io.Reader) (T, error) {
	data, err := encoder.Read(body, maxReportBytes)
	if err != nil {
		var none T
		return none, err
	}
	return encoder.DecodeLenient[T](data)
}

// decode dates the report from the start of the poll, so that it looks older
// rather than younger.
func (r report) decode(endpoint string, started time.Time) (tracker.Report, error) {
	age := time.Duration(0)
	if r.Age != "" {
		parsed, err := time.ParseDuration(r.Age)
		if err != nil || parsed < 0 {
			return tracker.Report{}, merry.Wrap(ErrNoReport, merry.AppendMessagef("%s: Age %q is not a duration", endpoint, r.Age))
		}
		age = parsed
	}
	decoded := tracker.Report{
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
		decoded.Models = append(decoded.Models, model.decode())
	}
	for _, cached := range r.Cached {
		decoded.Cached = append(decoded.Cached, tracker.CachedModel{
			Model: releaser.Key(cached.Model, cached.Version),
			Tier:  cached.Tier,
		})
	}
	return decoded, nil
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
