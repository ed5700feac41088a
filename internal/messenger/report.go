package messenger

import (
	"context"
	"net/http"

	"toucanhitch.example/toucanhitch/internal/planner"
)

const reportPath = "/peer/v1/report"

// The reports and answers of the planner are encoded directly: their exported
// fields define the wire format.
type (
	reportRequest struct{ Report planner.Report }
	reportAnswer  struct{ Answer planner.Answer }
)

// Report sends a node's report to the holder of the placement lease.
func (c *Client) Report(ctx context.Context, address string, report planner.Report) (planner.Answer, error) {
	answer, err := Exchange[reportRequest, reportAnswer](ctx, c, address, reportPath, reportRequest{report})
	return answer.Answer, err
}

// HandleReport registers the handler of reports, which answer responds to.
func HandleReport(mux *http.ServeMux, answer func(ctx context.Context, report planner.Report) (planner.Answer, error)) {
	mux.Handle("POST "+reportPath, Handle(func(ctx context.Context, request reportRequest) (reportAnswer, error) {
		result, err := answer(ctx, request.Report)
		return reportAnswer{result}, err
	}))
}
