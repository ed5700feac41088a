package parser

import (
	"fmt"
	"maps"
	"time"

	"toucanhitch.example/toucanhitch/internal/encoder"
	"toucanhitch.example/toucanhitch/pkg/releaser"
)

// change is the JSON form of a releaser.Change: exactly one of the bodies is
// set.
type change struct {
	Version     uint64
	ID          string
	Actor       string
	Time        time.Time
	ApplyNote   *releaser.Note  `json:",omitempty"`
	GrantKey    *releaser.Grant `json:",omitempty"`
	WithdrawKey *withdrawal     `json:",omitempty"`
}

type withdrawal struct{ GrantID string }

// head is the JSON form of a releaser.Head.
type head struct {
	Version     uint64
	BaseVersion uint64
	Parts       []string
	Changes     []change
}

// EncodeChanges returns the JSON form of changes.
func EncodeChanges(changes []releaser.Change) []byte {
	return encoder.Encode(encodeChanges(changes))
}

// DecodeChanges parses changes. It returns encoder.ErrMalformed.
func DecodeChanges(data []byte) ([]releaser.Change, error) {
	wire, err := encoder.Decode[[]change](data)
	if err != nil {
		return nil, err
	}
	return decodeChanges(wire)
}

// EncodeHead returns the JSON form of the head of the change log.
func EncodeHead(from releaser.Head) []byte {
	return encoder.Encode(head{
		Version:     from.Version,
		BaseVersion: from.BaseVersion,
		Parts:       from.Parts,
		Changes:     encodeChanges(from.Changes),
	})
}

// DecodeHead parses the head of the change log. It returns
// encoder.ErrMalformed.
func DecodeHead(data []byte) (releaser.Head, error) {
	wire, err := encoder.Decode[head](data)
	if err != nil {
		return releaser.Head{}, err
	}
	changes, err := decodeChanges(wire.Changes)
	if err != nil {
		return releaser.Head{}, err
	}
	return releaser.Head{
		Version:     wire.Version,
		BaseVersion: wire.BaseVersion,
		Parts:       wire.Parts,
		Changes:     changes,
	}, nil
}

// EncodeConfiguration returns the JSON form of a configuration.
func EncodeConfiguration(from *releaser.Configuration) []byte {
	return encoder.Encode(from)
}

// DecodeConfiguration parses a configuration. It returns encoder.ErrMalformed.
func DecodeConfiguration(data []byte) (*releaser.Configuration, error) {
	into := releaser.Empty()
	decoded, err := encoder.Decode[releaser.Configuration](data)
	if err != nil {
		return nil, err
	}
	fill(into, &decoded)
	return into, nil
}

// fill copies a decoded configuration, keeping maps that were null empty.
func fill(into, from *releaser.Configuration) {
	into.Version, into.NoteVersion = from.Version, from.NoteVersion
	maps.Copy(into.Models, from.Models)
	maps.Copy(into.Adapters, from.Adapters)
	maps.Copy(into.Newest, from.Newest)
	maps.Copy(into.Services, from.Services)
	maps.Copy(into.Workspaces, from.Workspaces)
	maps.Copy(into.Grants, from.Grants)
}

func encodeChanges(changes []releaser.Change) []change {
	wire := make([]change, 0, len(changes))
	for _, from := range changes {
		into := change{Version: from.Version, ID: from.ID, Actor: from.Actor, Time: from.Time}
		switch body := from.Body.(type) {
		case releaser.ApplyNote:
			into.ApplyNote = &body.Note
		case releaser.GrantKey:
			into.GrantKey = &body.Grant
		case releaser.WithdrawKey:
			into.WithdrawKey = &withdrawal{GrantID: body.GrantID}
		default:
			panic(fmt.Sprintf("unknown change %T", body))
		}
		wire = append(wire, into)
	}
	return wire
}

func decodeChanges(wire []change) ([]releaser.Change, error) {
	changes := make([]releaser.Change, 0, len(wire))
	for i, from := range wire {
		into := releaser.Change{Version: from.Version, ID: from.ID, Actor: from.Actor, Time: from.Time}
		switch {
		case from.ApplyNote != nil:
			into.Body = releaser.ApplyNote{Note: *from.ApplyNote}
		case from.GrantKey != nil:
			into.Body = releaser.GrantKey{Grant: *from.GrantKey}
		case from.WithdrawKey != nil:
			into.Body = releaser.WithdrawKey{GrantID: from.WithdrawKey.GrantID}
		default:
			return nil, fmt.Errorf("change %d has no body: %w", i, encoder.ErrMalformed)
		}
		changes = append(changes, into)
	}
	return changes, nil
}

// EncodePart returns the JSON form of a piece of a configuration's text. The
// piece may end within a character.
func EncodePart(piece []byte) []byte {
	return encoder.Encode(piece)
}

// DecodePart parses a piece of a configuration's text. It returns
// encoder.ErrMalformed.
func DecodePart(data []byte) ([]byte, error) {
	return encoder.Decode[[]byte](data)
}
