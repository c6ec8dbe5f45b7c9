package api

import (
	"encoding/json"
	"reflect"
	"runtime"
	"strings"
	"testing"
)

// ParseHeartbeat must accept and reject the same bodies as the standard library, also those that it
// passes to the standard library because fastjson cannot decode them safely.
func TestHeartbeatDecodingMatchesStandardLibrary(t *testing.T) {
	good := `{"Host":"i-1","Addr":"10.1.0.1:9000","Frame":"g8","Bed":"a","Windfall":true,"Season":1,"Tally":88,` +
		`"Warrant":18446744073709551615,"ReclaimS":7.5,"New":{"a":[1,2,{"b":null}]},` +
		`"Shoots":[{"Shoot":"job-1/3","Sprout":2,"Phase":"running"},` +
		`{"Shoot":"job-2/0","Sprout":1,"Phase":"exited","Cause":"done","Kept":true},` +
		`{"Shoot":"job-\u0033/0","Phase":"dozing"}]}`
	for _, body := range []string{
		good, good + "\r\n ", `{"Host":"i-1"}`, `{"Host":"i-1","Shoots":null,"ReclaimS":null}`,
		good + good, good[:len(good)-1],
		"", "null", "[]", "{}", `{"Host":5}`, `{"Host":""}`, `{"Host":"i-1","Season":-1}`,
		`{"Host":"i-1","Season":1.5}`,
		`{"Host":"i-1","Tally":18446744073709551616}`, `{"Host":"i-1","Shoots":{}}`, `{"Host":"i-1","Shoots":[5]}`,
		`{"Host":"i-1","Z":nul}`, `{"Host":"i-1","Z":"` + "\n" + `"}`,
		`{"Host":"i-1","Z":` + strings.Repeat("[", 60_000) + `}`,
		`{"Host":"i-1","Z":` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000) + `}`,
		`{"Host":"i-1","Z":` + strings.Repeat(`{"a":`, 20_000) + "1" + strings.Repeat("}", 20_000) + `}`,
		`{"Host":"i-1","Z":` + strings.Repeat(`{"a":`, 5_000) + "1" + strings.Repeat("}", 5_000) + `}`,
		`{"Host":"i-1","Shoots":[` +
			strings.Repeat(`{"Shoot":"job-1/3","Sprout":2,"Phase":"running"},`, 3_000) + `{}]}`,
	} {
		var want Heartbeat
		wantErr := json.Unmarshal([]byte(body), &want) != nil || want.Machine == ""
		got, err := ParseHeartbeat([]byte(body))
		if (err != nil) != wantErr || err == nil && !reflect.DeepEqual(*got, want) {
			t.Errorf("%.80q: got %+v, %v; want %+v, error %v, as the standard library", body, got, err, want, wantErr)
		}
	}
}

// Guards against a heartbeat of nested brackets that makes the decoder's recursion grow the stack:
// 16 MiB for one heartbeat was seen.
func TestNestedHeartbeatsDoNotGrowStack(t *testing.T) {
	for _, open := range []string{"[", `{"a":`, `[{"a":`, `{"a": `} {
		for _, depth := range []int{2 * maxFastObjects, 4 * MaxBodyBytes / len(open)} {
			body := []byte(`{"Host":"i-1","Z":` + strings.Repeat(open, depth))
			grew := make(chan uint64)
			go func() { // a new goroutine, whose stack has not grown yet
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				if _, err := ParseHeartbeat(body); err == nil {
					t.Errorf("%d times %q: got no error, want one", depth, open)
				}
				runtime.ReadMemStats(&after)
				grew <- after.StackInuse - min(before.StackInuse, after.StackInuse)
			}()
			if n := <-grew; n > 1<<20 {
				t.Errorf("%d times %q: the stack grew by %d KiB, want 1024 at most", depth, open, n>>10)
			}
		}
	}
}

// The leader keeps the phases of a heartbeat after the request, so they must not share memory with
// its body, which would stay in memory with them.
func TestPhasesShareNoMemoryWithHeartbeatBody(t *testing.T) {
	body := []byte(`{"Host":"i-1","Shoots":[{"Shoot":"job-1/3","Phase":"running","Cause":"odd"}]}`)
	heartbeat, err := ParseHeartbeat(body)
	if err != nil {
		t.Fatal(err)
	}
	clear(body)
	if task := heartbeat.Tasks[0]; task.Phase != TaskRunning || task.Cause != "odd" {
		t.Errorf("got %+v, want phase %q, cause odd", task, TaskRunning)
	}
}
