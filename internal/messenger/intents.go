package messenger

import (
	"context"
	"net/http"

	"github.com/ansel1/merry/v2"

	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/recorder"
)

const intentsPath = "/peer/v1/intents"

// intentRequest carries one operation. Action is "Begin", "Finish" or "Abandon";
// only "Finish" has a Reply.
type intentRequest struct {
	Key    recorder.Key
	ID     string
	Digest string
	Action string
	Reply  *intentReply `json:",omitempty"`
}

type intentReply struct {
	Status      int
	ContentType string
	Body        []byte
}

// intentAnswer carries a result. Record is "Fresh", "Known" or "Uncertain" for a
// completed operation, else "Failed" or "Mismatch".
type intentAnswer struct {
	Record string
	Reply  *intentReply `json:",omitempty"`
	Detail string       `json:",omitempty"`
}

// SendOperation sends an operation to the writer at address and returns its
// result.
func (c *Client) SendOperation(ctx context.Context, address string, operation recorder.Operation) (recorder.Result, error) {
	request := intentRequest{Key: operation.Key, ID: operation.ID, Digest: operation.Digest}
	switch action := operation.Action.(type) {
	case recorder.Begin:
		request.Action = "Begin"
	case recorder.Finish:
		request.Action = "Finish"
		request.Reply = encodeReply(action.Reply)
	case recorder.Abandon:
		request.Action = "Abandon"
	}
	answer, err := Exchange[intentRequest, intentAnswer](ctx, c, address, intentsPath, request)
	if err != nil {
		return nil, err
	}
	return answer.decode()
}

// HandleIntents registers the handler of operations, which operate executes.
func HandleIntents(mux *http.ServeMux, operate func(context.Context, recorder.Operation) (recorder.Result, error)) {
	mux.Handle("POST "+intentsPath, Handle(func(ctx context.Context, request intentRequest) (intentAnswer, error) {
		operation, err := request.decode()
		if err != nil {
			return intentAnswer{}, err
		}
		result, err := operate(ctx, operation)
		if err != nil {
			return intentAnswer{}, err
		}
		return encodeResult(result), nil
	}))
}

func (r intentRequest) decode() (recorder.Operation, error) {
	operation := recorder.Operation{Key: r.Key, ID: r.ID, Digest: r.Digest}
	switch {
	case r.Action == "Begin":
		operation.Action = recorder.Begin{}
	case r.Action == "Finish" && r.Reply != nil:
		operation.Action = recorder.Finish{Reply: decodeReply(*r.Reply)}
	case r.Action == "Abandon":
		operation.Action = recorder.Abandon{}
	default:
		return operation, merry.Errorf("unknown action %q", r.Action)
	}
	return operation, nil
}

func encodeResult(result recorder.Result) intentAnswer {
	switch result := result.(type) {
	case recorder.Done:
		return encodeRecord(result.Record)
	case recorder.Mismatch:
		return intentAnswer{Record: "Mismatch"}
	case recorder.Failed:
		return intentAnswer{Record: "Failed", Detail: result.Detail}
	default:
		return intentAnswer{Record: "Failed", Detail: "unknown result"}
	}
}

func encodeRecord(record filter.Record) intentAnswer {
	switch record := record.(type) {
	case filter.Fresh:
		return intentAnswer{Record: "Fresh"}
	case filter.Known:
		return intentAnswer{Record: "Known", Reply: encodeReply(record.Reply)}
	default:
		return intentAnswer{Record: "Uncertain"}
	}
}

func (a intentAnswer) decode() (recorder.Result, error) {
	switch {
	case a.Record == "Fresh":
		return recorder.Done{Record: filter.Fresh{}}, nil
	case a.Record == "Known" && a.Reply != nil:
		return recorder.Done{Record: filter.Known{Reply: decodeReply(*a.Reply)}}, nil
	case a.Record == "Uncertain":
		return recorder.Done{Record: filter.Uncertain{}}, nil
	case a.Record == "Mismatch":
		return recorder.Mismatch{}, nil
	case a.Record == "Failed":
		return recorder.Failed{Detail: a.Detail}, nil
	default:
		return nil, merry.Wrap(ErrUnreachable, merry.AppendMessagef("unknown record %q", a.Record))
	}
}

func encodeReply(reply filter.Reply) *intentReply {
	return &intentReply{Status: reply.Status, ContentType: reply.ContentType, Body: reply.Body}
}

func decodeReply(reply intentReply) filter.Reply {
	return filter.Reply{Status: reply.Status, ContentType: reply.ContentType, Body: reply.Body}
}
