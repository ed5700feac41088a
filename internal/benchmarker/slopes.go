package benchmarker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/emulator"
	"toucanhitch.example/toucanhitch/internal/encoder"
)

// SlopesPart is a part of the slopes measurement: MemoryPart, ControlPart,
// RolloutPart, LeasePart, ColdPart, HolderPart, TakeoverPart or NoticesPart.
type SlopesPart interface{ isSlopesPart() }

// MemoryPart measures how the memory and CPU time of a node grow.
type MemoryPart struct{}

// ControlPart measures the control traffic of idle fleets.
type ControlPart struct{}

// RolloutPart measures how soon configuration changes come into force.
type RolloutPart struct{}

// LeasePart measures how soon a lease gets a new holder.
type LeasePart struct{}

// ColdPart measures the time to the first token of models that are not loaded.
type ColdPart struct{}

// HolderPart measures the load on the holder of the placement lease at the
// users' fleet sizes.
type HolderPart struct{}

// TakeoverPart simulates the loss of the holder of the placement lease.
type TakeoverPart struct{}

// NoticesPart measures the memory and the bytes of the notices of replicas.
type NoticesPart struct{}

func (NoticesPart) isSlopesPart()  {}
func (TakeoverPart) isSlopesPart() {}
func (HolderPart) isSlopesPart()   {}
func (MemoryPart) isSlopesPart()   {}
func (ControlPart) isSlopesPart()  {}
func (RolloutPart) isSlopesPart()  {}
func (LeasePart) isSlopesPart()    {}
func (ColdPart) isSlopesPart()     {}

// ErrUnknownPart reports a name that does not belong to any part.
var ErrUnknownPart = merry.Sentinel("unknown part; want memory, control, rollout, lease, cold, holder, takeover or notices")

// ParsePart returns the part with the given name. It returns ErrUnknownPart if
// there is none.
func ParsePart(name string) (SlopesPart, error) {
	parts := map[string]SlopesPart{
		"memory": MemoryPart{}, "control": ControlPart{}, "rollout": RolloutPart{}, "lease": LeasePart{}, "cold": ColdPart{}, "holder": HolderPart{},
		"takeover": TakeoverPart{}, "notices": NoticesPart{},
	}
	part, ok := parts[name]
	if !ok {
		return nil, merry.Wrap(ErrUnknownPart, merry.AppendMessagef("%q", name))
	}
	return part, nil
}

// SlopesSettings configures the slopes measurement.
type SlopesSettings struct {
	Clock clockwork.Clock
	Seed  uint64
	// BasePort is the first of the loopback ports that the measurement uses, of
	// which there are at most 100.
	BasePort int
}

// slopesRun runs one part of the measurement.
type slopesRun struct {
	SlopesSettings
	random *rand.Rand
}

// Slopes measures how costs grow with the size of a deployment, for one part of
// the measurement.
func Slopes(ctx context.Context, settings SlopesSettings, part SlopesPart) ([]Table, error) {
	s := slopesRun{SlopesSettings: settings, random: rand.New(rand.NewPCG(settings.Seed, 0))}
	switch part.(type) {
	case MemoryPart:
		return s.measureMemory(ctx)
	case ControlPart:
		return s.measureControl(ctx)
	case RolloutPart:
		return s.measureRollout(ctx)
	case LeasePart:
		return s.measureLeases(ctx)
	case ColdPart:
		return s.measureColdStarts(ctx)
	case HolderPart:
		return measureHolders(settings), nil
	case TakeoverPart:
		return measureTakeovers(settings), nil
	case NoticesPart:
		return measureNotices(settings), nil
	default:
		panic(fmt.Sprintf("unknown slopes part %T", part))
	}
}

// Sizes of the fleets, as in the deployments of the first users.
const (
	slopesDataCentres = 3
	slopesEngines     = 9
	slopesListLag     = 500 * time.Millisecond
	engineLoadTime    = 2 * time.Second
)

func (s slopesRun) newFleet(ctx context.Context, nodes int) (*Fleet, func(), error) {
	engine := emulator.EngineSettings{
		LoadRemote: engineLoadTime, LoadDisk: engineLoadTime, Interval: 10 * time.Millisecond, ReportLag: 200 * time.Millisecond,
	}
	return NewFleet(ctx, FleetSettings{
		Clock: s.Clock, Nodes: nodes, DataCentres: slopesDataCentres, BasePort: s.BasePort, ListLag: slopesListLag,
		Engines: slices.Repeat([]emulator.EngineSettings{engine}, slopesEngines),
	})
}

// sleep pauses the measurement for d.
func (s slopesRun) sleep(d time.Duration) { <-s.Clock.After(d) }

// randomDuration draws a duration of at least 0 and less than limit.
func (s slopesRun) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(limit)))
}

// PlatformCalls returns the platform's call counters.
func (f *Fleet) PlatformCalls(ctx context.Context) (emulator.PlatformCalls, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.Platform+"/calls", nil)
	if err != nil {
		return emulator.PlatformCalls{}, merry.Wrap(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return emulator.PlatformCalls{}, merry.Wrap(err)
	}
	defer response.Body.Close()
	return encoder.DecodeFrom[emulator.PlatformCalls](response.Body, 1<<10)
}

// medianAndMax sorts durations in place and returns the median and the maximum
// in milliseconds.
func medianAndMax(times []time.Duration) (median, maximum float64) {
	slices.Sort(times)
	return inMilliseconds(percentile(times, 0.5)), inMilliseconds(times[len(times)-1])
}
