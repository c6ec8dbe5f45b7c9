// Package jsonerror words the errors of encoding/json for people who write JSON and
// do not know the Go types that it is read into.
package jsonerror

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
)

// contextBytes is how much of the input before a syntax error is shown.
const contextBytes = 40

// Describe words an error of json.Unmarshal on raw in one line: it names the field
// and what must stand there, or shows the input in front of a syntax error. Any
// other error is returned as it is.
func Describe(raw []byte, err error) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		if wrongType.Field == "" {
			return fmt.Errorf("expected %s, found %s", kind(wrongType.Type), wrongType.Value)
		}
		return fmt.Errorf("field %s: expected %s, found %s", wrongType.Field, kind(wrongType.Type), wrongType.Value)
	}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		// What is not even JSON, a NaN say, has no field; what stands
		// before it names one.
		end := min(int(syntax.Offset), len(raw))
		return fmt.Errorf("not valid JSON: %w, after %q", err, raw[max(0, end-contextBytes):end])
	}
	return err
}

// kind names what JSON must hold where a Go type is read.
func kind(t reflect.Type) string {
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
