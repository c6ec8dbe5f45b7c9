// Package jsonerror rewrites errors of encoding/json for people who write JSON and do not
// know the Go types that it is decoded into.
package jsonerror

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
)

// contextBytes is how much of the input before a syntax error is shown.
const contextBytes = 40

// Describe rewrites an error of json.Unmarshal on raw as one line: it names the field and
// the type expected there, or shows the input before a syntax error. It returns any other
// error unchanged.
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
		// A syntax error, such as a NaN, names no field; the input before it does.
		end := min(int(syntax.Offset), len(raw))
		return fmt.Errorf("not valid JSON: %w, after %q", err, raw[max(0, end-contextBytes):end])
	}
	return err
}

// typeName names the JSON value that a Go type is decoded from.
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
