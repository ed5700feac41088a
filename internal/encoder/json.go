package encoder

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/ansel1/merry/v2"
)

// Sentinel errors, for errors.Is.
var (
	// ErrMalformed reports input that is not valid JSON for the target type.
	ErrMalformed = merry.Sentinel("malformed JSON")
	// ErrTooLarge reports input larger than the limit.
	ErrTooLarge = merry.Sentinel("body too large")
)

// MaxHeadBytes bounds the head of a response to a call of this system. net/http allows
// 10 MB, and a header with a short line takes more than ten times its bytes.
const MaxHeadBytes = 16 << 10

// Read reads r to its end. It returns ErrTooLarge if r holds more than limit
// bytes and ErrMalformed if reading fails before the end.
func Read(r io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, merry.Wrap(ErrMalformed, merry.WithCause(err), merry.AppendMessagef("truncated after %d bytes: %v", len(data), err))
	}
	if int64(len(data)) > limit {
		return nil, merry.Wrap(ErrTooLarge, merry.AppendMessagef("at most %d bytes are allowed", limit))
	}
	return data, nil
}

// Decode decodes exactly one JSON value into a T. Unknown fields and data
// after the value are errors (ErrMalformed, with line and column).
func Decode[T any](data []byte) (T, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	return decode[T](decoder, data)
}

// DecodeLenient is like Decode but ignores unknown fields. It is for input from
// systems that are upgraded independently of this one.
func DecodeLenient[T any](data []byte) (T, error) {
	return decode[T](json.NewDecoder(bytes.NewReader(data)), data)
}

func decode[T any](decoder *json.Decoder, data []byte) (T, error) {
	var value T
	if err := decoder.Decode(&value); err != nil {
		return value, malformed(data, decoder.InputOffset(), err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return value, malformed(data, decoder.InputOffset(), errors.New("data after the value"))
	}
	return value, nil
}

// DecodeFrom reads at most limit bytes from r and decodes them.
func DecodeFrom[T any](r io.Reader, limit int64) (T, error) {
	data, err := Read(r, limit)
	if err != nil {
		var zero T
		return zero, err
	}
	return Decode[T](data)
}

// DecodeLenientFrom is like DecodeFrom but ignores unknown fields.
func DecodeLenientFrom[T any](r io.Reader, limit int64) (T, error) {
	data, err := Read(r, limit)
	if err != nil {
		var zero T
		return zero, err
	}
	return DecodeLenient[T](data)
}

// Encode returns the JSON encoding of value. It panics if value cannot be
// encoded.
func Encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("encode %T: %v", value, err))
	}
	return data
}

// unknownFieldPrefix is the prefix of the error text of encoding/json for a
// field that the target type lacks.
const unknownFieldPrefix = "json: unknown field "

func malformed(data []byte, offset int64, err error) error {
	var syntaxError *json.SyntaxError
	var typeError *json.UnmarshalTypeError
	detail := err.Error()
	switch {
	case errors.As(err, &syntaxError):
		offset = syntaxError.Offset
	case errors.As(err, &typeError):
		offset = typeError.Offset
		detail = fmt.Sprintf("field %q is a %s; want %s", typeError.Field, typeError.Value, typeError.Type)
	case strings.HasPrefix(detail, unknownFieldPrefix):
		// The decoder reports the offset of the end of the value, so search
		// for the name of the field instead.
		if index := bytes.Index(data, []byte(strings.TrimPrefix(detail, unknownFieldPrefix))); index >= 0 {
			offset = int64(index)
		}
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF):
		offset = int64(len(data))
		detail = "the text ends before the value does"
	}
	line, column := position(data, offset)
	return merry.Wrap(ErrMalformed, merry.AppendMessagef("line %d, column %d: %s", line, column, detail))
}

func position(data []byte, offset int64) (line, column int) {
	before := data[:min(offset, int64(len(data)))]
	line = bytes.Count(before, []byte("\n")) + 1
	column = len(before) - bytes.LastIndexByte(before, '\n')
	return line, column
}
