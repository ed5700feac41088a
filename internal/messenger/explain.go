package messenger

import (
	"context"
	"errors"
	"net/http"

	"toucanhitch.example/toucanhitch/internal/encoder"
	"toucanhitch.example/toucanhitch/internal/explainer"
)

// ExplainPath is the HTTP path of questions at a node's peer address.
const ExplainPath = "/peer/v1/explain"

// maxQuestionBytes limits a question.
const maxQuestionBytes = 64 << 10

// Questions and answers of the explainer are encoded directly: their exported fields define
// the wire format.

// Explain asks the node at address. The errors are ErrUnreachable and ErrRefused, whose text is
// that of the node.
func (c *Client) Explain(ctx context.Context, address string, question explainer.Question) (explainer.Answer, error) {
	return Exchange[explainer.Question, explainer.Answer](ctx, c, address, ExplainPath, question)
}

// HandleExplain registers the handler of questions, which answer responds to. It responds with
// 400 to a question that is malformed or invalid, with 404 to one about something that the
// configuration lacks, and with 503 if there is no answer.
func HandleExplain(mux *http.ServeMux, answer func(context.Context, explainer.Question) (explainer.Answer, error)) {
	mux.HandleFunc("POST "+ExplainPath, func(w http.ResponseWriter, r *http.Request) {
		question, err := encoder.DecodeFrom[explainer.Question](r.Body, maxQuestionBytes)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		response, err := answer(r.Context(), question)
		switch {
		case errors.Is(err, explainer.ErrInvalid):
			http.Error(w, err.Error(), http.StatusBadRequest)
		case errors.Is(err, explainer.ErrUnknown):
			http.Error(w, err.Error(), http.StatusNotFound)
		case err != nil:
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		default:
			w.Header().Set("Content-Type", "application/json")
			_, _ = w.Write(encoder.Encode(response))
		}
	})
}
