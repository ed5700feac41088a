package limiter

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/encoder"
	"toucanhitch.example/toucanhitch/internal/runner"
)

// ErrLeaseData reports lease data that this version does not understand.
var ErrLeaseData = merry.Sentinel("lease data of the limits is malformed")

// Store asks for data to be written into the lease object with the next
// renewal. It must not block. Lending.Stored tells when it was written.
type Store func(data []byte)

// Lending answers the exchanges of all nodes while this node holds the lease.
// It runs an Owner.
type OwnerTask struct {
	task  *runner.Task[OwnerMessage, OwnerEffect]
	store Store
}

// NewLending returns the owner's side of a node, to be run as a task.
func NewOwnerTask(slotCount int, clock clockwork.Clock, store Store) *OwnerTask {
	l := &OwnerTask{store: store}
	l.task = runner.New(runner.Settings[OwnerMessage, OwnerEffect]{
		Name:       "lending",
		Clock:      clock,
		Controller: NewOwner(slotCount),
		Tick:       OwnerTick{},
		Perform:    l.perform,
		Inbox:      inboxSize,
	})
	return l
}

// Run implements runner.Runnable.
func (l *OwnerTask) Run(ctx context.Context) error { return l.task.Run(ctx) }

// Post delivers LeaseLost, WorkspacesChanged and InstancesListed.
func (l *OwnerTask) Post(message OwnerMessage) error { return l.task.Post(message) }

// Held says that this node holds the lease of an epoch until a time on its own
// clock, and what the lease object held when the node took it. Data that
// cannot be read is an error, and then nothing is granted: without the table of
// standing shares the owner's own part is not known.
func (l *OwnerTask) LeaseHeld(epoch uint64, until time.Time, data []byte) error {
	decoded, err := decodeLeaseData(data)
	if err != nil {
		return err
	}
	return l.task.Post(LeaseHeld{Epoch: epoch, Until: until, Data: decoded})
}

// Stored says that the lease object of an epoch holds data that Store got.
func (l *OwnerTask) LeaseDataStored(epoch uint64, data []byte) error {
	decoded, err := decodeLeaseData(data)
	if err != nil {
		return err
	}
	return l.task.Post(LeaseDataStored{Epoch: epoch, Revision: decoded.Revision})
}

// Exchange answers a holder.
func (l *OwnerTask) Exchange(ctx context.Context, exchange Exchange) (Answer, error) {
	return runner.Ask[Answer](ctx, l.task, func(call runner.Call) OwnerMessage {
		return ExchangeReceived{Call: call, Exchange: exchange}
	}, nil)
}

// HandOver ends the lending in this epoch and returns the data for the next
// owner, to be written when the lease is released.
func (l *OwnerTask) HandOver(ctx context.Context) ([]byte, error) {
	data, err := runner.Ask[LeaseData](ctx, l.task, func(call runner.Call) OwnerMessage {
		return HandoverRequested{Call: call}
	}, nil)
	if err != nil {
		return nil, err
	}
	return encoder.Encode(leaseData(data)), nil
}

// State returns what the owner knows, for operators.
func (l *OwnerTask) State(ctx context.Context) (OwnerState, error) {
	return runner.Ask[OwnerState](ctx, l.task, func(call runner.Call) OwnerMessage {
		return StateRequested{Call: call}
	}, nil)
}

func (l *OwnerTask) perform(handle runner.Handle[OwnerMessage], effect OwnerEffect) {
	switch effect := effect.(type) {
	case ExchangeAnswered:
		handle.Answer(effect.Call, effect.Answer)
	case StateReported:
		handle.Answer(effect.Call, effect.State)
	case HandedOver:
		handle.Answer(effect.Call, effect.Data)
	case StoreLeaseData:
		l.store(encoder.Encode(leaseData(effect.Data)))
	}
}

// leaseData is the form of LeaseData in the lease object.
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
	decoded, err := encoder.Decode[leaseData](data)
	if err != nil {
		return LeaseData{}, merry.Wrap(ErrLeaseData, merry.AppendMessagef("%v", err))
	}
	return LeaseData(decoded), nil
}
