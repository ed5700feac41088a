package messenger

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"sync"

	"toucanhitch.example/toucanhitch/internal/encoder"
	"toucanhitch.example/toucanhitch/internal/planner"
)

const (
	// maxSharedEncodings is above the number of values that are in use at one time.
	maxSharedEncodings = 32
	// minCompressedBytes is the size from which the encoding of a value is compressed. A
	// state with all replicas and names shrinks to about a tenth; small changes hardly
	// shrink.
	minCompressedBytes = 4 << 10
)

// sharedPart is the encoding of a value that many answers share: as it is, or compressed
// by DEFLATE.
type sharedPart struct {
	Plain      json.RawMessage `json:",omitempty"`
	Compressed []byte          `json:",omitempty"`
}

// IsZero reports whether the answer lacks the value.
func (p sharedPart) IsZero() bool { return len(p.Plain) == 0 && len(p.Compressed) == 0 }

// decodeShared decodes a part of an answer. It returns nil if the answer lacks it, and
// encoder.ErrMalformed or encoder.ErrTooLarge.
func decodeShared[V any](part sharedPart) (*V, error) {
	encoded := []byte(part.Plain)
	if len(part.Compressed) > 0 {
		reader := flate.NewReader(bytes.NewReader(part.Compressed))
		defer reader.Close()
		var err error
		if encoded, err = encoder.Read(reader, maxMessageBytes); err != nil {
			return nil, err
		}
	}
	if len(encoded) == 0 {
		return nil, nil
	}
	value, err := encoder.DecodeLenient[V](encoded)
	if err != nil {
		return nil, err
	}
	return &value, nil
}

// sharedEncoder encodes values that are shared by many answers and never modified.
// It recognizes a value by its address and keeps the last maxSharedEncodings
// encodings.
type sharedEncoder[V any] struct {
	// restrict returns what of a value is encoded. If it is nil, everything is.
	restrict   func(V) V
	mutex      sync.Mutex
	encoded    map[*V]sharedPart
	compressor *flate.Writer
}

// encode returns the encoding of value, or an empty part if value is nil.
func (s *sharedEncoder[V]) encode(value *V) sharedPart {
	if value == nil {
		return sharedPart{}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if part, ok := s.encoded[value]; ok {
		return part
	}
	if s.encoded == nil || len(s.encoded) >= maxSharedEncodings {
		s.encoded = map[*V]sharedPart{}
	}
	encoded := *value
	if s.restrict != nil {
		encoded = s.restrict(encoded)
	}
	part := sharedPart{Plain: encoder.Encode(encoded)}
	if len(part.Plain) >= minCompressedBytes {
		part = sharedPart{Compressed: s.compress(part.Plain)}
	}
	s.encoded[value] = part
	return part
}

// compress compresses data. Writing to a buffer does not fail.
func (s *sharedEncoder[V]) compress(data []byte) []byte {
	var buffer bytes.Buffer
	if s.compressor == nil {
		s.compressor, _ = flate.NewWriter(io.Discard, flate.BestSpeed)
	}
	s.compressor.Reset(&buffer)
	_, _ = s.compressor.Write(data)
	_ = s.compressor.Close()
	return buffer.Bytes()
}

// StateBytes returns the size of a state in an answer.
func StateBytes(state *planner.State) int {
	var states sharedEncoder[planner.State]
	return len(encoder.Encode(states.encode(state)))
}
