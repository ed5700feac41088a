package tester

import (
	"encoding/json"
	"hash/fnv"
	"reflect"
	"strings"
	"time"
)

// Full returns a value with all exported fields set. A field's value follows from its name, so
// that it does not depend on the other fields.
func Full[V any]() V {
	var value V
	fill(reflect.ValueOf(&value).Elem(), "value")
	return value
}

func fill(value reflect.Value, name string) {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(name))
	number := 1 + int64(hash.Sum32()%100)
	switch value.Kind() {
	case reflect.Bool:
		value.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		if value.Type() == reflect.TypeFor[time.Duration]() {
			number *= int64(time.Millisecond)
		}
		value.SetInt(number)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		value.SetUint(uint64(number))
	case reflect.Float32, reflect.Float64:
		value.SetFloat(float64(number) + 0.5)
	case reflect.String:
		value.SetString(strings.ToLower(name))
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		fill(value.Elem(), name)
	case reflect.Slice:
		if value.Type() == reflect.TypeFor[json.RawMessage]() {
			value.SetBytes([]byte(`{"A":1}`))
			return
		}
		value.Set(reflect.MakeSlice(value.Type(), 1, 1))
		fill(value.Index(0), name)
	case reflect.Map:
		key, entry := reflect.New(value.Type().Key()).Elem(), reflect.New(value.Type().Elem()).Elem()
		fill(key, name)
		fill(entry, name)
		value.Set(reflect.MakeMap(value.Type()))
		value.SetMapIndex(key, entry)
	case reflect.Struct:
		for i := range value.NumField() {
			if field := value.Type().Field(i); field.IsExported() {
				fill(value.Field(i), field.Name)
			}
		}
	}
}
