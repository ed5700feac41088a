package emulator

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"toucanhitch.example/toucanhitch/internal/encoder"
	"toucanhitch.example/toucanhitch/internal/storer"
	"toucanhitch.example/toucanhitch/internal/tracker"
)

type wireObject struct {
	Kind    string
	Name    string
	Version uint64
	Value   json.RawMessage `json:",omitempty"`
}

type wirePut struct {
	IfVersion uint64
	Value     json.RawMessage
}

type wireVersion struct{ Version uint64 }

type wireObjects struct{ Objects []wireObject }

type wireInstance struct {
	Name         string
	Kind         tracker.Kind
	Service      string `json:",omitempty"`
	Address      string
	PeerAddress  string `json:",omitempty"`
	DataCentre   string
	Region       string
	Phase        tracker.Phase
	MemoryMB     int
	HonoursFence bool
	ChecksOrders bool
}

type wireInstances struct {
	Version   uint64
	Instances []wireInstance
}

type wirePlatformFaults struct {
	Outage        bool
	Latency       string
	LoseReplies   int
	Silent        bool
	SilenceOpen   bool
	ListLag       string
	StoreSlowdown float64
}

// messageBuilder returns the message for a decoded request, given its origin.
type messageBuilder func(Origin) PlatformMessage

func decodeGetOrWatch(r *http.Request) (messageBuilder, error) {
	id, err := parseObjectID(r)
	if err != nil {
		return nil, err
	}
	if !r.URL.Query().Has("After") && !r.URL.Query().Has("Wait") {
		return func(origin Origin) PlatformMessage { return GetObject{origin, id} }, nil
	}
	after, wait, err := parseWatch(r)
	if err != nil {
		return nil, err
	}
	return func(origin Origin) PlatformMessage { return WatchObject{origin, id, after, wait} }, nil
}

func decodePut(r *http.Request) (messageBuilder, error) {
	id, err := parseObjectID(r)
	if err != nil {
		return nil, err
	}
	put, err := decodeBody[wirePut](r)
	if err != nil {
		return nil, err
	}
	if len(put.Value) == 0 {
		return nil, merry.New("the field Value is missing")
	}
	return func(origin Origin) PlatformMessage { return PutObject{origin, id, put.IfVersion, put.Value} }, nil
}

func decodeDelete(r *http.Request) (messageBuilder, error) {
	id, err := parseObjectID(r)
	if err != nil {
		return nil, err
	}
	version, err := parseNumber(r, "IfVersion")
	if err != nil {
		return nil, err
	}
	return func(origin Origin) PlatformMessage { return DeleteObject{origin, id, version} }, nil
}

func decodeList(r *http.Request) (messageBuilder, error) {
	kind, prefix := r.PathValue("Kind"), r.URL.Query().Get("Prefix")
	return func(origin Origin) PlatformMessage { return ListObjects{origin, kind, prefix} }, nil
}

func decodeWatchInstances(r *http.Request) (messageBuilder, error) {
	after, wait, err := parseWatch(r)
	if err != nil {
		return nil, err
	}
	return func(origin Origin) PlatformMessage { return WatchInstances{origin, after, wait} }, nil
}

func decodeSetInstance(r *http.Request) (messageBuilder, error) {
	wire, err := decodeBody[wireInstance](r)
	if err != nil {
		return nil, err
	}
	if wire.Name != r.PathValue("Name") {
		return nil, merry.Errorf("the body names instance %q, the path %q", wire.Name, r.PathValue("Name"))
	}
	if wire.Phase != tracker.Live && wire.Phase != tracker.Leaving {
		return nil, merry.Errorf("phase %q is neither %s nor %s", wire.Phase, tracker.Live, tracker.Leaving)
	}
	return func(origin Origin) PlatformMessage { return SetInstance{origin, tracker.Instance(wire)} }, nil
}

func decodeRemoveInstance(r *http.Request) (messageBuilder, error) {
	name := r.PathValue("Name")
	return func(origin Origin) PlatformMessage { return RemoveInstance{origin, name} }, nil
}

func decodeTransfer(r *http.Request) (messageBuilder, error) {
	mb, err := strconv.ParseFloat(r.URL.Query().Get("MB"), 64)
	if err != nil || !(mb >= 0) {
		return nil, merry.Errorf("query parameter MB must be a number of at least 0: %v", err)
	}
	model, version := r.PathValue("Model"), r.PathValue("Version")
	return func(origin Origin) PlatformMessage { return TransferWeights{origin, model, version, mb} }, nil
}

func decodeSetFaults(r *http.Request) (messageBuilder, error) {
	wire, err := decodeBody[wirePlatformFaults](r)
	if err != nil {
		return nil, err
	}
	latency, err := parseDuration("Latency", wire.Latency)
	if err != nil {
		return nil, err
	}
	lag, err := parseDuration("ListLag", wire.ListLag)
	if err != nil {
		return nil, err
	}
	faults := PlatformFaults{
		Outage: wire.Outage, Latency: latency, LoseReplies: wire.LoseReplies, Silent: wire.Silent,
		SilenceOpen: wire.SilenceOpen, ListLag: lag, StoreSlowdown: wire.StoreSlowdown,
	}
	return func(origin Origin) PlatformMessage { return SetPlatformFaults{origin, faults} }, nil
}

func decodeCopy(*http.Request) (messageBuilder, error) {
	return func(origin Origin) PlatformMessage { return CopyPlatform{origin} }, nil
}

func decodeRestore(*http.Request) (messageBuilder, error) {
	return func(origin Origin) PlatformMessage { return RestorePlatform{origin} }, nil
}

func decodeGetFaults(*http.Request) (messageBuilder, error) {
	return func(origin Origin) PlatformMessage { return GetPlatformFaults{origin} }, nil
}

func decodeGetCalls(*http.Request) (messageBuilder, error) {
	return func(origin Origin) PlatformMessage { return GetPlatformCalls{origin} }, nil
}

func parseDuration(name, text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	duration, err := time.ParseDuration(text)
	if err == nil && duration < 0 {
		err = merry.Errorf("%s is negative", duration)
	}
	return duration, merry.Prepend(err, name)
}

func parseWatch(r *http.Request) (uint64, time.Duration, error) {
	after, err := parseNumber(r, "After")
	if err != nil {
		return 0, 0, err
	}
	wait, err := parseDuration("query parameter Wait", r.URL.Query().Get("Wait"))
	return after, min(wait, maxWatchWait), err
}

func parseNumber(r *http.Request, name string) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	number, err := strconv.ParseUint(text, 10, 64)
	return number, merry.Prependf(err, "query parameter %s", name)
}

func parseObjectID(r *http.Request) (storer.ID, error) {
	id := storer.ID{Kind: r.PathValue("Kind"), Name: r.PathValue("Name")}
	if !objectNamePattern.MatchString(id.Kind) || !objectNamePattern.MatchString(id.Name) {
		return id, merry.Errorf("object %q/%q: kind and name must match %s", id.Kind, id.Name, objectNamePattern)
	}
	return id, nil
}

func decodeBody[T any](r *http.Request) (T, error) {
	return encoder.DecodeFrom[T](r.Body, maxPlatformBody)
}
