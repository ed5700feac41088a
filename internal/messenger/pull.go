package messenger

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"toucanhitch.example/toucanhitch/internal/configurer"
	"toucanhitch.example/toucanhitch/pkg/parser"
)

const pullPath = "/peer/v1/pull"

type pullRequest struct{ Version uint64 }

type pullAnswer struct {
	Version       uint64
	Changes       json.RawMessage `json:",omitempty"`
	Configuration json.RawMessage `json:",omitempty"`
	// AgesMS holds the ages of the last contacts with the sources, in
	// milliseconds.
	AgesMS map[configurer.Source]int64
}

// Pull requests from a peer the changes after version and the ages of its
// contacts.
func (c *Client) Pull(ctx context.Context, address string, version uint64) (configurer.Answer, error) {
	wire, err := Exchange[pullRequest, pullAnswer](ctx, c, address, pullPath, pullRequest{version})
	if err != nil {
		return configurer.Answer{}, err
	}
	answer := configurer.Answer{Version: wire.Version, Ages: map[configurer.Source]time.Duration{}}
	for source, age := range wire.AgesMS {
		answer.Ages[source] = time.Duration(age) * time.Millisecond
	}
	if wire.Changes != nil {
		if answer.Changes, err = parser.DecodeChanges(wire.Changes); err != nil {
			return answer, merry.Wrap(ErrUnreachable, merry.AppendMessagef("changes: %v", err))
		}
	}
	if wire.Configuration != nil {
		if answer.Configuration, err = parser.DecodeConfiguration(wire.Configuration); err != nil {
			return answer, merry.Wrap(ErrUnreachable, merry.AppendMessagef("configuration: %v", err))
		}
	}
	return answer, nil
}

// HandlePull registers the handler of pulls, which pull answers.
func HandlePull(mux *http.ServeMux, pull func(ctx context.Context, version uint64) (configurer.Answer, error)) {
	mux.Handle("POST "+pullPath, Handle(func(ctx context.Context, request pullRequest) (pullAnswer, error) {
		answer, err := pull(ctx, request.Version)
		if err != nil {
			return pullAnswer{}, err
		}
		wire := pullAnswer{Version: answer.Version, AgesMS: map[configurer.Source]int64{}}
		for source, age := range answer.Ages {
			// Rounded up, so that a contact never appears more recent than it is.
			wire.AgesMS[source] = int64((age + time.Millisecond - 1) / time.Millisecond)
		}
		if len(answer.Changes) > 0 {
			wire.Changes = parser.EncodeChanges(answer.Changes)
		}
		if answer.Configuration != nil {
			wire.Configuration = parser.EncodeConfiguration(answer.Configuration)
		}
		return wire, nil
	}))
}
