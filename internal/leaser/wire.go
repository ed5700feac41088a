package leaser

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/encoder"
)

type wireLease struct {
	Holder   string
	Run      string
	Epoch    uint64
	Duration string
	Data     []byte `json:",omitempty"`
}

func encodeLease(lease Lease) []byte {
	return encoder.Encode(wireLease{
		Holder:   lease.Holder,
		Run:      lease.Run,
		Epoch:    lease.Epoch,
		Duration: lease.Duration.String(),
		Data:     lease.Data,
	})
}

func decodeLease(data []byte) (Lease, error) {
	wire, err := encoder.DecodeLenient[wireLease](data)
	if err != nil {
		return Lease{}, err
	}
	duration, err := time.ParseDuration(wire.Duration)
	if err != nil {
		return Lease{}, err
	}
	return Lease{wire.Holder, wire.Run, wire.Epoch, duration, wire.Data}, nil
}
