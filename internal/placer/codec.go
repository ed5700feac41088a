package placer

import (
	"maps"
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/encoder"
	"toucanhitch.example/toucanhitch/internal/tracker"
	"toucanhitch.example/toucanhitch/pkg/releaser"
)

// placementObject is the JSON form of the object Placement/<region>.
type placementObject struct {
	Epoch         uint64
	ListVersion   uint64
	Configuration uint64
	Endpoints     []endpointObject
}

type endpointObject struct {
	Endpoint string
	MemoryMB int
	Entries  []entryObject
}

type entryObject struct {
	Model          string
	Version        string
	Adapter        string `json:",omitempty"`
	AdapterVersion string `json:",omitempty"`
	MemoryMB       int
	Tier           string `json:",omitempty"`
	Fence          uint64
	State          string
	Since          time.Time
}

// Encode returns the JSON form of a placement, with endpoints sorted by name.
func Encode(placement Placement) []byte {
	object := placementObject{
		Epoch:         placement.Epoch,
		ListVersion:   placement.ListVersion,
		Configuration: placement.Configuration,
		Endpoints:     []endpointObject{},
	}
	for _, name := range slices.Sorted(maps.Keys(placement.Endpoints)) {
		endpoint := placement.Endpoints[name]
		encoded := endpointObject{Endpoint: name, MemoryMB: endpoint.MemoryMB}
		for _, entry := range endpoint.Entries {
			encoded.Entries = append(encoded.Entries, encodeEntry(entry))
		}
		object.Endpoints = append(object.Endpoints, encoded)
	}
	return encoder.Encode(object)
}

func encodeEntry(entry Entry) entryObject {
	object := entryObject{
		MemoryMB: entry.MemoryMB,
		Tier:     string(entry.Tier),
		Fence:    entry.Fence,
		State:    string(entry.State),
		Since:    entry.Since.UTC(),
	}
	object.Model, object.Version = releaser.SplitKey(entry.Model)
	object.Adapter, object.AdapterVersion = releaser.SplitKey(entry.Adapter)
	return object
}

// Decode reads the JSON form of a placement. Its errors wrap
// encoder.ErrMalformed.
func Decode(data []byte) (Placement, error) {
	object, err := encoder.DecodeLenient[placementObject](data)
	if err != nil {
		return Placement{}, err
	}
	placement := Placement{
		Epoch:         object.Epoch,
		ListVersion:   object.ListVersion,
		Configuration: object.Configuration,
		Endpoints:     make(map[string]EndpointPlacement, len(object.Endpoints)),
	}
	for _, endpoint := range object.Endpoints {
		decoded := EndpointPlacement{MemoryMB: endpoint.MemoryMB}
		for _, entry := range endpoint.Entries {
			decoded.Entries = append(decoded.Entries, decodeEntry(entry))
		}
		slices.SortFunc(decoded.Entries, func(a, b Entry) int { return compareKeys(a.Key, b.Key) })
		placement.Endpoints[endpoint.Endpoint] = decoded
	}
	return placement, nil
}

func decodeEntry(object entryObject) Entry {
	entry := Entry{
		Key:      Key{Model: releaser.Key(object.Model, object.Version)},
		MemoryMB: object.MemoryMB,
		Tier:     tracker.Tier(object.Tier),
		Fence:    object.Fence,
		State:    tracker.State(object.State),
		Since:    object.Since,
	}
	if object.Adapter != "" {
		entry.Adapter = releaser.Key(object.Adapter, object.AdapterVersion)
	}
	return entry
}
