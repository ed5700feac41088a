package messenger

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"toucanhitch.example/toucanhitch/internal/planner"
)

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

// Report sends a node's report to the holder of the placement lease, in the newest form that
// the holder takes. A form that the holder does not know is answered with 404 and has not been
// processed, so that the same report is sent in the next.
func (c *Client) Report(ctx context.Context, address string, report planner.Report) (planner.Answer, error) {
	for learnt := false; ; learnt = true {
		index := c.forms.choose(c.clock.Now(), address)
		if index >= len(c.reportForms) {
			c.observeForm(address, "", noCommonForm, index)
			return planner.Answer{}, merry.Wrap(ErrUnknownMessage, merry.AppendMessagef("%s: report in %d forms", address, len(c.reportForms)))
		}
		form := c.reportForms[index]
		answer, err := c.reportIn(ctx, address, form, report)
		switch {
		case errors.Is(err, ErrUnknownMessage):
			c.forms.recordUnknown(c.clock.Now(), address, index)
			continue
		case errors.Is(err, ErrUnreachable) && !learnt:
			c.forms.reset(address)
		case err == nil && index > 0:
			c.observeForm(address, form.path(), sentEarlier, index)
		case err == nil && c.forms.recordUse(address, index):
			c.Observe(FormUse{Text: sentNewest, Peer: address, Path: form.path(), First: true})
		}
		return answer, err
	}
}

func (c *Client) observeForm(address, path, text string, index int) {
	c.Observe(FormUse{Text: text, Peer: address, Path: path, First: c.forms.recordUse(address, index)})
}

func (c *Client) reportIn(ctx context.Context, address string, form Form, report planner.Report) (planner.Answer, error) {
	wire, err := Exchange[reportRequest, reportAnswer](ctx, c, address, form.path(), reportRequest{form.restrictReport(report)})
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
		return planner.Answer{}, merry.Wrap(ErrUnreachable, merry.AppendMessagef("%s%s: %v", address, form.path(), err))
	}
	answer.State = form.completeState(answer.State)
	return answer, nil
}

// ReportSettings configures the handlers of reports. Observe gets the reports in an earlier form
// than the newest; it must not block.
type ReportSettings struct {
	Answer  func(ctx context.Context, report planner.Report) (planner.Answer, error)
	Observe func(FormUse)
}

// HandleReport registers the handlers of reports in all forms.
func HandleReport(mux *http.ServeMux, settings ReportSettings) {
	handleReport(mux, settings, reportForms)
}

func handleReport(mux *http.ServeMux, settings ReportSettings, forms []Form) {
	var uses seenUses
	var views sharedEncoder[planner.StoreView]
	for i, form := range forms {
		states := sharedEncoder[planner.State]{restrict: form.restrictState}
		mux.Handle("POST "+form.path(), Handle(func(ctx context.Context, request reportRequest) (reportAnswer, error) {
			result, err := settings.Answer(ctx, form.completeReport(request.Report))
			if err != nil {
				return reportAnswer{}, err
			}
			if node := request.Report.Node; i > 0 {
				settings.Observe(FormUse{Text: receivedEarlier, Peer: node.Name, Path: form.path(), First: uses.first(node.RunID + form.path())})
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
}

// HandleUnknown registers the handler of messages between nodes that this build does not know.
// It responds with 404, as the sender expects of a node of an earlier build.
func HandleUnknown(mux *http.ServeMux, observe func(FormUse)) {
	var uses seenUses
	mux.HandleFunc("POST /peer/", func(w http.ResponseWriter, r *http.Request) {
		observe(FormUse{Text: unknownMessage, Peer: r.RemoteAddr, Path: r.URL.Path, First: uses.first(r.URL.Path)})
		http.NotFound(w, r)
	})
}
