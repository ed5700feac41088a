package parser

import (
	"toucanhitch.example/toucanhitch/internal/encoder"
	"toucanhitch.example/toucanhitch/pkg/releaser"
)

// MaxNoteBytes is the maximum size of a release note in bytes. It ensures that a
// change fits into one object of the object API.
const MaxNoteBytes = 256 << 10

// Note parses a release note. It returns encoder.ErrTooLarge, or
// encoder.ErrMalformed with the position of the error. It does not check the
// note against a configuration; releaser.Validate does.
func Note(data []byte) (releaser.Note, error) {
	if len(data) > MaxNoteBytes {
		return releaser.Note{}, encoder.ErrTooLarge
	}
	return encoder.Decode[releaser.Note](data)
}
