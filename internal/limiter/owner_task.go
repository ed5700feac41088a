package limiter

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/encoder"
	"toucanhitch.example/toucanhitch/internal/runner"
)

// ErrLeaseData reports lease data that this version cannot decode.
var ErrLeaseData = merry.Sentinel("lease data of the limits is malformed")

// Store requests that data be written into the lease object with the next
// renewal. It must not block. OwnerTask.LeaseDataStored reports that the data was
// written.
type Store func(data []byte)

// OwnerTask runs an Owner, which answers the exchanges of all nodes while this
// node holds the lease.
type OwnerTask struct {
	task  *runner.Task[OwnerMessage, OwnerEffect]
	store Store
}

// NewOwnerTask returns the owner's part of a node, to be run as a task. The store
// function is called for each change of the lease data.
func NewOwnerTask(slotCount int, clock clockwork.Clock, store Store) *OwnerTask {
	t := &OwnerTask{store: store}
	t.task = runner.New(runner.Settings[OwnerMessage, OwnerEffect]{
		Name:       "lending",
		Clock:      clock,
		Controller: NewOwner(slotCount),
		Tick:       OwnerTick{},
		Perform:    t.perform,
		InboxSize:  inboxSize,
	})
	return t
}

// Run implements runner.Runnable.
func (t *OwnerTask) Run(ctx context.Context) error { return t.task.Run(ctx) }

// Post delivers LeaseLost, WorkspacesChanged and InstancesListed.
func (t *OwnerTask) Post(message OwnerMessage) error { return t.task.Post(message) }

// LeaseHeld reports that this node holds the lease of an epoch until a time on its
// own clock. The data is the content of the lease object when the node acquired
// it. Data that cannot be decoded is an error (ErrLeaseData), and nothing is
// granted: without the table of standing shares the owner's own share is not
// known.
func (t *OwnerTask) LeaseHeld(epoch uint64, until time.Time, data []byte) error {
	decoded, err := decodeLeaseData(data)
	if err != nil {
		return err
	}
	return t.task.Post(LeaseHeld{Epoch: epoch, Until: until, Data: decoded})
}

// LeaseDataStored reports that the lease object of an epoch holds data that was
// passed to Store. Data that cannot be decoded is an error (ErrLeaseData).
func (t *OwnerTask) LeaseDataStored(epoch uint64, data []byte) error {
	decoded, err := decodeLeaseData(data)
	if err != nil {
		return err
	}
	return t.task.Post(LeaseDataStored{Epoch: epoch, Revision: decoded.Revision})
}

// Exchange returns the answer to a holder's exchange.
func (t *OwnerTask) Exchange(ctx context.Context, exchange Exchange) (Answer, error) {
	return runner.Ask[Answer](ctx, t.task, func(call runner.Call) OwnerMessage {
		return ExchangeReceived{Call: call, Exchange: exchange}
	}, nil)
}

// HandOver stops granting tokens in this epoch and returns the data for the next
// owner, to be written into the lease object when the lease is released.
func (t *OwnerTask) HandOver(ctx context.Context) ([]byte, error) {
	data, err := runner.Ask[LeaseData](ctx, t.task, func(call runner.Call) OwnerMessage {
		return HandoverRequested{Call: call}
	}, nil)
	if err != nil {
		return nil, err
	}
	return encoder.Encode(leaseData(data)), nil
}

// State returns the owner's state for operators.
func (t *OwnerTask) State(ctx context.Context) (OwnerState, error) {
	return runner.Ask[OwnerState](ctx, t.task, func(call runner.Call) OwnerMessage {
		return StateRequested{Call: call}
	}, nil)
}

func (t *OwnerTask) perform(handle runner.Handle[OwnerMessage], effect OwnerEffect) {
	switch effect := effect.(type) {
	case ExchangeAnswered:
		handle.Reply(effect.Call, effect.Answer)
	case StateReported:
		handle.Reply(effect.Call, effect.State)
	case HandedOver:
		handle.Reply(effect.Call, effect.Data)
	case StoreLeaseData:
		t.store(encoder.Encode(leaseData(effect.Data)))
	}
}

// leaseData is the encoded form of LeaseData in the lease object.
type leaseData struct {
	Epoch      uint64
	Revision   uint64
	Slots      []string
	HandedOver bool
	Balances   []Balance
}

func decodeLeaseData(data []byte) (LeaseData, error) {
	if len(data) == 0 || string(data) == "null" {
		return LeaseData{}, nil
	}
	decoded, err := encoder.DecodeLenient[leaseData](data)
	if err != nil {
		return LeaseData{}, merry.Wrap(ErrLeaseData, merry.AppendMessagef("%v", err))
	}
	return LeaseData(decoded), nil
}
