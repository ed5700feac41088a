package emulator

import (
	"time"

	"github.com/ansel1/merry/v2"
)

// ErrEndpointSettings reports settings with which a stand-in cannot run.
var ErrEndpointSettings = merry.Sentinel("invalid settings")

// EngineSettings describes an emulated model engine. The zero value of a field
// with a default means the default.
type EngineSettings struct {
	Name string
	// Slots is the number of requests in a batch; default 8.
	Slots int
	// Queue is the number of requests that may wait; default 64.
	Queue int
	// MemoryMB is the memory for models and adapters; default 65536.
	MemoryMB int
	// FirstToken is the fixed part of the time to the first token.
	FirstToken time.Duration
	// PromptToken is the time for each token of the prompt that is not
	// cached.
	PromptToken time.Duration
	// CachedShare is the part of a prompt that a cached prefix saves, 0 to 1.
	CachedShare float64
	// Interval is the time between tokens of a batch of one; default 10 ms.
	Interval time.Duration
	// BatchGrowth is the part of Interval that each further request of the
	// batch adds.
	BatchGrowth float64
	// AnswerTokens is the length at which answers stop by themselves; 0 means
	// that only the request's bound ends them.
	AnswerTokens int
	// LoadMemory, LoadDisk and LoadRemote are the times to load a model from
	// each tier. LoadRemote is not used if WeightStore is set.
	LoadMemory time.Duration
	LoadDisk   time.Duration
	LoadRemote time.Duration
	// LoadAdapter is the time to load an adapter.
	LoadAdapter time.Duration
	// Unload is the time to unload a model or an adapter.
	Unload time.Duration
	// WeightStore is the platform's address "IP:port" for transfers from the
	// remote tier, or empty.
	WeightStore string
	// CacheMemoryMB and CacheDiskMB bound the checkpoints kept after an
	// unload.
	CacheMemoryMB int
	CacheDiskMB   int
	// Prefixes bounds the prefix cache; default 64.
	Prefixes int
	// EventDelay is how late prefix-cache events appear.
	EventDelay time.Duration
	// EventGap loses every n-th event; 0 loses none.
	EventGap int
	// ReportLag is the age of the numbers in load reports.
	ReportLag time.Duration
	// HonoursFence makes the engine refuse orders with an old fence.
	HonoursFence bool
	// OrderToken is what orders must carry; empty means that orders are not
	// checked.
	OrderToken string
	// Loaded lists models that are loaded at the start.
	Loaded []EngineCheckpoint
	// CachedMemory and CachedDisk list checkpoints cached at the start, the
	// least recently used first.
	CachedMemory []EngineCheckpoint
	CachedDisk   []EngineCheckpoint
}

// EngineCheckpoint is the checkpoint of a model.
type EngineCheckpoint struct {
	// Model is the model's key, "name@version".
	Model    string
	MemoryMB int
	// Adapters lists the keys of adapters that are loaded with the model at
	// the start, without memory of their own.
	Adapters []string
}

const (
	defaultEngineSlots    = 8
	defaultEngineQueue    = 64
	defaultEngineMemoryMB = 64 << 10
	defaultEngineInterval = 10 * time.Millisecond
	defaultEnginePrefixes = 64
)

func (s EngineSettings) withDefaults() EngineSettings {
	s.Slots = valueOrDefault(s.Slots, defaultEngineSlots)
	s.Queue = valueOrDefault(s.Queue, defaultEngineQueue)
	s.MemoryMB = valueOrDefault(s.MemoryMB, defaultEngineMemoryMB)
	s.Interval = valueOrDefault(s.Interval, defaultEngineInterval)
	s.Prefixes = valueOrDefault(s.Prefixes, defaultEnginePrefixes)
	return s
}

func valueOrDefault[T int | time.Duration](value, fallback T) T {
	if value == 0 {
		return fallback
	}
	return value
}

func (s EngineSettings) validate() error {
	for name, value := range map[string]int{
		"Slots": s.Slots, "Queue": s.Queue, "MemoryMB": s.MemoryMB, "Prefixes": s.Prefixes,
		"AnswerTokens": s.AnswerTokens, "EventGap": s.EventGap, "Interval": int(s.Interval),
	} {
		if value < 0 {
			return merry.Wrap(ErrEndpointSettings, merry.AppendMessagef("%s is %d; it must not be negative", name, value))
		}
	}
	if s.CachedShare < 0 || s.CachedShare > 1 {
		return merry.Wrap(ErrEndpointSettings, merry.AppendMessagef("CachedShare is %v; allowed are 0 to 1", s.CachedShare))
	}
	return nil
}

// EngineStreamFault is a fault of the answers to generations.
type EngineStreamFault string

// The faults of answers.
const (
	// EngineSilent stops delivering data on the connection for good, without an
	// error.
	EngineSilent EngineStreamFault = "Silent"
	// EngineCut closes the connection.
	EngineCut EngineStreamFault = "Cut"
	// EngineCrossed answers with the lines of another attempt.
	EngineCrossed EngineStreamFault = "Crossed"
	// EngineGap leaves out one token.
	EngineGap EngineStreamFault = "Gap"
)

// EngineFaults are the faults of an engine, set by PUT /faults.
type EngineFaults struct {
	// Stream is the fault of answers, empty for none.
	Stream EngineStreamFault
	// After is the number of token lines before the fault; 0 means before the
	// first byte.
	After int
	// Streams is the number of answers that have the fault; 0 means all.
	Streams int
	// Refuse is the error with which generations are refused, such as "Full".
	Refuse string
	// SlowLoads multiplies the times of loads if it is above 1.
	SlowLoads float64
	// FailLoads makes loads end in the state Failed.
	FailLoads bool
	// RefuseOrders answers every order with 503.
	RefuseOrders bool
	// Leaving makes the engine take no new work.
	Leaving bool
	// SilenceOpen makes the connections that are open when it is set by PUT
	// /faults silent for good. EndpointServer.SilenceOpen does the same.
	SilenceOpen bool
	// Die closes the listener and every connection.
	Die bool
}
