package emulator

import (
	"time"

	"github.com/ansel1/merry/v2"
)

// ErrEndpointSettings reports invalid settings or faults of an endpoint.
var ErrEndpointSettings = merry.Sentinel("invalid settings")

// EngineSettings describes an emulated model engine. The zero value of a field
// with a default means the default.
type EngineSettings struct {
	Name string
	// Slots is the maximum number of requests in a batch; default 8.
	Slots int
	// Queue is the maximum number of queued requests; default 64.
	Queue int
	// MemoryMB is the memory for models and adapters in MB; default 65536.
	MemoryMB int
	// FirstToken is the part of the time to first token that does not depend on
	// the prompt.
	FirstToken time.Duration
	// PromptToken is the prefill time for each prompt token that is not cached.
	PromptToken time.Duration
	// CachedShare is the fraction of the prompt's prefill time that a cached
	// prefix saves, 0 to 1.
	CachedShare float64
	// Interval is the time between tokens at batch size 1; default 10 ms.
	Interval time.Duration
	// BatchGrowth is the fraction of Interval by which each further request in
	// the batch lengthens the time between tokens.
	BatchGrowth float64
	// AnswerTokens is the number of tokens after which answers end with the
	// finish reason "stop"; 0 means that only the request's MaxTokens ends them.
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
	// CacheMemoryMB and CacheDiskMB are the capacities of the caches that keep
	// the checkpoints of unloaded models in memory and on disk.
	CacheMemoryMB int
	CacheDiskMB   int
	// Prefixes is the capacity of the prefix cache; default 64.
	Prefixes int
	// EventDelay is the delay before a prefix-cache event can be read.
	EventDelay time.Duration
	// EventGap omits every n-th event; 0 omits none.
	EventGap int
	// ReportLag is the age of the load that reports show.
	ReportLag time.Duration
	// HonoursFence makes the engine refuse orders with a fence below the highest
	// that it has accepted.
	HonoursFence bool
	// OrderToken is the token that orders must carry; empty disables the check.
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
	// the start. They use no memory of their own.
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
		return merry.Wrap(ErrEndpointSettings, merry.AppendMessagef("CachedShare is %v; it must be from 0 to 1", s.CachedShare))
	}
	return nil
}

// EngineStreamFault is a fault that is injected into answers to generations.
type EngineStreamFault string

// The faults of answers.
const (
	// EngineSilent permanently stops delivering data on the connection and
	// leaves it open.
	EngineSilent EngineStreamFault = "Silent"
	// EngineCut closes the connection.
	EngineCut EngineStreamFault = "Cut"
	// EngineCrossed writes lines that carry the ID of another attempt.
	EngineCrossed EngineStreamFault = "Crossed"
	// EngineGap omits one token.
	EngineGap EngineStreamFault = "Gap"
)

// EngineFaults are the faults of an engine, set by PUT /faults.
type EngineFaults struct {
	// Stream is the fault injected into answers; empty for none.
	Stream EngineStreamFault
	// After is the number of token lines before the fault; 0 means before the
	// first byte.
	After int
	// Streams is the number of answers that get the fault; 0 means all.
	Streams int
	// Refuse is the error with which all generations are refused, such as
	// "Full"; empty for none.
	Refuse string
	// SlowLoads multiplies load times if it is above 1.
	SlowLoads float64
	// FailLoads makes loads end in the state Failed.
	FailLoads bool
	// RefuseOrders answers every order with 503.
	RefuseOrders bool
	// Leaving refuses new generations.
	Leaving bool
	// SilenceOpen permanently stops delivering data on the connections that are
	// open when PUT /faults sets it, except the one of that request.
	// EndpointServer.SilenceOpen does the same to all open connections.
	SilenceOpen bool
	// Die closes the listener and every connection.
	Die bool
}
