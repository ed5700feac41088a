package balancer

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"toucanhitch.example/toucanhitch/internal/runner"
)

// ErrNotRelayed reports a replica to which this node does not relay.
var ErrNotRelayed = merry.Sentinel("no connections are relayed to the replica")

// AdmitRelay asks whether this node may connect another one with a replica. What reaches a
// replica through this node counts as sent by it.
type AdmitRelay struct {
	Call    runner.Call
	Replica string
	Address string
}

// AnswerAdmitRelay answers an AdmitRelay. Reason is "" if the node may.
type AnswerAdmitRelay struct {
	Call   runner.Call
	Reason string `json:",omitempty"`
}

func (AdmitRelay) isMessage()      {}
func (AnswerAdmitRelay) isEffect() {}

func (c *Controller) admitRelay(now time.Time, message AdmitRelay) AnswerAdmitRelay {
	replica := c.Replicas[message.Replica]
	reason := ""
	switch {
	case replica == nil || replica.Description.Address != message.Address:
		reason = "the replica is not listed at this address"
	case replica.isExcluded():
		reason = "the replica leaves or is evacuated"
	case replica.isClosed(now) || now.Before(replica.Notice.ClosedElsewhereUntil):
		reason = "the replica wants no requests for a time"
	}
	return AnswerAdmitRelay{message.Call, reason}
}

// AdmitRelay returns ErrNotRelayed if this node may not connect another one with a replica.
func (t *Task) AdmitRelay(ctx context.Context, replica, address string) error {
	reason, err := runner.Ask[string](ctx, t.task,
		func(call runner.Call) Message { return AdmitRelay{Call: call, Replica: replica, Address: address} }, nil)
	if err != nil {
		return err
	}
	if reason != "" {
		return merry.Wrap(ErrNotRelayed, merry.AppendMessage(reason))
	}
	return nil
}
