package jsonerror

import (
	"encoding/json"
	"errors"
	"testing"
)

func TestDescribe(t *testing.T) {
	for _, c := range []struct{ raw, want string }{
		{`[]`, "expected an object, found array"},
		{`{"list":5}`, "field list: expected a list, found number"},
		{`{"count":1.5}`, "field count: expected a whole number, found number 1.5"},
		{`{"count":1e400}`, "field count: expected a whole number, found number 1e400"},
		{`{"amount":"1"}`, "field amount: expected a number, found string"},
		{`{"flag":0}`, "field flag: expected true or false, found number"},
		{`{"inner":{"name":{}}}`, "field inner.name: expected a string, found object"},
		{`{"amount":NaN}`,
			`not valid JSON: invalid character 'N' looking for beginning of value, after "{\"amount\":N"`},
		{`{`, `not valid JSON: unexpected end of JSON input, after "{"`},
	} {
		var in struct {
			List   []string `json:"list"`
			Count  int      `json:"count"`
			Amount float64  `json:"amount"`
			Flag   bool     `json:"flag"`
			Inner  struct {
				Name string `json:"name"`
			} `json:"inner"`
		}
		err := json.Unmarshal([]byte(c.raw), &in)
		if err == nil {
			t.Fatalf("%s: got no error from json.Unmarshal, want one", c.raw)
		}
		if got := Describe([]byte(c.raw), err).Error(); got != c.want {
			t.Errorf("%s: got %s, want %s", c.raw, got, c.want)
		}
	}
	other := errors.New("another")
	if got := Describe(nil, other); got != other { //nolint:errorlint // must be the same error, not wrapped
		t.Errorf("got %v, want %v unchanged", got, other)
	}
}
