package messenger

import (
	"context"
	"encoding/json"
	"net/http"

	"toucanhitch.example/toucanhitch/internal/spreader"
)

const pushPath = "/peer/v1/push"

type pushRequest struct {
	Items []pushedItem
}

type pushedItem struct {
	Kind    spreader.Kind
	Name    string `json:",omitempty"`
	Version uint64
	Origin  string
	Scope   spreader.Scope
	// Value is already JSON; a []byte would be encoded as base64.
	Value json.RawMessage
}

type pushAnswer struct{}

// Push sends items to a peer.
func (c *Client) Push(ctx context.Context, address string, items []spreader.Item) error {
	request := pushRequest{Items: make([]pushedItem, 0, len(items))}
	for _, item := range items {
		request.Items = append(request.Items, pushedItem{
			Kind: item.Kind, Name: item.Name, Version: item.Version,
			Origin: item.Origin, Scope: item.Scope, Value: item.Value,
		})
	}
	_, err := Exchange[pushRequest, pushAnswer](ctx, c, address, pushPath, request)
	return err
}

// HandlePush registers the handler of pushes, which passes the items to
// receive.
func HandlePush(mux *http.ServeMux, receive func([]spreader.Item) error) {
	mux.Handle("POST "+pushPath, Handle(func(_ context.Context, request pushRequest) (pushAnswer, error) {
		items := make([]spreader.Item, 0, len(request.Items))
		for _, item := range request.Items {
			items = append(items, spreader.Item{
				Kind: item.Kind, Name: item.Name, Version: item.Version,
				Origin: item.Origin, Scope: item.Scope, Value: item.Value,
			})
		}
		return pushAnswer{}, receive(items)
	}))
}
