package encoder

import (
	"bytes"
	"encoding/json"

	"github.com/ansel1/merry/v2"
)

// DecodeList decodes an object of which one field is a list, and returns the items of the
// list undecoded. The rest of the object is decoded like DecodeLenient, without that field.
// Items of any depth are accepted, so that one of them cannot make the list unreadable:
// encoding/json refuses a text that is nested more than 10,000 levels deep. The items are
// delimited, not checked. Errors: ErrMalformed.
func DecodeList[T any](data []byte, field string) (rest T, items []json.RawMessage, err error) {
	fields, err := SplitObject(data)
	if err != nil {
		return rest, nil, err
	}
	var remaining bytes.Buffer
	remaining.WriteByte('{')
	for _, f := range fields {
		if f.Name == field {
			if items, err = splitArray(f.Value); err != nil {
				return rest, nil, err
			}
			continue
		}
		if remaining.Len() > 1 {
			remaining.WriteByte(',')
		}
		remaining.Write(Encode(f.Name))
		remaining.WriteByte(':')
		remaining.Write(f.Value)
	}
	remaining.WriteByte('}')
	rest, err = DecodeLenient[T](remaining.Bytes())
	return rest, items, err
}

// Field is a field of an object, with its value undecoded.
type Field struct {
	Name  string
	Value json.RawMessage
}

// SplitObject returns the fields of an object, whose values may be nested to any depth.
// The values are delimited, not checked. Errors: ErrMalformed.
func SplitObject(data []byte) ([]Field, error) {
	var fields []Field
	err := splitElements(data, '{', '}', func(element []byte) error {
		end, err := valueEnd(element)
		if err != nil {
			return err
		}
		var name string
		if err := json.Unmarshal(element[:end], &name); err != nil {
			return merry.Wrap(ErrMalformed, merry.AppendMessagef("name of a field: %v", err))
		}
		value, ok := bytes.CutPrefix(trimSpace(element[end:]), []byte(":"))
		if value = trimSpace(value); !ok || len(value) == 0 {
			return merry.Wrap(ErrMalformed, merry.AppendMessagef("field %.40q has no value", name))
		}
		fields = append(fields, Field{name, value})
		return nil
	})
	return fields, err
}

func splitArray(data []byte) ([]json.RawMessage, error) {
	items := []json.RawMessage{}
	err := splitElements(data, '[', ']', func(element []byte) error {
		items = append(items, element)
		return nil
	})
	return items, err
}

// splitElements calls add with each element of an array or object.
func splitElements(data []byte, open, closing byte, add func([]byte) error) error {
	data = trimSpace(data)
	if end, err := valueEnd(data); err != nil || end != len(data) || data[0] != open || data[len(data)-1] != closing {
		return merry.Wrap(ErrMalformed, merry.AppendMessagef("%.40q is not enclosed in %c%c", data, open, closing))
	}
	inner := trimSpace(data[1 : len(data)-1])
	for len(inner) > 0 {
		end := elementEnd(inner)
		element := trimSpace(inner[:end])
		if len(element) == 0 || end == len(inner)-1 {
			return merry.Wrap(ErrMalformed, merry.AppendMessage("empty element of a list"))
		}
		if err := add(element); err != nil {
			return err
		}
		inner = inner[min(end+1, len(inner)):]
	}
	return nil
}

// elementEnd returns the index of the comma after the first element, or the length if there
// is none.
func elementEnd(data []byte) int {
	if end := scan(data, func(c byte, depth int) bool { return c == ',' && depth == 0 }); end >= 0 {
		return end
	}
	return len(data)
}

// valueEnd returns the length of the string, array or object that data begins with.
func valueEnd(data []byte) (int, error) {
	end := -1
	switch {
	case len(data) == 0:
	case data[0] == '"':
		end = stringEnd(data, 0) - 1
	case data[0] == '[', data[0] == '{':
		end = scan(data, func(_ byte, depth int) bool { return depth == 0 })
	}
	if end < 1 {
		return 0, merry.Wrap(ErrMalformed, merry.AppendMessagef("%.40q is no complete string, array or object", data))
	}
	return end + 1, nil
}

// scan returns the index of the first byte outside strings for which found is true, or -1.
// Depth is the number of brackets that are open after the byte.
func scan(data []byte, found func(c byte, depth int) bool) int {
	depth := 0
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '"':
			i = stringEnd(data, i) - 1
			continue
		case '[', '{':
			depth++
		case ']', '}':
			depth--
		}
		if found(data[i], depth) {
			return i
		}
	}
	return -1
}

// stringEnd returns the index after the string that begins at an index, at most one above
// the length.
func stringEnd(data []byte, start int) int {
	for i := start + 1; i < len(data); i++ {
		switch data[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return len(data)
}

func trimSpace(data []byte) []byte { return bytes.Trim(data, " \t\r\n") }
