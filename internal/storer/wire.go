package storer

import (
	"encoding/json"
	"net/netip"

	"github.com/ansel1/merry/v2"

	"toucanhitch.example/toucanhitch/internal/encoder"
	"toucanhitch.example/toucanhitch/internal/sequencer"
	"toucanhitch.example/toucanhitch/internal/tracker"
)

// conditionalWrite is a conditional write that may be sent more than once.
type conditionalWrite struct {
	// object contains the write ID and the data. Its version is not known yet.
	object    Object
	ifVersion uint64
}

func (w conditionalWrite) encode() []byte {
	value := wireValue{WriteID: w.object.WriteID, Data: w.object.Data}
	return encoder.Encode(wirePut{IfVersion: w.ifVersion, Value: value})
}

type wireValue struct {
	WriteID string
	Data    json.RawMessage
}

type wirePut struct {
	IfVersion uint64
	Value     wireValue
}

type wireVersion struct{ Version uint64 }

type wireObject struct {
	Kind    string
	Name    string
	Version uint64
	Value   wireValue
}

// wireListed is an entry of a list of objects.
type wireListed struct {
	Kind    string
	Name    string
	Version uint64
}

type wireInstance struct {
	Name         string
	Kind         tracker.Kind
	Service      string
	Address      string
	PeerAddress  string
	DataCentre   string
	Region       string
	Phase        tracker.Phase
	MemoryMB     int
	HonoursFence bool
	ChecksOrders bool
}

type wireInstances struct{ Version uint64 }

func decodeObject(response Response) (Object, error) {
	wire, err := encoder.Decode[wireObject](response.Body)
	if err != nil {
		return Object{}, decodeError("object", err)
	}
	id := ID{wire.Kind, wire.Name}
	return Object{ID: id, Version: wire.Version, Era: response.Era, WriteID: wire.Value.WriteID, Data: wire.Value.Data}, nil
}

func (c *Client) decodeObjects(body []byte) ([]Object, error) {
	_, items, err := encoder.DecodeList[struct{}](body, "Objects")
	if err != nil {
		return nil, decodeError("list of objects", err)
	}
	objects := make([]Object, 0, len(items))
	for _, item := range items {
		wire, err := encoder.DecodeLenient[wireListed](item)
		if err == nil && (wire.Kind == "" || wire.Name == "") {
			err = merry.Wrap(encoder.ErrMalformed, merry.AppendMessage("object without kind or name"))
		}
		if err != nil {
			c.Unreadable.Add("Object", wire.Name, err)
			continue
		}
		objects = append(objects, Object{ID: ID{wire.Kind, wire.Name}, Version: wire.Version})
	}
	return objects, nil
}

func (c *Client) decodeInstances(response Response) (tracker.InstanceList, error) {
	wire, items, err := encoder.DecodeList[wireInstances](response.Body, "Instances")
	if err != nil {
		return tracker.InstanceList{}, decodeError("list of instances", err)
	}
	list := tracker.InstanceList{Version: sequencer.Position{Era: response.Era, Revision: wire.Version}.Ordinal()}
	for _, item := range items {
		instance, err := decodeInstance(item)
		if err != nil {
			c.Unreadable.Add("Instance", instance.Name, err)
			continue
		}
		list.Instances = append(list.Instances, instance)
	}
	return list, nil
}

// decodeInstance decodes an entry of the list of instances. Errors: encoder.ErrMalformed.
func decodeInstance(item []byte) (tracker.Instance, error) {
	wire, err := encoder.DecodeLenient[wireInstance](item)
	instance := tracker.Instance(wire)
	switch {
	case err != nil:
		return instance, err
	case wire.Name == "" || wire.MemoryMB < 0:
		return instance, merry.Wrap(encoder.ErrMalformed, merry.AppendMessagef("instance %q with %d MiB; want a name and at least 0", wire.Name, wire.MemoryMB))
	}
	for _, address := range []string{wire.Address, wire.PeerAddress} {
		if parsed, err := netip.ParseAddrPort(address); address != "" && (err != nil || parsed.Port() == 0) {
			return instance, merry.Wrap(encoder.ErrMalformed, merry.AppendMessagef("instance %q has address %q; want IP:port", wire.Name, address))
		}
	}
	return instance, nil
}

func decodeError(subject string, err error) error {
	return merry.Wrap(ErrUnavailable, merry.AppendMessagef("%s: %v", subject, err))
}
