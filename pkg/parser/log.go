package parser

import (
	"fmt"
	"maps"
	"time"

	"toucanhitch.example/toucanhitch/internal/encoder"
	"toucanhitch.example/toucanhitch/pkg/releaser"
)

// change is the JSON form of a releaser.Change. Exactly one of ApplyNote,
// GrantKey and WithdrawKey is set.
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
	// Era is 0 until the object API is restored for the first time.
	Era uint64 `json:",omitempty"`
}

// EncodeChanges returns the JSON form of changes.
func EncodeChanges(changes []releaser.Change) []byte {
	return encoder.Encode(encodeChanges(changes))
}

// DecodeChanges parses changes. It returns encoder.ErrMalformed if data is
// malformed.
func DecodeChanges(data []byte) ([]releaser.Change, error) {
	encoded, err := encoder.Decode[[]change](data)
	if err != nil {
		return nil, err
	}
	return decodeChanges(encoded)
}

// EncodeHead returns the JSON form of the head of the change log.
func EncodeHead(source releaser.Head) []byte {
	return encoder.Encode(head{
		Version:     source.Version,
		BaseVersion: source.BaseVersion,
		Parts:       source.Parts,
		Changes:     encodeChanges(source.Changes),
		Era:         source.Era,
	})
}

// DecodeHead parses the head of the change log. It returns
// encoder.ErrMalformed if data is malformed.
func DecodeHead(data []byte) (releaser.Head, error) {
	encoded, err := encoder.Decode[head](data)
	if err != nil {
		return releaser.Head{}, err
	}
	changes, err := decodeChanges(encoded.Changes)
	if err != nil {
		return releaser.Head{}, err
	}
	return releaser.Head{
		Version:     encoded.Version,
		BaseVersion: encoded.BaseVersion,
		Parts:       encoded.Parts,
		Changes:     changes,
		Era:         encoded.Era,
	}, nil
}

// EncodeConfiguration returns the JSON form of a configuration.
func EncodeConfiguration(configuration *releaser.Configuration) []byte {
	return encoder.Encode(configuration)
}

// DecodeConfiguration parses a configuration. It returns encoder.ErrMalformed if
// data is malformed.
func DecodeConfiguration(data []byte) (*releaser.Configuration, error) {
	configuration := releaser.Empty()
	decoded, err := encoder.Decode[releaser.Configuration](data)
	if err != nil {
		return nil, err
	}
	copyConfiguration(configuration, &decoded)
	return configuration, nil
}

// copyConfiguration copies source to target. Maps of target stay empty, not nil,
// where source has null.
func copyConfiguration(target, source *releaser.Configuration) {
	target.Version, target.NoteVersion = source.Version, source.NoteVersion
	maps.Copy(target.Models, source.Models)
	maps.Copy(target.Adapters, source.Adapters)
	maps.Copy(target.Newest, source.Newest)
	maps.Copy(target.Services, source.Services)
	maps.Copy(target.Workspaces, source.Workspaces)
	maps.Copy(target.Grants, source.Grants)
}

func encodeChanges(changes []releaser.Change) []change {
	encoded := make([]change, 0, len(changes))
	for _, source := range changes {
		target := change{Version: source.Version, ID: source.ID, Actor: source.Actor, Time: source.Time}
		switch body := source.Body.(type) {
		case releaser.ApplyNote:
			target.ApplyNote = &body.Note
		case releaser.GrantKey:
			target.GrantKey = &body.Grant
		case releaser.WithdrawKey:
			target.WithdrawKey = &withdrawal{GrantID: body.GrantID}
		default:
			panic(fmt.Sprintf("unknown change %T", body))
		}
		encoded = append(encoded, target)
	}
	return encoded
}

func decodeChanges(encoded []change) ([]releaser.Change, error) {
	changes := make([]releaser.Change, 0, len(encoded))
	for i, source := range encoded {
		target := releaser.Change{Version: source.Version, ID: source.ID, Actor: source.Actor, Time: source.Time}
		switch {
		case source.ApplyNote != nil:
			target.Body = releaser.ApplyNote{Note: *source.ApplyNote}
		case source.GrantKey != nil:
			target.Body = releaser.GrantKey{Grant: *source.GrantKey}
		case source.WithdrawKey != nil:
			target.Body = releaser.WithdrawKey{GrantID: source.WithdrawKey.GrantID}
		default:
			return nil, fmt.Errorf("change %d has no body: %w", i, encoder.ErrMalformed)
		}
		changes = append(changes, target)
	}
	return changes, nil
}

// EncodePart returns the JSON form of a piece of an encoded configuration. The
// piece may end within a UTF-8 sequence.
func EncodePart(piece []byte) []byte {
	return encoder.Encode(piece)
}

// DecodePart parses a piece of an encoded configuration. It returns
// encoder.ErrMalformed if data is malformed.
func DecodePart(data []byte) ([]byte, error) {
	return encoder.Decode[[]byte](data)
}
