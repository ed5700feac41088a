package messenger

import (
	"context"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"toucanhitch.example/toucanhitch/internal/planner"
)

// reportPath contains the version of the format: a node of another version answers
// 404, and the report counts as refused.
const reportPath = "/peer/v6/report"

// Reports, states and views of the planner are encoded directly: their exported fields
// define the wire format.
type reportRequest struct{ Report planner.Report }

// reportAnswer is a planner.Answer. The parts that many nodes get are encoded once and
// copied into each answer.
type reportAnswer struct {
	Holding       bool
	Acting        bool   `json:",omitempty"`
	Holder        string `json:",omitempty"`
	HolderAddress string `json:",omitempty"`
	Registered    bool   `json:",omitempty"`
	Included      uint64 `json:",omitempty"`
	StateAge      time.Duration
	State         sharedPart `json:",omitzero"`
	View          sharedPart `json:",omitzero"`
}

// Report sends a node's report to the holder of the placement lease.
func (c *Client) Report(ctx context.Context, address string, report planner.Report) (planner.Answer, error) {
	wire, err := Exchange[reportRequest, reportAnswer](ctx, c, address, reportPath, reportRequest{report})
	if err != nil {
		return planner.Answer{}, err
	}
	answer := planner.Answer{
		Holding:       wire.Holding,
		Acting:        wire.Acting,
		Holder:        wire.Holder,
		HolderAddress: wire.HolderAddress,
		Registered:    wire.Registered,
		Included:      wire.Included,
		StateAge:      wire.StateAge,
	}
	if answer.State, err = decodeShared[planner.State](wire.State); err == nil {
		answer.View, err = decodeShared[planner.StoreView](wire.View)
	}
	if err != nil {
		return planner.Answer{}, merry.Wrap(ErrUnreachable, merry.AppendMessagef("%s%s: %v", address, reportPath, err))
	}
	return answer, nil
}

// HandleReport registers the handler of reports, which answer responds to.
func HandleReport(mux *http.ServeMux, answer func(ctx context.Context, report planner.Report) (planner.Answer, error)) {
	var states sharedEncoder[planner.State]
	var views sharedEncoder[planner.StoreView]
	mux.Handle("POST "+reportPath, Handle(func(ctx context.Context, request reportRequest) (reportAnswer, error) {
		result, err := answer(ctx, request.Report)
		if err != nil {
			return reportAnswer{}, err
		}
		return reportAnswer{
			Holding:       result.Holding,
			Acting:        result.Acting,
			Holder:        result.Holder,
			HolderAddress: result.HolderAddress,
			Registered:    result.Registered,
			Included:      result.Included,
			StateAge:      result.StateAge,
			State:         states.encode(result.State),
			View:          views.encode(result.View),
		}, nil
	}))
}
