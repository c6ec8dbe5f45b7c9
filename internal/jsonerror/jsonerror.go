// Package jsonerror rewrites errors of encoding/json for users who write JSON and have not seen the Go
// types that it is decoded into.
package jsonerror

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
)

// contextBytes is the number of input bytes before a syntax error that its message shows.
const contextBytes = 40

// Describe rewrites an error that json.Unmarshal returned for raw as a one-line error. For a value of
// the wrong type, it names the field and the expected type. For a syntax error, it shows the input
// before the error. It returns any other error unchanged.
func Describe(raw []byte, err error) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		if wrongType.Field == "" {
			return fmt.Errorf("expected %s, found %s", typeName(wrongType.Type), wrongType.Value)
		}
		return fmt.Errorf("field %s: expected %s, found %s", wrongType.Field, typeName(wrongType.Type), wrongType.Value)
	}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		// A syntax error, for example at a NaN, does not name the field; the input before it shows the
		// field's name.
		end := min(int(syntax.Offset), len(raw))
		return fmt.Errorf("not valid JSON: %w, after %q", err, raw[max(0, end-contextBytes):end])
	}
	return err
}

// typeName describes the JSON type that decodes into a Go type.
func typeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Float64:
		return "a number"
	case reflect.Int, reflect.Int64, reflect.Uint64:
		return "a whole number"
	case reflect.String:
		return "a string"
	case reflect.Slice:
		return "a list"
	case reflect.Bool:
		return "true or false"
	}
	return "an object"
}
